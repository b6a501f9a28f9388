"""Daemons while the store does not answer all of them, or none."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import build_batch
from quetzalcourse.tests.rollout.calls import (
    LOOKUP,
    await_membership,
    look_up,
)

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.cluster import RolloutCluster


async def test_lapsed_entries_are_kept_while_the_store_returns(
    cluster: RolloutCluster,
) -> None:
    # The store is away for a while and forgets the servers' entries and its
    # history. Lookups go on meanwhile; servers that don't register again
    # within two seconds of its return are taken as gone.
    cluster.store.faults.mode = 'busy'
    await asyncio.sleep(0.5)
    for server in (*cluster.services, *cluster.engines):
        await server.stop_heartbeats()
        await cluster.store.remove('servers', server.name)
    cluster.store.forget_history()
    cluster.store.faults.mode = ''
    await asyncio.sleep(0.8)
    assert (await look_up(cluster)).status == 200
    await asyncio.sleep(2.2)
    assert (await look_up(cluster)).status == 503


@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_requests_are_served_without_the_store(
    cluster: RolloutCluster,
    mode: str,
) -> None:
    # The store refuses every call, resets it or says nothing. Lookups need
    # nothing of it.
    cluster.store.faults.mode = mode
    await asyncio.sleep(1.5)
    assert (await look_up(cluster)).status == 200


@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_withdrawn_key_stops_where_the_store_is_out_of_reach(
    two_daemons: RolloutCluster,
    mode: str,
) -> None:
    # The store turns one daemon away while it serves the others. A key that
    # is withdrawn meanwhile would go on working there. The wait that was
    # open when the fault began still brings changes for a second.
    await await_membership(two_daemons)
    two_daemons.store_endpoints[0].faults.mode = mode
    await asyncio.sleep(1.3)
    config = documents.build_config(2)
    config['tenants'][0]['api_keys'] = ['another']
    await two_daemons.store.write('op', 'config', config)
    await asyncio.sleep(3.0)
    assert (await look_up(two_daemons)).status == 401


async def ask_ready(cluster: RolloutCluster, number: int) -> int:
    """Ask a daemon whether it is ready, as the balancer does."""
    address = cluster.daemons[number].settings.listen.readiness
    reply = await cluster.caller.call(address, 'GET', '/quetzalcourse/ready')
    return reply.status


async def test_daemon_out_of_reach_of_the_store_gets_no_new_callers(
    two_daemons: RolloutCluster,
) -> None:
    # The store turns one daemon away while it serves the other. Batches are
    # refused there, so new callers are better served by the other one.
    await await_membership(two_daemons)
    two_daemons.store_endpoints[0].faults.mode = 'busy'
    await asyncio.sleep(2.5)
    assert (
        await ask_ready(two_daemons, 0),
        await ask_ready(two_daemons, 1),
    ) == (503, 200)
    two_daemons.store_endpoints[0].faults.mode = ''
    await asyncio.sleep(1.5)
    assert await ask_ready(two_daemons, 0) == 200


async def test_all_daemons_stay_ready_without_the_store(
    two_daemons: RolloutCluster,
) -> None:
    # The store is down for all. Lookups need none, and go on.
    await await_membership(two_daemons)
    two_daemons.store.faults.mode = 'busy'
    await asyncio.sleep(2.5)
    assert (
        await ask_ready(two_daemons, 0),
        await ask_ready(two_daemons, 1),
    ) == (200, 200)


async def test_daemon_without_manifest_promises_to_come_back(
    cluster: RolloutCluster,
) -> None:
    # A daemon starts while the store is down. It knows no route and no key,
    # so it must not say that there are none.
    cluster.store.faults.mode = 'busy'
    starting = asyncio.ensure_future(cluster.add_daemon('vm-late'))
    await asyncio.sleep(1.0)
    reply = await cluster.caller.call(
        cluster.address(1), 'POST', LOOKUP, b'salt'
    )
    assert reply.status == 503
    cluster.store.faults.mode = ''
    await starting
    reply = await cluster.caller.call(
        cluster.address(1), 'POST', LOOKUP, b'salt'
    )
    assert reply.status == 200


ITEMS = [f'i-{number}' for number in range(12)]


@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_daemon_out_of_reach_of_the_store_takes_batches(
    two_daemons: RolloutCluster,
    mode: str,
) -> None:
    # The store turns one daemon away for some seconds while it serves the
    # other. A trainer whose channels lead there would lose its step: both of
    # its tries are over before the balancer has sent it elsewhere.
    await await_membership(two_daemons)
    two_daemons.store_endpoints[0].faults.mode = mode
    await asyncio.sleep(2.0)
    reply = await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS, scored=True)
    )
    assert reply.status == 202
    results = await two_daemons.caller.read_all(two_daemons.address(0), 'b-1')
    assert {result['state'] for result in results} == {'completed'}
    assert results == await two_daemons.caller.read_all(
        two_daemons.address(1), 'b-1'
    )
    reply = await two_daemons.caller.call(
        two_daemons.address(0), 'DELETE', '/quetzalcourse/lots/b-1'
    )
    assert reply.status == 200
    runs = [run.request_id for one in two_daemons.engines for run in one.runs]
    assert len(runs) == len(set(runs))


async def test_submission_goes_by_another_daemon_at_the_first_refusal(
    two_daemons: RolloutCluster,
) -> None:
    """No daemon has said yet that the store answers it."""
    await await_membership(two_daemons)
    two_daemons.store_endpoints[0].faults.mode = 'busy'
    reply = await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202


async def test_owner_out_of_reach_of_the_store_keeps_its_batch(
    two_daemons: RolloutCluster,
) -> None:
    # The store turns the owner of a batch away in the middle of it. Were the
    # batch taken over, its texts would be made again seconds later.
    await await_membership(two_daemons)
    for engine in two_daemons.engines:
        engine.faults.slowdown = 40
    await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    two_daemons.store_endpoints[0].faults.mode = 'busy'
    results = await two_daemons.caller.read_all(two_daemons.address(1), 'b-1')
    assert {result['state'] for result in results} == {'completed'}
    runs = [run.request_id for one in two_daemons.engines for run in one.runs]
    assert len(runs) == len(set(runs))


async def test_batch_is_refused_truly_where_nobody_reaches_the_store(
    two_daemons: RolloutCluster,
) -> None:
    # The store is down for all. Nobody can help, and the refusal says so
    # within a moment of the last try.
    await await_membership(two_daemons)
    two_daemons.store.faults.mode = 'busy'
    reply = await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 503
    two_daemons.store.faults.mode = ''
    await asyncio.sleep(1.0)
    assert not any(engine.runs for engine in two_daemons.engines)
