"""Daemons while the store does not answer all of them, or none."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.world import build_batch
from quetzalcourse.tests.rollout.calls import (
    LOOKUP,
    await_acquaintance,
    look_up,
)

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.world import RolloutWorld


async def test_lapsed_entries_are_kept_while_the_store_returns(
    world: RolloutWorld,
) -> None:
    # The store is away for a while and forgets the servers' entries and its
    # history. Lookups go on meanwhile; servers that don't register again
    # within two seconds of its return are taken as gone.
    world.store.faults.mode = 'busy'
    await asyncio.sleep(0.5)
    for server in (*world.services, *world.engines):
        await server.stop_beats()
        await world.store.remove('servers', server.name)
    world.store.forget_history()
    world.store.faults.mode = ''
    await asyncio.sleep(0.8)
    assert (await look_up(world)).status == 200
    await asyncio.sleep(2.2)
    assert (await look_up(world)).status == 503


@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_requests_are_served_without_the_store(
    world: RolloutWorld,
    mode: str,
) -> None:
    # The store refuses every call, resets it or says nothing. Lookups need
    # nothing of it.
    world.store.faults.mode = mode
    await asyncio.sleep(1.5)
    assert (await look_up(world)).status == 200


@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_withdrawn_key_stops_where_the_store_is_out_of_reach(
    pair: RolloutWorld,
    mode: str,
) -> None:
    # The store turns one daemon away while it serves the others. A key that
    # is withdrawn meanwhile would go on working there. The wait that was
    # open when the fault began still brings changes for a second.
    await await_acquaintance(pair)
    pair.doors[0].faults.mode = mode
    await asyncio.sleep(1.3)
    config = documents.build_config(2)
    config['tenants'][0]['api_keys'] = ['another']
    await pair.store.write('op', 'config', config)
    await asyncio.sleep(3.0)
    assert (await look_up(pair)).status == 401


async def ask_ready(world: RolloutWorld, number: int) -> int:
    """Ask a daemon whether it is ready, as the balancer does."""
    address = world.daemons[number].settings.listen.readiness
    reply = await world.caller.call(address, 'GET', '/quetzalcourse/ready')
    return reply.status


async def test_daemon_out_of_reach_of_the_store_gets_no_new_callers(
    pair: RolloutWorld,
) -> None:
    # The store turns one daemon away while it serves the other. Batches are
    # refused there, so new callers are better served by the other one.
    await await_acquaintance(pair)
    pair.doors[0].faults.mode = 'busy'
    await asyncio.sleep(2.5)
    assert (await ask_ready(pair, 0), await ask_ready(pair, 1)) == (503, 200)
    pair.doors[0].faults.mode = ''
    await asyncio.sleep(1.5)
    assert await ask_ready(pair, 0) == 200


async def test_all_daemons_stay_ready_without_the_store(
    pair: RolloutWorld,
) -> None:
    # The store is down for all. Lookups need none, and go on.
    await await_acquaintance(pair)
    pair.store.faults.mode = 'busy'
    await asyncio.sleep(2.5)
    assert (await ask_ready(pair, 0), await ask_ready(pair, 1)) == (200, 200)


async def test_daemon_without_manifest_promises_to_come_back(
    world: RolloutWorld,
) -> None:
    # A daemon starts while the store is down. It knows no route and no key,
    # so it must not say that there are none.
    world.store.faults.mode = 'busy'
    starting = asyncio.ensure_future(world.add_daemon('vm-late'))
    await asyncio.sleep(1.0)
    reply = await world.caller.call(world.address(1), 'POST', LOOKUP, b'salt')
    assert reply.status == 503
    world.store.faults.mode = ''
    await starting
    reply = await world.caller.call(world.address(1), 'POST', LOOKUP, b'salt')
    assert reply.status == 200


ITEMS = [f'i-{number}' for number in range(12)]


@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_daemon_out_of_reach_of_the_store_takes_batches(
    pair: RolloutWorld,
    mode: str,
) -> None:
    # The store turns one daemon away for some seconds while it serves the
    # other. A trainer whose channels lead there would lose its step: both of
    # its tries are over before the balancer has sent it elsewhere.
    await await_acquaintance(pair)
    pair.doors[0].faults.mode = mode
    await asyncio.sleep(2.0)
    reply = await pair.caller.submit(
        pair.address(0), 'b-1', build_batch(ITEMS, scored=True)
    )
    assert reply.status == 202
    results = await pair.caller.read_all(pair.address(0), 'b-1')
    assert {result['state'] for result in results} == {'completed'}
    assert results == await pair.caller.read_all(pair.address(1), 'b-1')
    reply = await pair.caller.call(
        pair.address(0), 'DELETE', '/quetzalcourse/lots/b-1'
    )
    assert reply.status == 200
    runs = [run.request_id for one in pair.engines for run in one.runs]
    assert len(runs) == len(set(runs))


async def test_submission_goes_by_another_daemon_at_the_first_refusal(
    pair: RolloutWorld,
) -> None:
    """No daemon has said yet that the store answers it."""
    await await_acquaintance(pair)
    pair.doors[0].faults.mode = 'busy'
    reply = await pair.caller.submit(pair.address(0), 'b-1', build_batch(ITEMS))
    assert reply.status == 202


async def test_owner_out_of_reach_of_the_store_keeps_its_batch(
    pair: RolloutWorld,
) -> None:
    # The store turns the owner of a batch away in the middle of it. Were the
    # batch taken over, its texts would be made again seconds later.
    await await_acquaintance(pair)
    for engine in pair.engines:
        engine.faults.slow = 40
    await pair.caller.submit(pair.address(0), 'b-1', build_batch(ITEMS))
    pair.doors[0].faults.mode = 'busy'
    results = await pair.caller.read_all(pair.address(1), 'b-1')
    assert {result['state'] for result in results} == {'completed'}
    runs = [run.request_id for one in pair.engines for run in one.runs]
    assert len(runs) == len(set(runs))


async def test_batch_is_refused_truly_where_nobody_reaches_the_store(
    pair: RolloutWorld,
) -> None:
    # The store is down for all. Nobody can help, and the refusal says so
    # within a moment of the last try.
    await await_acquaintance(pair)
    pair.store.faults.mode = 'busy'
    reply = await pair.caller.submit(pair.address(0), 'b-1', build_batch(ITEMS))
    assert reply.status == 503
    pair.store.faults.mode = ''
    await asyncio.sleep(1.0)
    assert not any(engine.runs for engine in pair.engines)
