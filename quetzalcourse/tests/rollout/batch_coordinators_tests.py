"""Batches run by the coordinator of their model."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

import aiohttp
import pytest

from quetzalcourse.coordination.batches import coordinators
from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import build_batch
from quetzalcourse.tests.rollout.calls import await_membership

if TYPE_CHECKING:
    from quetzalcourse.tests.running_time import RunningTime
    from quetzalcourse.rollout_application import RolloutApplication
    from quetzalcourse.standins.rollout.cluster import RolloutCluster

LARGE_STEP = 160
ITEMS = [f'i-{number}' for number in range(12)]


def find_coordinator(cluster: RolloutCluster) -> RolloutApplication:
    """Find the daemon that runs the model's batches."""
    presence = cluster.daemons[0].presence
    coordinator = coordinators.find_coordinator(
        documents.MODEL, presence.own, presence.list_live()
    )
    return next(
        one for one in cluster.daemons if one.settings.vm == coordinator.vm
    )


def list_owners(cluster: RolloutCluster, batch: str) -> list[str]:
    """List the daemons that run a batch."""
    return [
        daemon.settings.vm
        for daemon in cluster.daemons
        if batch in daemon.batches.runner.batches
    ]


async def test_steps_are_run_by_one_daemon_wherever_submitted(
    shared_data_centre: RolloutCluster,
) -> None:
    # Guards against steps that are run by the daemon which received them: a
    # trainer submits to one daemon after another, and every step would open
    # new connections to the engines.
    await await_membership(shared_data_centre)
    for engine in shared_data_centre.engines:
        engine.faults.slowdown = 10
    coordinator = find_coordinator(shared_data_centre).settings.vm
    for number in range(3):
        names = [f'{number}-{name}' for name in ITEMS]
        reply = await shared_data_centre.caller.submit(
            shared_data_centre.address(number),
            f'b-{number}',
            build_batch(names),
        )
        assert reply.status == 202
        assert list_owners(shared_data_centre, f'b-{number}') == [coordinator]
    for number in range(3):
        results = await shared_data_centre.caller.read_all(
            shared_data_centre.address(number), f'b-{number}'
        )
        assert {result['state'] for result in results} == {'completed'}
    runs = [
        run.request_id for one in shared_data_centre.engines for run in one.runs
    ]
    assert len(runs) == len(set(runs))


@pytest.mark.parametrize('end', ['dead', 'cut off from the store', 'full'])
async def test_batch_runs_where_submitted_without_its_coordinator(
    shared_data_centre: RolloutCluster,
    end: str,
    monkeypatch: pytest.MonkeyPatch,
    running_time: RunningTime,
) -> None:
    # Guards against a submission that waits for a coordinator which has just
    # died, can't write or is at its limit while the others don't know yet.
    await await_membership(shared_data_centre)
    for engine in shared_data_centre.engines:
        engine.faults.slowdown = 10
    coordinator = find_coordinator(shared_data_centre)
    number = shared_data_centre.daemons.index(coordinator)
    if end == 'dead':
        await shared_data_centre.end_daemon(coordinator)
    elif end == 'full':
        full = 'quetzalcourse.coordination.batches.batch_service.MAX_OPEN_ITEMS'
        monkeypatch.setattr(full, 0)
    else:
        shared_data_centre.store_endpoints[number].faults.mode = 'silent'
    other = (number + 1) % 3
    began = time.monotonic()
    reply = await shared_data_centre.caller.submit(
        shared_data_centre.address(other), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202
    assert running_time.measure(began, time.monotonic()) < 1
    results = await shared_data_centre.caller.read_all(
        shared_data_centre.address(other), 'b-1'
    )
    assert sorted(result['id'] for result in results) == sorted(ITEMS)
    assert {result['state'] for result in results} == {'completed'}


async def test_open_steps_of_a_late_trainer_share_a_coordinator(
    shared_data_centre: RolloutCluster,
) -> None:
    # Guards against two open steps of a late trainer that are run by two
    # daemons: neither knows that the older step is due first, and both end
    # late.
    await await_membership(shared_data_centre)
    for engine in shared_data_centre.engines:
        engine.faults.slowdown = 40
    coordinator = find_coordinator(shared_data_centre)
    other = (shared_data_centre.daemons.index(coordinator) + 1) % 3
    for number in range(2):
        items = [f'i-{number}-{index}' for index in range(LARGE_STEP)]
        reply = await shared_data_centre.caller.submit(
            shared_data_centre.address(other), f'b-{number}', build_batch(items)
        )
        assert reply.status == 202
    assert set(coordinator.batches.runner.batches) == {'b-0', 'b-1'}


async def test_submission_is_not_refused_if_coordinator_may_hold_it(
    shared_data_centre: RolloutCluster,
) -> None:
    # Guards against a false refusal of a batch that the coordinator has
    # written, when the store delays its answer and then refuses all calls.
    # The caller's connection is aborted instead, and the caller retries.
    await await_membership(shared_data_centre)
    number = shared_data_centre.daemons.index(
        find_coordinator(shared_data_centre)
    )
    shared_data_centre.store.faults.answer_delay_seconds = 4.0
    other = (number + 1) % 3
    submitted = asyncio.ensure_future(
        shared_data_centre.caller.submit(
            shared_data_centre.address(other), 'b-1', build_batch(ITEMS)
        )
    )
    await asyncio.sleep(0.1)
    for endpoint in shared_data_centre.store_endpoints:
        endpoint.faults.mode = 'busy'
    with pytest.raises(aiohttp.ClientError):
        await submitted
    for endpoint in shared_data_centre.store_endpoints:
        endpoint.faults.mode = ''
    shared_data_centre.store.faults.answer_delay_seconds = 0
    reply = await shared_data_centre.caller.submit(
        shared_data_centre.address(other), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202
    results = await shared_data_centre.caller.read_all(
        shared_data_centre.address(other), 'b-1'
    )
    assert sorted(result['id'] for result in results) == sorted(ITEMS)


async def test_coordinator_with_older_manifest_abandons_no_item(
    shared_data_centre: RolloutCluster,
) -> None:
    # Guards against abandoned items when a batch arrives on a new route that
    # its daemon knows and the coordinator does not yet: the route looks
    # dropped to the coordinator.
    await await_membership(shared_data_centre)
    coordinator = find_coordinator(shared_data_centre)
    number = shared_data_centre.daemons.index(coordinator)
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
    shared_data_centre.daemons[other].routes.adopt(
        read_manifest(manifest).unwrap()
    )
    reply = await shared_data_centre.caller.call(
        shared_data_centre.address(other),
        'POST',
        '/added/b-1',
        json.dumps(build_batch(ITEMS)).encode(),
        request_id='b-1',
    )
    assert reply.status == 202
    results = await shared_data_centre.caller.read_all(
        shared_data_centre.address(other), 'b-1'
    )
    assert {result['state'] for result in results} == {'completed'}
    assert sorted(result['id'] for result in results) == sorted(ITEMS)


async def test_submission_is_refused_while_the_store_is_down(
    shared_data_centre: RolloutCluster,
) -> None:
    # Guards against aborted connections while the store is down for all: a
    # coordinator whose write failed could not tell whether the batch was
    # written, and the caller would not be told when to retry.
    await await_membership(shared_data_centre)
    shared_data_centre.store.faults.mode = 'busy'
    await asyncio.sleep(1.5)
    for number in range(3):
        reply = await shared_data_centre.caller.submit(
            shared_data_centre.address(number),
            f'b-{number}',
            build_batch(ITEMS),
        )
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) > 0
    shared_data_centre.store.faults.mode = ''
    await asyncio.sleep(1.0)
    assert not any(engine.runs for engine in shared_data_centre.engines)
