"""Daemons while the store is unavailable to some or all of them."""

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
    # Guards against lookups that fail after an outage in which the store lost
    # its registrations and its change log. Servers that don't register again
    # within two seconds of its return count as gone.
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
    # Guards against lookups that depend on the store while it refuses, resets
    # or does not answer calls.
    cluster.store.faults.mode = mode
    await asyncio.sleep(1.5)
    assert (await look_up(cluster)).status == 200


@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_withdrawn_key_is_refused_where_the_store_is_unreachable(
    two_daemons: RolloutCluster,
    mode: str,
) -> None:
    # Guards against a withdrawn key that keeps working at a daemon which the
    # store refuses while it serves the others. The long poll that was open
    # when the fault began still delivers changes for a second.
    await await_membership(two_daemons)
    two_daemons.store_endpoints[0].faults.mode = mode
    await asyncio.sleep(1.3)
    config = documents.build_config(2)
    config['tenants'][0]['api_keys'] = ['another']
    await two_daemons.store.write('op', 'config', config)
    await asyncio.sleep(3.0)
    assert (await look_up(two_daemons)).status == 401


async def ask_ready(cluster: RolloutCluster, number: int) -> int:
    """Query the readiness of a daemon, as the balancer does."""
    address = cluster.daemons[number].settings.listen.readiness
    reply = await cluster.caller.call(address, 'GET', '/quetzalcourse/ready')
    return reply.status


async def test_daemon_cut_off_from_the_store_is_not_ready(
    two_daemons: RolloutCluster,
) -> None:
    # Guards against new callers at a daemon that the store refuses while it
    # serves the other one: batches would be refused there.
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
    # Guards against all daemons turning not ready when the store is down for
    # all of them: lookups, which need no store, would fail too.
    await await_membership(two_daemons)
    two_daemons.store.faults.mode = 'busy'
    await asyncio.sleep(2.5)
    assert (
        await ask_ready(two_daemons, 0),
        await ask_ready(two_daemons, 1),
    ) == (200, 200)


async def test_daemon_without_manifest_answers_unavailable(
    cluster: RolloutCluster,
) -> None:
    # Guards against "not found" or "unauthenticated" answers of a daemon that
    # starts while the store is down and knows no routes and keys yet.
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
async def test_daemon_cut_off_from_the_store_accepts_batches(
    two_daemons: RolloutCluster,
    mode: str,
) -> None:
    # Guards against a lost step of a trainer that is connected to a daemon
    # which the store refuses for some seconds while it serves the other: both
    # attempts of the trainer end before the balancer moves it.
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


async def test_first_refused_submission_is_relayed_by_another_daemon(
    two_daemons: RolloutCluster,
) -> None:
    """Guards against refusal before daemons report who reaches the store."""
    await await_membership(two_daemons)
    two_daemons.store_endpoints[0].faults.mode = 'busy'
    reply = await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 202


async def test_owner_cut_off_from_the_store_keeps_its_batch(
    two_daemons: RolloutCluster,
) -> None:
    # Guards against a takeover when the store refuses the owner of a running
    # batch: its texts would be generated again seconds later.
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


async def test_batch_is_refused_if_no_daemon_reaches_the_store(
    two_daemons: RolloutCluster,
) -> None:
    # Guards against a batch that runs later although it was refused, when the
    # store is down for all daemons.
    await await_membership(two_daemons)
    two_daemons.store.faults.mode = 'busy'
    reply = await two_daemons.caller.submit(
        two_daemons.address(0), 'b-1', build_batch(ITEMS)
    )
    assert reply.status == 503
    two_daemons.store.faults.mode = ''
    await asyncio.sleep(1.0)
    assert not any(engine.runs for engine in two_daemons.engines)
