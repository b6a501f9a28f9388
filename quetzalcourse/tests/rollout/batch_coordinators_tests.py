"""Batches that are run by the coordinator of their model."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import aiohttp
import pytest

from quetzalcourse.coordination.batches import coordinators
from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.world import build_batch
from quetzalcourse.tests.rollout.calls import await_acquaintance

if TYPE_CHECKING:
    from quetzalcourse.rollout_application import RolloutApplication
    from quetzalcourse.standins.rollout.world import RolloutWorld

LARGE_STEP = 160
ITEMS = [f'i-{number}' for number in range(12)]


def find_coordinator(world: RolloutWorld) -> RolloutApplication:
    """Find the daemon that runs the model's batches."""
    presence = world.daemons[0].presence
    coordinator = coordinators.find_coordinator(
        documents.MODEL, presence.own, presence.list_live()
    )
    return next(
        one for one in world.daemons if one.settings.vm == coordinator.vm
    )


def list_owners(world: RolloutWorld, batch: str) -> list[str]:
    """List the daemons that run a batch."""
    return [
        daemon.settings.vm
        for daemon in world.daemons
        if batch in daemon.batches.runner.batches
    ]


async def test_steps_are_run_by_one_daemon_wherever_they_come_in(
    neighbours: RolloutWorld,
) -> None:
    # A trainer submits its steps by one daemon after another. Run by each of
    # these in turn, every step would open its connections anew.
    await await_acquaintance(neighbours)
    for engine in neighbours.engines:
        engine.faults.slow = 10
    coordinator = find_coordinator(neighbours).settings.vm
    for number in range(3):
        names = [f'{number}-{name}' for name in ITEMS]
        reply = await neighbours.caller.submit(
            neighbours.address(number), f'b-{number}', build_batch(names)
        )
        assert reply.status == 202
        assert list_owners(neighbours, f'b-{number}') == [coordinator]
    for number in range(3):
        results = await neighbours.caller.read_all(
            neighbours.address(number), f'b-{number}'
        )
        assert {result['state'] for result in results} == {'completed'}
    runs = [run.request_id for one in neighbours.engines for run in one.runs]
    assert len(runs) == len(set(runs))


@pytest.mark.parametrize('end', ['dead', 'cut off from the store', 'full'])
async def test_batch_is_run_where_it_came_in_without_a_home(
    neighbours: RolloutWorld,
    end: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The coordinator of a model has just died, can't write, or has enough to
    # do, and the others don't know yet. A submission must not wait for it.
    await await_acquaintance(neighbours)
    for engine in neighbours.engines:
        engine.faults.slow = 10
    coordinator = find_coordinator(neighbours)
    number = neighbours.daemons.index(coordinator)
    if end == 'dead':
        await neighbours.end_daemon(coordinator)
    elif end == 'full':
        full = 'quetzalcourse.coordination.batches.batch_service.MAX_OPEN_ITEMS'
        monkeypatch.setattr(full, 0)
    else:
        neighbours.doors[number].faults.mode = 'silent'
    other = (number + 1) % 3
    loop = asyncio.get_running_loop()
    began = loop.time()
    reply = await neighbours.caller.submit(
        neighbours.address(other), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202
    assert loop.time() - began < 1
    results = await neighbours.caller.read_all(neighbours.address(other), 'b-1')
    assert sorted(result['id'] for result in results) == sorted(ITEMS)
    assert {result['state'] for result in results} == {'completed'}


async def test_open_steps_of_a_late_trainer_share_their_home(
    neighbours: RolloutWorld,
) -> None:
    # A trainer that is late keeps two large steps open. Run by two daemons,
    # neither knows that the older one is due first, and both come late.
    await await_acquaintance(neighbours)
    for engine in neighbours.engines:
        engine.faults.slow = 40
    coordinator = find_coordinator(neighbours)
    other = (neighbours.daemons.index(coordinator) + 1) % 3
    for number in range(2):
        items = [f'i-{number}-{index}' for index in range(LARGE_STEP)]
        reply = await neighbours.caller.submit(
            neighbours.address(other), f'b-{number}', build_batch(items)
        )
        assert reply.status == 202
    assert set(coordinator.batches.runner.batches) == {'b-0', 'b-1'}


async def test_submission_that_its_home_may_hold_is_not_refused(
    neighbours: RolloutWorld,
) -> None:
    # The coordinator writes a batch and its answer is held up; then the store
    # turns everybody away. The batch stands, so a refusal would not be true:
    # the caller's channel is cut, and it asks again.
    await await_acquaintance(neighbours)
    number = neighbours.daemons.index(find_coordinator(neighbours))
    neighbours.store.faults.slow_answer = 4.0
    other = (number + 1) % 3
    submitted = asyncio.ensure_future(
        neighbours.caller.submit(
            neighbours.address(other), 'b-1', build_batch(ITEMS)
        )
    )
    await asyncio.sleep(0.1)
    for door in neighbours.doors:
        door.faults.mode = 'busy'
    with pytest.raises(aiohttp.ClientError):
        await submitted
    for door in neighbours.doors:
        door.faults.mode = ''
    neighbours.store.faults.slow_answer = 0
    reply = await neighbours.caller.submit(
        neighbours.address(other), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202
    results = await neighbours.caller.read_all(neighbours.address(other), 'b-1')
    assert sorted(result['id'] for result in results) == sorted(ITEMS)


async def test_home_with_an_older_manifest_gives_up_no_item(
    neighbours: RolloutWorld,
) -> None:
    # A route is added, and a batch comes in by it at a daemon that knows it
    # while the coordinator does not yet. To the coordinator the route looks
    # dropped, and it would abandon every item of a batch that has just been
    # accepted.
    await await_acquaintance(neighbours)
    coordinator = find_coordinator(neighbours)
    number = neighbours.daemons.index(coordinator)
    other = (number + 1) % 3
    config = documents.build_config(2)
    added = documents.build_route(
        '/added/',
        'rollout',
        service=documents.ENGINES,
        max_attempts=3,
        item_ttl_s=20.0,
        result_due_ms=7500,
    )
    config['routes'] = [
        one
        for one in config['routes']
        if one['path_prefix'] != documents.BATCH_PREFIX
    ]
    config['routes'].append(added)
    manifest = json.dumps(config).encode()
    neighbours.daemons[other].routes.adopt(read_manifest(manifest).unwrap())
    reply = await neighbours.caller.call(
        neighbours.address(other),
        'POST',
        '/added/b-1',
        json.dumps(build_batch(ITEMS)).encode(),
        request_id='b-1',
    )
    assert reply.status == 202
    results = await neighbours.caller.read_all(neighbours.address(other), 'b-1')
    assert {result['state'] for result in results} == {'completed'}
    assert sorted(result['id'] for result in results) == sorted(ITEMS)


async def test_submission_is_refused_truly_while_the_store_is_down(
    neighbours: RolloutWorld,
) -> None:
    # The store is down for all. A coordinator that tried in vain could not tell
    # whether the batch stands, and the caller would be cut off instead of
    # being told when to come back.
    await await_acquaintance(neighbours)
    neighbours.store.faults.mode = 'busy'
    await asyncio.sleep(1.5)
    for number in range(3):
        reply = await neighbours.caller.submit(
            neighbours.address(number), f'b-{number}', build_batch(ITEMS)
        )
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) > 0
    neighbours.store.faults.mode = ''
    await asyncio.sleep(1.0)
    assert not any(engine.runs for engine in neighbours.engines)
