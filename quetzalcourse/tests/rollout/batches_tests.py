"""Batches: accepted once, run by one daemon after another, read anywhere."""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import count_events, write_text
from quetzalcourse.standins.rollout.cluster import (
    Caller,
    build_batch,
    build_item,
)

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.cluster import RolloutCluster

ITEMS = [f'i-{number}' for number in range(12)]


def check_results(results: list[dict[str, Any]]) -> None:
    """Check that every item has its whole text, once."""
    assert sorted(result['id'] for result in results) == sorted(ITEMS)
    for result in results:
        assert result['state'] == 'completed'
        assert result['text'] == write_text(result['id'])


async def test_batch_is_run_and_read_at_any_daemon(
    two_daemons: RolloutCluster,
) -> None:
    """Positions and contents are the same at both daemons."""
    reply = await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202
    results = await two_daemons.caller.read_all(two_daemons.address(1), 'b-1')
    check_results(results)
    assert results == await two_daemons.caller.read_all(
        two_daemons.address(0), 'b-1'
    )
    assert {version for one in results for version in one['versions']} == {1}


async def test_batch_is_accepted_once(two_daemons: RolloutCluster) -> None:
    # The answer to a submission is lost and the caller submits it again at
    # another daemon. A trainer would learn twice from each sample.
    batch = build_batch(ITEMS)
    replies = await asyncio.gather(
        *(
            two_daemons.caller.submit(
                two_daemons.address(number % 2), 'b-1', batch
            )
            for number in range(6)
        )
    )
    assert {reply.status for reply in replies} == {202}
    check_results(
        await two_daemons.caller.read_all(two_daemons.address(0), 'b-1')
    )
    runs = [run.request_id for one in two_daemons.engines for run in one.runs]
    assert len(runs) == len(set(runs))


async def test_batch_is_run_once_by_its_owner(cluster: RolloutCluster) -> None:
    # The feed shows a new batch before the answer to its write has come. The
    # daemon took it for one of its own that nobody runs, and ran it twice:
    # each run's commits failed the other's, over and over.
    cluster.store.faults.answer_delay_seconds = 0.5
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(ITEMS))
    cluster.store.faults.answer_delay_seconds = 0
    check_results(await cluster.caller.read_all(cluster.address(), 'b-1'))
    runs = [run.request_id for one in cluster.engines for run in one.runs]
    assert len(runs) == len(set(runs))


async def test_unknown_batch_is_told(cluster: RolloutCluster) -> None:
    """Also to another client account, whose batch it is not."""
    reply = await cluster.caller.read(cluster.address(), 'none', wait_ms=0)
    assert reply.status == 404
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(ITEMS))
    stranger = Caller(documents.OTHER_KEY)
    assert (await stranger.read(cluster.address(), 'b-1')).status == 404


async def test_body_of_an_item_is_read_back(
    two_daemons: RolloutCluster,
) -> None:
    """At any daemon, as long as the item is not listed."""
    for engine in two_daemons.engines:
        engine.slots = 0
    await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    for number in range(2):
        reply = await two_daemons.caller.call(
            two_daemons.address(number),
            'GET',
            '/quetzalcourse/items/b-1?id=i-3',
        )
        assert reply.body == b'body of i-3'
    reply = await two_daemons.caller.call(
        two_daemons.address(1), 'GET', '/quetzalcourse/items/b-1?id=none'
    )
    assert reply.status == 404


async def test_ended_batch_is_run_no_more(two_daemons: RolloutCluster) -> None:
    # A trainer has enough and ends its batch at another daemon. Items that
    # went on would take slots from the next step.
    for engine in two_daemons.engines:
        engine.faults.slowdown = 20
    await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    await asyncio.sleep(0.3)
    for _ in range(2):
        reply = await two_daemons.caller.call(
            two_daemons.address(1), 'DELETE', '/quetzalcourse/lots/b-1'
        )
        assert reply.status == 200
    await asyncio.sleep(0.5)
    assert sum(engine.running for engine in two_daemons.engines) == 0


@pytest.mark.parametrize('lost', ['owner is cut off', 'owner is dead'])
async def test_batch_goes_on_without_its_owner(
    two_daemons: RolloutCluster,
    lost: str,
) -> None:
    # The daemon that accepted a batch dies, or loses the store and goes on.
    # The trainer's step would never end; with two owners an item could
    # stand at two positions.
    for engine in two_daemons.engines:
        engine.faults.slowdown = 8
    await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    if lost == 'owner is dead':
        await two_daemons.end_daemon(two_daemons.daemons[0])
    else:
        two_daemons.store_endpoints[0].faults.mode = 'silent'
    results = await two_daemons.caller.read_all(two_daemons.address(1), 'b-1')
    check_results(results)


async def test_stopping_owner_hands_over(two_daemons: RolloutCluster) -> None:
    # The owner of a batch is told to stop. Another daemon goes on at once,
    # not after a silence.
    for engine in two_daemons.engines:
        engine.faults.slowdown = 30
    await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    stopping = asyncio.ensure_future(two_daemons.daemons[0].on_drain())
    await asyncio.sleep(1.0)
    assert list(two_daemons.daemons[1].batches.runner.batches) == ['b-1']
    check_results(
        await two_daemons.caller.read_all(two_daemons.address(1), 'b-1')
    )
    await stopping


@pytest.mark.parametrize('stop', ['told', 'killed'])
async def test_next_owner_goes_on_from_the_text(
    two_daemons: RolloutCluster,
    stop: str,
) -> None:
    # The owner of a batch stops while long items run. Begun anew by each
    # owner in turn they would come seconds late, and their tokens would be
    # paid for again.
    for engine in two_daemons.engines:
        engine.faults.slowdown = 40
    await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    await asyncio.sleep(2.4)
    if stop == 'told':
        stopping = asyncio.ensure_future(two_daemons.daemons[0].on_drain())
    else:
        stopping = asyncio.ensure_future(
            two_daemons.end_daemon(two_daemons.daemons[0])
        )
    check_results(
        await two_daemons.caller.read_all(two_daemons.address(1), 'b-1')
    )
    await stopping
    runs = [run for engine in two_daemons.engines for run in engine.runs]
    assert max(run.resumed_after for run in runs) >= 2


@pytest.mark.parametrize(
    'fault',
    ['crash', 'lost', 'error', 'cut', 'late writes', 'lost writes', 'history'],
)
async def test_faults_lose_no_item(cluster: RolloutCluster, fault: str) -> None:
    # While a batch runs a server crashes, loses answers, fails, cuts its
    # streams, or the store loses answers, applies writes late or forgets its
    # history. Each item still has its whole text, once.
    engine = cluster.engines[0]
    for one in cluster.engines:
        one.faults.slowdown = 4
    if fault == 'lost':
        engine.faults.lost_answers = 3
    elif fault == 'error':
        engine.faults.failed_answers = 1
    elif fault == 'cut':
        engine.faults.stream_cuts, engine.faults.cut_after = 4, 2
    elif fault == 'late writes':
        cluster.store.faults.lost_answers, cluster.store.faults.late_seconds = (
            0.4,
            0.5,
        )
    elif fault == 'lost writes':
        cluster.store.faults.lost_answers = 0.4
    submitted = None
    while submitted != 202:
        try:
            reply = await cluster.caller.submit(
                cluster.address(), 'b-1', build_batch(ITEMS)
            )
        except aiohttp.ClientError:
            continue
        submitted = reply.status
    if fault == 'crash':
        await engine.stop()
        await cluster.store.remove('servers', engine.name)
    elif fault == 'history':
        cluster.store.forget_history()
    check_results(await cluster.caller.read_all(cluster.address(), 'b-1'))


async def test_cut_stream_is_resumed_behind_its_last_event(
    cluster: RolloutCluster,
) -> None:
    # A server cuts a stream after two events. The item goes on behind them
    # at another server; run from the start its tokens would be paid twice.
    for engine in cluster.engines:
        engine.faults.stream_cuts, engine.faults.cut_after = 6, 2
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(ITEMS))
    check_results(await cluster.caller.read_all(cluster.address(), 'b-1'))
    runs = [run for engine in cluster.engines for run in engine.runs]
    assert any(run.resumed_after == 2 for run in runs)


async def test_submission_without_the_store_is_refused_truly(
    cluster: RolloutCluster,
) -> None:
    # The store refuses every write. Nothing of the batch runs, now or when
    # the store is back, and the caller is told so.
    cluster.store.faults.mode = 'busy'
    reply = await cluster.caller.submit(
        cluster.address(), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 503
    cluster.store.faults.mode = ''
    await asyncio.sleep(1.0)
    assert not any(engine.runs for engine in cluster.engines)
    reply = await cluster.caller.read(cluster.address(), 'b-1', wait_ms=0)
    assert reply.status == 404


async def test_submission_of_unknown_outcome_gets_no_answer(
    cluster: RolloutCluster,
) -> None:
    # Each write of a submission may or may not have taken effect. An answer
    # would be a promise; a cut channel is none, and the caller asks again.
    cluster.store.faults.lost_answers = 1.0
    cluster.store.faults.late_seconds = 3.0
    with pytest.raises(aiohttp.ClientError):
        await cluster.caller.submit(
            cluster.address(), 'b-1', build_batch(ITEMS)
        )
    cluster.store.faults.lost_answers = 0
    reply = await cluster.caller.submit(
        cluster.address(), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202
    check_results(await cluster.caller.read_all(cluster.address(), 'b-1'))


@pytest.mark.parametrize(
    'body', [b'', b'{}', b'[]', b'{"requests": [{"id": 7}]}']
)
async def test_malformed_submission_is_told(
    cluster: RolloutCluster,
    body: bytes,
) -> None:
    """It is a fault of the caller, and nothing is kept of it."""
    reply = await cluster.caller.call(
        cluster.address(), 'POST', f'{documents.BATCH_PREFIX}b-1', body
    )
    assert reply.status == 400


async def test_item_that_always_fails_is_given_up(
    cluster: RolloutCluster,
) -> None:
    # Every server fails on an item. It is abandoned after as many failures
    # as its route allows, and takes no more slots.
    for engine in cluster.engines:
        engine.faults.failed_answers = 100
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(['i-0']))
    results = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert [result['state'] for result in results] == ['abandoned']
    assert sum(len(engine.runs) for engine in cluster.engines) == 3


async def test_item_that_ran_out_of_time_is_not_given_up(
    cluster: RolloutCluster,
) -> None:
    # Servers answer that an item's time was over. Only their own failures
    # say that it can't be done, so it is tried on.
    for engine in cluster.engines:
        engine.faults.expired_answers = 3
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(['i-0']))
    (result,) = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert result['state'] == 'completed'
    assert sum(len(engine.runs) for engine in cluster.engines) == 7


async def test_large_text_is_read_back(cluster: RolloutCluster) -> None:
    # A commit holds more text than a row of the store does. The store would
    # refuse it again and again, and the batch would never end.
    for engine in cluster.engines:
        engine.padding = 'x' * 9000
    reply = await cluster.caller.submit(
        cluster.address(), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202
    results = await cluster.caller.read_all(cluster.address(), 'b-1')
    sizes = {one['id']: len(one['text']) for one in results}
    assert sizes == {
        name: len(write_text(name)) + 9000 * count_events(name)
        for name in ITEMS
    }


async def test_batch_larger_than_a_transaction_is_accepted(
    two_daemons: RolloutCluster,
) -> None:
    # A batch holds more than the store takes at once. Its items are written
    # first and its head last, so that it stands whole or not at all.
    items = [build_item(name) for name in ITEMS]
    for item in items:
        item['body'] = base64.b64encode(b'x' * 60_000).decode()
    batch = build_batch([], requests=items)
    reply = await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', batch
    )
    assert reply.status == 202
    reply = await two_daemons.caller.call(
        two_daemons.address(1), 'GET', '/quetzalcourse/items/b-1?id=i-3'
    )
    assert len(reply.body) == 60_000
    check_results(
        await two_daemons.caller.read_all(two_daemons.address(1), 'b-1')
    )
