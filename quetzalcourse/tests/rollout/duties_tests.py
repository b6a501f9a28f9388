"""What one daemon at a time does: loads of weights, and usage."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.world import build_batch

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.world import RolloutWorld


async def name_version(world: RolloutWorld, version: int) -> None:
    """Name a version of the model's weights, as its trainer does."""
    await world.store.write(
        'op',
        f'version/{documents.MODEL}',
        {'model': documents.MODEL, 'version': version},
    )


def list_versions(world: RolloutWorld) -> list[int]:
    """List the versions that the engines hold."""
    return [engine.state.versions[documents.MODEL] for engine in world.engines]


async def await_version(world: RolloutWorld, version: int) -> None:
    """Wait until some engine holds a version."""
    async with asyncio.timeout(10):
        while version not in list_versions(world):
            await asyncio.sleep(0.05)


def count_reported(world: RolloutWorld) -> int:
    """Count the account's requests in the reports of all windows.

    A new holder sends again what its predecessor may not have sent; the
    receiver ignores an exact repeat, and nothing else.
    """
    figures: dict[int, dict[str, int]] = {}
    for report in world.cloud.reports:
        known = figures.setdefault(report.window, report.counts)
        assert known == report.counts
    return sum(counts.get(documents.ACCOUNT, 0) for counts in figures.values())


async def await_usage(world: RolloutWorld, requests: int) -> None:
    """Wait until the requests are reported, and see that no more are."""
    async with asyncio.timeout(15):
        while count_reported(world) < requests:
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    assert count_reported(world) == requests


async def test_named_version_is_loaded(pair: RolloutWorld) -> None:
    """A step that asks for it is made with it alone."""
    await name_version(pair, 2)
    await await_version(pair, 2)
    await pair.caller.submit(
        pair.address(), 'b-1', build_batch(['i-1', 'i-2'], min_version=2)
    )
    results = await pair.caller.read_all(pair.address(), 'b-1')
    assert {tuple(result['versions']) for result in results} == {(2,)}


async def test_orders_come_from_one_daemon_at_a_time(
    pair: RolloutWorld,
) -> None:
    # The daemon that gives orders dies and another one follows. A server
    # that got orders from both by turns would load and drop versions.
    await name_version(pair, 2)
    await await_version(pair, 2)
    holder = next(one for one in pair.daemons if one.duties.lease.held)
    await pair.end_daemon(holder)
    await name_version(pair, 3)
    await await_version(pair, 3)
    for engine in pair.engines:
        tokens = [token for _, token in engine.state.fences]
        assert tokens == sorted(tokens)
        holders = [name for name, _ in itertools.groupby(engine.state.fences)]
        assert len(holders) == len(set(holders))


async def test_usage_is_reported_once_with_one_figure(
    pair: RolloutWorld,
) -> None:
    # Requests run through both daemons, and one of them dies before its
    # window is over. The account would pay too little, or two figures of
    # one window would stand against each other.
    for number in range(10):
        await pair.caller.call(
            pair.address(number % 2),
            'POST',
            documents.LOOKUP_PREFIX,
            b'salt',
            request_id=f'r-{number}',
        )
    await asyncio.sleep(0.6)
    other = next(one for one in pair.daemons if not one.duties.lease.held)
    await pair.end_daemon(other)
    await await_usage(pair, 10)


async def test_successor_on_the_same_vm_takes_the_duties_at_once(
    world: RolloutWorld,
) -> None:
    # The daemon that holds the duties is killed and starts again on its VM.
    # Were it to wait for the lease of its own former run, no weights would
    # be loaded for three seconds after every restart.
    async with asyncio.timeout(5):
        while not world.daemons[0].duties.lease.held:
            await asyncio.sleep(0.05)
    await world.end_daemon(world.daemons[0])
    successor = await world.add_daemon('vm-0')
    await asyncio.sleep(0.7)
    assert successor.duties.lease.held
    assert successor.duties.lease.token == 2


async def test_batch_of_a_former_run_is_taken_over_at_once(
    world: RolloutWorld,
) -> None:
    # A daemon is killed right after it accepted a batch and starts again.
    # The batch goes on as soon as the new run is seen, not after the silence
    # of the former one.
    for engine in world.engines:
        engine.faults.slow = 30
    await world.caller.submit(world.address(), 'b-1', build_batch(['i-1']))
    await world.end_daemon(world.daemons[0])
    successor = await world.add_daemon('vm-0')
    await asyncio.sleep(0.8)
    assert list(successor.batches.runner.batches) == ['b-1']


async def test_usage_of_a_killed_run_is_not_lost(world: RolloutWorld) -> None:
    # A daemon is killed after it counted requests, and starts again on its
    # VM. Its new run must not begin its row at zero, nor skip the window
    # that ended meanwhile: the account would pay too little.
    for number in range(5):
        await world.caller.call(
            world.address(),
            'POST',
            documents.LOOKUP_PREFIX,
            b'salt',
            request_id=f'r-{number}',
        )
    await asyncio.sleep(0.6)
    await world.end_daemon(world.daemons[0])
    await asyncio.sleep(2.5)
    await world.add_daemon('vm-0')
    await await_usage(world, 5)
