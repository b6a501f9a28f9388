"""Scores of whole texts: asked for once a text stands, whatever happens."""

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
    from quetzalcourse.standins.rollout.upstream import Run
    from quetzalcourse.standins.rollout.cluster import RolloutCluster

# Time in which a call that was sent before may still arrive, in seconds.
ON_THE_WAY = 0.1
ITEMS = [f'i-{number}' for number in range(12)]
PREFIX = documents.SCORING_PREFIX


def list_calls(cluster: RolloutCluster) -> list[Run]:
    """List the scoring calls that servers began to work on."""
    return [run for service in cluster.services for run in service.runs]


def check_results(
    cluster: RolloutCluster, results: list[dict[str, Any]]
) -> None:
    """Check that each item has its whole text and a score of its own."""
    assert sorted(result['id'] for result in results) == sorted(ITEMS)
    names = {service.name for service in cluster.services}
    for result in results:
        assert result['state'] == 'completed'
        assert result['text'] == write_text(result['id'])
        server, _, call = result['score'].partition('.')
        assert server in names
        assert call == f'score-of-{result["id"]}'


def set_slots(cluster: RolloutCluster, slots: int) -> None:
    """Let each server of the scoring service have as many slots."""
    for service in cluster.services:
        service.slots = slots


async def submit(cluster: RolloutCluster, names: list[str] = ITEMS) -> None:
    """Submit a batch whose texts are to be scored."""
    batch = build_batch(names, scored=True)
    reply = await cluster.caller.submit(cluster.address(), 'b-1', batch)
    assert reply.status == 202


async def await_unscored(cluster: RolloutCluster) -> None:
    """Wait until every text stands whole at the first daemon."""
    batch = cluster.daemons[0].batches.runner.batches['b-1']
    async with asyncio.timeout(10):
        while not all(run.text_complete for run in batch.items):
            await asyncio.sleep(0.05)


async def test_texts_are_scored_once_they_are_whole(
    cluster: RolloutCluster,
) -> None:
    """The call carries its own id and body, and neither key nor account."""
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
    """Their results look as they always did."""
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
    # A server of the scoring service fails, loses answers, falls silent, is
    # full, cuts bodies off, answers for another call, or crashes. A trainer
    # would learn from a score that is nobody's, or wait for one for ever.
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


async def test_text_whose_scoring_always_fails_is_given_up(
    cluster: RolloutCluster,
) -> None:
    # The scoring service fails on a text each time. Its item is abandoned
    # after as many failures as the route allows, and the text is made once.
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
    # Servers of the scoring service answer that the time of a call was over,
    # which is the daemon's own short wait. Counted as failures of the text,
    # its item would be abandoned though it has a score a moment later.
    for service in cluster.services:
        service.faults.expired_answers = 3
    await submit(cluster, ['i-0'])
    (result,) = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert result['state'] == 'completed'
    assert result['score'].endswith('.score-of-i-0')
    assert len(list_calls(cluster)) == 7


async def test_unscored_texts_hold_no_slot_of_an_engine(
    cluster: RolloutCluster,
) -> None:
    # The scoring service is away for a while. Texts that wait for it must
    # not keep other texts from being made.
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


async def test_route_that_moves_takes_its_scoring_calls_along(
    cluster: RolloutCluster,
) -> None:
    # The route of the scoring calls is dropped while texts wait for their
    # scores, and comes back. Nothing says meanwhile that they have none.
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
async def test_next_owner_scores_what_is_whole(
    two_daemons: RolloutCluster,
    end: str,
) -> None:
    # The owner of a batch goes between the end of a text and its score. The
    # next one asks for the score alone; made again, the texts would come
    # late and their tokens be paid twice.
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


async def test_ended_batch_is_scored_no_more(
    two_daemons: RolloutCluster,
) -> None:
    # A trainer has enough and ends its batch while calls are under way.
    # Their slots are wanted by others.
    for service in two_daemons.services:
        service.faults.slowdown = 60
    await submit(two_daemons)
    await asyncio.sleep(0.6)
    assert list_calls(two_daemons)
    reply = await two_daemons.caller.call(
        two_daemons.address(1), 'DELETE', '/quetzalcourse/lots/b-1'
    )
    assert reply.status == 200
    ended = time.monotonic()
    await asyncio.sleep(1.0)
    later = [
        run for run in list_calls(two_daemons) if run.at > ended + ON_THE_WAY
    ]
    assert not later
    assert sum(service.running for service in two_daemons.services) == 0


async def test_lookups_pass_a_burst_of_scores(cluster: RolloutCluster) -> None:
    # The texts of a large step end together and all want their scores. A
    # human's lookup is served meanwhile, not refused and not behind them.
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
