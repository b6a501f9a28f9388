"""Batches: accepted once, run by one daemon at a time, read at any."""

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
    """Check that every item has its full text exactly once."""
    assert sorted(result['id'] for result in results) == sorted(ITEMS)
    for result in results:
        assert result['state'] == 'completed'
        assert result['text'] == write_text(result['id'])


async def test_batch_is_run_and_read_at_any_daemon(
    two_daemons: RolloutCluster,
) -> None:
    """Guards against positions or contents that differ between daemons."""
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
    # Guards against a batch that runs twice when the answer to a submission is
    # lost and the caller retries at another daemon: a trainer would learn
    # twice from each sample.
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
    # Guards against a daemon that runs its batch twice when the feed delivers
    # the new batch before the answer to its write: the daemon would take it
    # for an orphan, and the commits of both runs would keep failing each
    # other.
    cluster.store.faults.answer_delay_seconds = 0.5
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(ITEMS))
    cluster.store.faults.answer_delay_seconds = 0
    check_results(await cluster.caller.read_all(cluster.address(), 'b-1'))
    runs = [run.request_id for one in cluster.engines for run in one.runs]
    assert len(runs) == len(set(runs))


async def test_unknown_batch_is_not_found(cluster: RolloutCluster) -> None:
    """Guards against batches that other client accounts can read."""
    reply = await cluster.caller.read(cluster.address(), 'none', wait_ms=0)
    assert reply.status == 404
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(ITEMS))
    stranger = Caller(documents.OTHER_KEY)
    assert (await stranger.read(cluster.address(), 'b-1')).status == 404


async def test_body_of_an_item_is_read_back(
    two_daemons: RolloutCluster,
) -> None:
    """Guards against bodies that are lost while their items wait."""
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


async def test_ended_batch_stops_running(two_daemons: RolloutCluster) -> None:
    # Guards against items that keep running when a trainer ends its batch at
    # another daemon: they would take slots from the next step.
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


async def test_batch_that_ends_while_its_write_is_answered_never_runs(
    two_daemons: RolloutCluster,
) -> None:
    # Guards against a batch that occupies slots until it expires, since its
    # caller ended it at another daemon before its owner had the store's answer.
    owner, other = two_daemons.daemons
    two_daemons.store.faults.answer_delay_seconds = 0.8
    submitted = asyncio.ensure_future(
        two_daemons.caller.submit(
            two_daemons.address(), 'b-1', build_batch(ITEMS)
        )
    )
    async with asyncio.timeout(3):
        while other.batches.directory.find('b-1') is None:
            await asyncio.sleep(0.02)
        reply = await two_daemons.caller.end(two_daemons.address(1), 'b-1')
    assert reply.status == 200
    assert (await submitted).status == 202
    await asyncio.sleep(0.5)
    assert not owner.batches.runner.batches
    assert not [run for one in two_daemons.engines for run in one.runs]


@pytest.mark.parametrize('lost', ['owner is cut off', 'owner is dead'])
async def test_batch_goes_on_without_its_owner(
    two_daemons: RolloutCluster,
    lost: str,
) -> None:
    # Guards against a step that never ends when the daemon that accepted its
    # batch dies or loses the store, and against two owners that list an item
    # at two positions.
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
    # Guards against a batch that waits for failure detection when its owner
    # drains: another daemon has to take it over at once.
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
async def test_next_owner_resumes_from_the_saved_text(
    two_daemons: RolloutCluster,
    stop: str,
) -> None:
    # Guards against long items that start over when the owner of their batch
    # stops: they would end seconds late and their tokens would be paid for
    # again.
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
    # Guards against missing, partial or repeated texts when a server crashes,
    # loses answers, fails or aborts streams, or when the store loses answers,
    # applies writes late or loses its change log.
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


async def test_aborted_stream_is_resumed_behind_its_last_event(
    cluster: RolloutCluster,
) -> None:
    # Guards against an item that starts over when a server aborts its stream
    # after two events: its tokens would be paid for twice.
    for engine in cluster.engines:
        engine.faults.stream_cuts, engine.faults.cut_after = 6, 2
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(ITEMS))
    check_results(await cluster.caller.read_all(cluster.address(), 'b-1'))
    runs = [run for engine in cluster.engines for run in engine.runs]
    assert any(run.resumed_after == 2 for run in runs)


async def test_submission_refused_without_the_store_never_runs(
    cluster: RolloutCluster,
) -> None:
    # Guards against a batch that runs although it was refused, while the store
    # refuses every write or once it is back.
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
    # Guards against a definite answer when each write of a submission may or
    # may not have taken effect. The connection is aborted instead, and the
    # caller retries.
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
async def test_malformed_submission_is_a_bad_request(
    cluster: RolloutCluster,
    body: bytes,
) -> None:
    """Guards against a server error for a caller's malformed batch."""
    reply = await cluster.caller.call(
        cluster.address(), 'POST', f'{documents.BATCH_PREFIX}b-1', body
    )
    assert reply.status == 400


async def test_item_that_always_fails_is_abandoned(
    cluster: RolloutCluster,
) -> None:
    # Guards against an item that takes slots forever because every server
    # fails on it: it is abandoned after as many failures as its route allows.
    for engine in cluster.engines:
        engine.faults.failed_answers = 100
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(['i-0']))
    results = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert [result['state'] for result in results] == ['abandoned']
    assert sum(len(engine.runs) for engine in cluster.engines) == 3


async def test_item_that_ran_out_of_time_is_not_abandoned(
    cluster: RolloutCluster,
) -> None:
    # Guards against an item that is abandoned because servers answer that its
    # time was over: only failures of the servers count against it.
    for engine in cluster.engines:
        engine.faults.expired_answers = 3
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(['i-0']))
    (result,) = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert result['state'] == 'completed'
    assert sum(len(engine.runs) for engine in cluster.engines) == 7


@pytest.mark.parametrize('hint', ['9' * 18, '9' * 30])
async def test_item_with_a_huge_length_hint_holds_nothing_up(
    cluster: RolloutCluster, hint: str
) -> None:
    # Guards against a hint from which no duration can be computed, so that no
    # item of any batch is sent.
    usual = build_batch(ITEMS)
    for item in usual['requests']:
        item['headers']['X-Length-Hint'] = '30'
    await cluster.caller.submit(cluster.address(), 'b-1', usual)
    check_results(await cluster.caller.read_all(cluster.address(), 'b-1'))
    odd = build_batch(['odd'])
    odd['requests'][0]['headers']['X-Length-Hint'] = hint
    for batch_id, batch in (('b-2', odd), ('b-3', usual)):
        await cluster.caller.submit(cluster.address(), batch_id, batch)
    check_results(await cluster.caller.read_all(cluster.address(), 'b-3', 6))
    (result,) = await cluster.caller.read_all(cluster.address(), 'b-2', 6)
    assert result['state'] == 'completed'


async def test_large_text_is_read_back(cluster: RolloutCluster) -> None:
    # Guards against a commit with more text than a row of the store holds: the
    # store would refuse it repeatedly, and the batch would never end.
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
    # Guards against a batch that is refused or stored in part because it is
    # larger than a transaction: its items are written first and its head
    # last.
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


async def test_item_is_run_again_after_an_unexpected_error(
    cluster: RolloutCluster,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an item that counts as running until it expires."""
    items = cluster.daemons[0].batches.runner._items
    run = items.run
    errors = [RuntimeError('descriptor is in use')]

    async def fail_once(*arguments: Any) -> Any:
        if errors:
            raise errors.pop()
        return await run(*arguments)

    monkeypatch.setattr(items, 'run', fail_once)
    await cluster.caller.submit(cluster.address(), 'b-1', build_batch(ITEMS))
    async with asyncio.timeout(5):
        check_results(await cluster.caller.read_all(cluster.address(), 'b-1'))
    assert not errors


@pytest.mark.parametrize('owner', ['lives', 'is killed'])
async def test_next_batch_uses_the_texts_of_an_ended_one(
    carrying_daemons: RolloutCluster,
    owner: str,
) -> None:
    # Guards against items that start over when a trainer submits them again,
    # and against a batch that is not run whole if the texts died with a daemon.
    daemons = carrying_daemons
    for engine in daemons.engines:
        engine.faults.slowdown = 20
    await daemons.caller.submit(daemons.address(0), 'b-1', build_batch(ITEMS))
    await asyncio.sleep(1.2)
    await daemons.caller.call(
        daemons.address(1), 'DELETE', '/quetzalcourse/lots/b-1'
    )
    await asyncio.sleep(0.5)
    ended = [run for engine in daemons.engines for run in engine.runs]
    if owner == 'is killed':
        await daemons.end_daemon(daemons.daemons[0])
    number = int(owner == 'is killed')
    await daemons.caller.submit(
        daemons.address(number), 'b-2', build_batch(ITEMS, step=1)
    )
    check_results(await daemons.caller.read_all(daemons.address(1), 'b-2'))
    runs = [run for engine in daemons.engines for run in engine.runs]
    resumed = [run for run in runs if run.resumed_after]
    assert bool(resumed) is (owner == 'lives')
    if owner == 'lives':
        assert len(runs) - len(ended) < len(ITEMS)
