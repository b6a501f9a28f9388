"""Scoring calls for the complete texts of items."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import (
    count_events,
    write_text,
)
from quetzalcourse.standins.rollout.cluster import build_batch

if TYPE_CHECKING:
    from quetzalcourse.tests.running_time import RunningTime
    from quetzalcourse.standins.rollout.upstream import Run
    from quetzalcourse.standins.rollout.cluster import RolloutCluster

# Time within which a call that was sent before may still arrive.
IN_FLIGHT_SECONDS = 0.1
ITEMS = [f'i-{number}' for number in range(12)]
PREFIX = documents.SCORING_PREFIX


def list_calls(cluster: RolloutCluster) -> list[Run]:
    """List the scoring calls that servers started to run."""
    return [run for service in cluster.services for run in service.runs]


def check_results(
    cluster: RolloutCluster, results: list[dict[str, Any]]
) -> None:
    """Check that each item has its full text and its own score."""
    assert sorted(result['id'] for result in results) == sorted(ITEMS)
    names = {service.name for service in cluster.services}
    for result in results:
        assert result['state'] == 'completed'
        assert result['text'] == write_text(result['id'])
        server, _, call = result['score'].partition('.')
        assert server in names
        assert call == f'score-of-{result["id"]}'


def set_slots(cluster: RolloutCluster, slots: int) -> None:
    """Set the number of slots of each server of the scoring service."""
    for service in cluster.services:
        service.slots = slots


async def submit(cluster: RolloutCluster, names: list[str] = ITEMS) -> None:
    """Submit a batch whose texts are to be scored."""
    batch = build_batch(names, scored=True)
    reply = await cluster.caller.submit(cluster.address(), 'b-1', batch)
    assert reply.status == 202


async def await_unscored(cluster: RolloutCluster) -> None:
    """Wait until every text is complete at the first daemon."""
    batch = cluster.daemons[0].batches.runner.batches['b-1']
    async with asyncio.timeout(10):
        while not all(run.text_complete for run in batch.items):
            await asyncio.sleep(0.05)


async def test_texts_are_scored_once_complete(
    cluster: RolloutCluster,
) -> None:
    """Guards against early calls, and calls that carry a key or account."""
    await submit(cluster)
    check_results(
        cluster, await cluster.caller.read_all(cluster.address(), 'b-1')
    )
    calls = list_calls(cluster)
    assert sorted(call.request_id for call in calls) == sorted(
        f'score-of-{name}' for name in ITEMS
    )
    ends = {
        run.request_id: run.at for one in cluster.engines for run in one.runs
    }
    for call in calls:
        name = call.request_id.removeprefix('score-of-')
        assert call.body == f'text of {name}'.encode()
        assert (call.client_account, call.key_seen) == ('', False)
        assert call.at > ends[name] + 0.01 * count_events(name)


async def test_results_without_a_scoring_call_have_no_score(
    cluster: RolloutCluster,
) -> None:
    """Guards against a score field in results without a scoring call."""
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(ITEMS))
    results = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert not any('score' in result for result in results)


@pytest.mark.parametrize(
    'fault',
    [
        'error',
        'lost answer',
        'dark',
        'full',
        'body cut off',
        'wrong id',
        'second answer',
        'crash',
    ],
)
async def test_faults_of_the_scoring_service_lose_no_score(
    cluster: RolloutCluster,
    fault: str,
) -> None:
    # Guards against wrong or missing scores when a server of the scoring
    # service fails, loses answers, does not answer, is full, truncates
    # bodies, answers for another call or crashes: a trainer would learn from
    # a wrong score or wait forever.
    server = cluster.services[0]
    if fault == 'error':
        server.faults.failed_answers = 1
    elif fault == 'lost answer':
        server.faults.lost_answers = 4
    elif fault == 'dark':
        server.faults.unresponsive = True
    elif fault == 'full':
        server.slots = 0
    elif fault == 'body cut off':
        server.faults.truncated_answers = 4
    elif fault == 'wrong id':
        server.faults.misnamed_answers = 4
    elif fault == 'second answer':
        server.faults.duplicated_answers = 4
    await submit(cluster)
    if fault == 'crash':
        await server.stop()
        await cluster.store.remove('servers', server.name)
    check_results(
        cluster, await cluster.caller.read_all(cluster.address(), 'b-1')
    )


async def test_text_whose_scoring_always_fails_is_abandoned(
    cluster: RolloutCluster,
) -> None:
    # Guards against endless scoring, and against regenerated texts, when the
    # scoring service always fails on a text: its item is abandoned after as
    # many failures as the route allows.
    for service in cluster.services:
        service.faults.failed_answers = 100
    await submit(cluster, ['i-0'])
    results = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert [result['state'] for result in results] == ['abandoned']
    assert len(list_calls(cluster)) == 3
    assert sum(len(engine.runs) for engine in cluster.engines) == 1


async def test_scoring_that_ran_out_of_time_is_no_failure(
    cluster: RolloutCluster,
) -> None:
    # Guards against expired scoring calls that count as failures of the text.
    # They expire because the daemon waits briefly for each call; the item
    # would be abandoned although it has a score a moment later.
    for service in cluster.services:
        service.faults.expired_answers = 3
    await submit(cluster, ['i-0'])
    (result,) = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert result['state'] == 'completed'
    assert result['score'].endswith('.score-of-i-0')
    assert len(list_calls(cluster)) == 7


async def test_unscored_texts_occupy_no_engine_slot(
    cluster: RolloutCluster,
) -> None:
    # Guards against texts that occupy engine slots while they wait for an
    # unavailable scoring service: no other texts could be generated.
    set_slots(cluster, 0)
    await submit(cluster)
    await await_unscored(cluster)
    assert sum(engine.running for engine in cluster.engines) == 0
    pool = cluster.daemons[0].pool
    assert sum(one.running for one in pool.list_service(documents.ENGINES)) == 0
    set_slots(cluster, 6)
    check_results(
        cluster, await cluster.caller.read_all(cluster.address(), 'b-1')
    )


async def test_scoring_calls_wait_for_a_dropped_route_to_return(
    cluster: RolloutCluster,
) -> None:
    # Guards against results without a score when the route of the scoring
    # calls is dropped while texts wait for their scores, and comes back.
    set_slots(cluster, 0)
    await submit(cluster)
    await await_unscored(cluster)
    dropped = documents.build_config(2)
    dropped['routes'] = [
        route for route in dropped['routes'] if route['path_prefix'] != PREFIX
    ]
    await cluster.store.write('op', 'config', dropped)
    await asyncio.sleep(0.5)
    set_slots(cluster, 6)
    await asyncio.sleep(1.0)
    assert list_calls(cluster) == []
    await cluster.store.write('op', 'config', documents.build_config(3))
    check_results(
        cluster, await cluster.caller.read_all(cluster.address(), 'b-1')
    )


@pytest.mark.parametrize('end', ['killed', 'told to stop', 'cut off'])
async def test_next_owner_scores_complete_texts(
    two_daemons: RolloutCluster,
    end: str,
) -> None:
    # Guards against texts that are generated again when the owner of a batch
    # is lost between the end of a text and its score: they would come late
    # and their tokens would be paid for twice. The next owner only scores.
    set_slots(two_daemons, 0)
    await submit(two_daemons)
    await await_unscored(two_daemons)
    await asyncio.sleep(1.3)
    if end == 'killed':
        ending = asyncio.ensure_future(
            two_daemons.end_daemon(two_daemons.daemons[0])
        )
    elif end == 'told to stop':
        ending = asyncio.ensure_future(two_daemons.daemons[0].on_drain())
    else:
        two_daemons.store_endpoints[0].faults.mode = 'silent'
        ending = asyncio.ensure_future(asyncio.sleep(0))
    await asyncio.sleep(0.5)
    set_slots(two_daemons, 6)
    check_results(
        two_daemons,
        await two_daemons.caller.read_all(two_daemons.address(1), 'b-1'),
    )
    await ending
    assert sum(len(engine.runs) for engine in two_daemons.engines) == len(ITEMS)


async def test_ended_batch_stops_scoring(
    two_daemons: RolloutCluster,
    running_time: RunningTime,
) -> None:
    # Guards against scoring calls that go on after the trainer has ended its
    # batch: others need their slots.
    for service in two_daemons.services:
        service.faults.slowdown = 60
    await submit(two_daemons)
    await running_time.sleep(0.6)
    assert list_calls(two_daemons)
    reply = await two_daemons.caller.call(
        two_daemons.address(1), 'DELETE', '/quetzalcourse/lots/b-1'
    )
    assert reply.status == 200
    ended = time.monotonic()
    await running_time.sleep(1.0)
    later = [
        run
        for run in list_calls(two_daemons)
        if running_time.measure(ended, run.at) > IN_FLIGHT_SECONDS
    ]
    assert not later
    assert sum(service.running for service in two_daemons.services) == 0


async def test_lookups_are_served_during_a_burst_of_scores(
    cluster: RolloutCluster,
) -> None:
    # Guards against human lookups that are refused or queued behind scoring
    # calls when all texts of a large step end together.
    for service in cluster.services:
        service.faults.slowdown = 20
        service.slots = 6
    names = [f'i-{number}' for number in range(60)]
    await submit(cluster, names)
    async with asyncio.timeout(10):
        while sum(service.running for service in cluster.services) < 8:
            await asyncio.sleep(0.02)
    replies = await asyncio.gather(
        *(
            cluster.caller.call(
                cluster.address(),
                'POST',
                documents.LOOKUP_PREFIX,
                b'shelf',
                request_id=f'r-{number}',
            )
            for number in range(2)
        )
    )
    assert [reply.status for reply in replies] == [200, 200]
    lookups = [run for run in list_calls(cluster) if run.request_id[0] == 'r']
    assert len(lookups) == 2
