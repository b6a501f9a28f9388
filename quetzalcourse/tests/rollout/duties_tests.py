"""Duties that one daemon at a time holds: weight loads and usage reports."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

import aiohttp

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import build_batch
from quetzalcourse.tests.rollout.calls import await_membership

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.cluster import RolloutCluster


async def name_version(cluster: RolloutCluster, version: int) -> None:
    """Publish a version of the model's weights, as its trainer does."""
    await cluster.store.write(
        'op',
        f'version/{documents.MODEL}',
        {'model': documents.MODEL, 'version': version},
    )


def list_versions(cluster: RolloutCluster) -> list[int]:
    """List the versions that the engines have loaded."""
    return [
        engine.state.versions[documents.MODEL] for engine in cluster.engines
    ]


async def await_version(cluster: RolloutCluster, version: int) -> None:
    """Wait until some engine has loaded a version."""
    async with asyncio.timeout(10):
        while version not in list_versions(cluster):
            await asyncio.sleep(0.05)


def count_reported(cluster: RolloutCluster) -> int:
    """Count the account's requests in the reports of all windows.

    A new holder resends what its predecessor may not have sent; the receiver
    ignores exact repeats only.
    """
    figures: dict[int, dict[str, int]] = {}
    for report in cluster.cloud.reports:
        known = figures.setdefault(report.window, report.counts)
        assert known == report.counts
    return sum(counts.get(documents.ACCOUNT, 0) for counts in figures.values())


async def await_usage(cluster: RolloutCluster, requests: int) -> None:
    """Wait until the requests are reported, and check that no more are."""
    async with asyncio.timeout(15):
        while count_reported(cluster) < requests:
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    assert count_reported(cluster) == requests


async def test_named_version_is_loaded(two_daemons: RolloutCluster) -> None:
    """Guards against a step generated with too old a version."""
    await name_version(two_daemons, 2)
    await await_version(two_daemons, 2)
    await two_daemons.caller.submit(
        two_daemons.address(), 'b-1', build_batch(['i-1', 'i-2'], min_version=2)
    )
    results = await two_daemons.caller.read_all(two_daemons.address(), 'b-1')
    assert {tuple(result['versions']) for result in results} == {(2,)}


async def test_orders_come_from_one_daemon_at_a_time(
    two_daemons: RolloutCluster,
) -> None:
    # Guards against two daemons that send orders by turns after the holder
    # of the duties died: servers would load and drop versions repeatedly.
    await name_version(two_daemons, 2)
    await await_version(two_daemons, 2)
    holder = next(one for one in two_daemons.daemons if one.duties.lease.held)
    await two_daemons.end_daemon(holder)
    await name_version(two_daemons, 3)
    await await_version(two_daemons, 3)
    for engine in two_daemons.engines:
        tokens = [token for _, token in engine.state.order_tokens]
        assert tokens == sorted(tokens)
        holders = [
            name for name, _ in itertools.groupby(engine.state.order_tokens)
        ]
        assert len(holders) == len(set(holders))


async def test_usage_is_reported_once_with_one_figure(
    two_daemons: RolloutCluster,
) -> None:
    # Guards against a window that is reported too low or with two figures
    # when requests ran through both daemons and one of them dies before the
    # window ends.
    for number in range(10):
        await two_daemons.caller.call(
            two_daemons.address(number % 2),
            'POST',
            documents.LOOKUP_PREFIX,
            b'salt',
            request_id=f'r-{number}',
        )
    await asyncio.sleep(0.6)
    other = next(
        one for one in two_daemons.daemons if not one.duties.lease.held
    )
    await two_daemons.end_daemon(other)
    await await_usage(two_daemons, 10)


async def test_successor_on_the_same_vm_takes_the_duties_at_once(
    cluster: RolloutCluster,
) -> None:
    # Guards against a daemon that is killed, restarts on its VM and waits for
    # the lease of its previous run: no weights would be loaded for three
    # seconds after every restart.
    async with asyncio.timeout(5):
        while not cluster.daemons[0].duties.lease.held:
            await asyncio.sleep(0.05)
    await cluster.end_daemon(cluster.daemons[0])
    successor = await cluster.add_daemon('vm-0')
    await asyncio.sleep(0.7)
    assert successor.duties.lease.held
    assert successor.duties.lease.token == 2


async def test_batch_of_a_previous_run_is_taken_over_at_once(
    cluster: RolloutCluster,
) -> None:
    # Guards against a batch that waits for the failure detection of the
    # previous run when its daemon is killed right after accepting it and
    # restarts.
    for engine in cluster.engines:
        engine.faults.slowdown = 30
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(['i-1']))
    await cluster.end_daemon(cluster.daemons[0])
    successor = await cluster.add_daemon('vm-0')
    await asyncio.sleep(0.8)
    assert list(successor.batches.runner.batches) == ['b-1']


async def test_usage_of_the_last_requests_before_a_stop_is_reported(
    two_daemons: RolloutCluster,
) -> None:
    """Guards against usage that a daemon counted but had not written."""
    await await_membership(two_daemons)
    other = next(
        one for one in two_daemons.daemons if not one.duties.lease.held
    )
    drain = asyncio.ensure_future(other.on_drain())
    answered = 0
    while not drain.done():
        with contextlib.suppress(aiohttp.ClientError):
            reply = await two_daemons.caller.call(
                other.settings.listen.callers,
                'POST',
                documents.LOOKUP_PREFIX,
                b'salt',
                request_id=f'r-{answered}',
            )
            answered += reply.status == 200
        await asyncio.sleep(0.02)
    await two_daemons.end_daemon(other)
    assert answered > 20
    await await_usage(two_daemons, answered)


async def test_usage_of_a_killed_run_is_not_lost(
    cluster: RolloutCluster,
) -> None:
    # Guards against usage that is reported too low when a daemon is killed
    # after it counted requests: its new run on the VM must neither start its
    # row at zero nor skip the window that ended meanwhile.
    for number in range(5):
        await cluster.caller.call(
            cluster.address(),
            'POST',
            documents.LOOKUP_PREFIX,
            b'salt',
            request_id=f'r-{number}',
        )
    await asyncio.sleep(0.6)
    await cluster.end_daemon(cluster.daemons[0])
    await asyncio.sleep(2.5)
    await cluster.add_daemon('vm-0')
    await await_usage(cluster, 5)


async def test_upstreams_are_ordered_only_where_operators_ask(
    two_daemons: RolloutCluster,
) -> None:
    assert all(daemon.duties.scaling is None for daemon in two_daemons.daemons)
    assert not two_daemons.cloud.orders
