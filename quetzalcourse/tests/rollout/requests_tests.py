"""Requests that a daemon forwards from callers to servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import UpstreamFaults
from quetzalcourse.standins.rollout.cluster import Caller
from quetzalcourse.tests.rollout.calls import (
    LOOKUP,
    look_up,
    use_long_routes,
)

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.cluster import RolloutCluster

ONCE = documents.NON_IDEMPOTENT_PREFIX


def count_runs(cluster: RolloutCluster) -> int:
    """Count the requests that plain servers started to run."""
    return sum(len(server.runs) for server in cluster.services)


async def test_request_comes_back_unchanged(cluster: RolloutCluster) -> None:
    """Guards against a changed body, status or stamp of the server."""
    reply = await look_up(cluster, f'{LOOKUP}7?shelf=2', request_id='r-77')
    assert reply.status == 200
    assert reply.body == b'answer to salt'
    assert reply.headers['X-Server-Stamp'].endswith('.r-77')
    assert 'Keep-Alive' not in reply.headers


async def test_server_sees_the_account_and_never_the_key(
    cluster: RolloutCluster,
) -> None:
    """Guards against servers that see a key or a forged account."""
    await look_up(cluster, headers={'X-Tenant': 'somebody-else'})
    runs = [run for server in cluster.services for run in server.runs]
    assert [run.client_account for run in runs] == [documents.ACCOUNT]
    assert not any(run.key_seen for run in runs)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/nowhere/', documents.KEY, 404),
        (f'{LOOKUP}x', 'stolen', 401),
        (f'{LOOKUP}x', '', 401),
        (f'{documents.PUBLIC_PREFIX}x', '', 200),
    ],
)
async def test_unknown_route_or_key_is_rejected(
    cluster: RolloutCluster,
    path: str,
    key: str,
    status: int,
) -> None:
    """Guards against wrong statuses, and public routes that require a key."""
    caller = Caller(key)
    reply = await caller.call(cluster.address(), 'POST', path, b'salt')
    assert reply.status == status


async def test_longest_prefix_wins(cluster: RolloutCluster) -> None:
    """Guards against a shorter prefix that takes requests of a longer one."""
    config = documents.build_config(2)
    config['routes'].append(
        documents.build_route(f'{LOOKUP}rare/', 'idempotent', timeout_ms=1)
    )
    await cluster.store.write('op', 'config', config)
    await asyncio.sleep(0.3)
    assert (await look_up(cluster, f'{LOOKUP}rare/7')).status in {503, 504}
    assert (await look_up(cluster, f'{LOOKUP}rarer/7')).status == 200


@pytest.mark.parametrize(
    ('path', 'faults', 'status', 'runs'),
    [
        (LOOKUP, UpstreamFaults(lost_answers=1), 200, 2),
        (LOOKUP, UpstreamFaults(failed_answers=1), 200, 2),
        (ONCE, UpstreamFaults(lost_answers=1), 502, 1),
        (ONCE, UpstreamFaults(failed_answers=1), 500, 1),
    ],
)
async def test_lost_answer_is_retried_only_if_idempotent(
    cluster: RolloutCluster,
    path: str,
    faults: UpstreamFaults,
    status: int,
    runs: int,
) -> None:
    # Guards against a non-idempotent request that runs twice when its answer
    # is lost or an error: its caller learns that the outcome is unknown. A
    # lookup is retried, and its caller notices nothing.
    for server in cluster.services:
        server.faults = UpstreamFaults()
        server.slots = 8
    # The next request goes to the same server, over its open connection.
    await look_up(cluster, path)
    used, other = sorted(cluster.services, key=lambda one: not one.runs)
    used.runs.clear()
    used.faults = faults
    other.slots = 0 if path == ONCE else 8
    reply = await look_up(cluster, path)
    assert reply.status == status
    assert used.runs
    assert count_runs(cluster) == runs


async def test_bytes_behind_an_answer_reach_no_caller(
    cluster: RolloutCluster,
) -> None:
    # Guards against a second answer that a server sends behind the first one:
    # the next caller on that connection would get it.
    await use_long_routes(cluster)
    cluster.services[1].slots = 0
    cluster.services[0].faults.duplicated_answers = 3
    replies = [
        await look_up(cluster, request_id=f'r-{number}') for number in range(6)
    ]
    assert {reply.body for reply in replies} == {b'answer to salt'}


async def test_late_request_has_its_final_answer_in_time(
    cluster: RolloutCluster,
) -> None:
    # Guards against a caller that waits for its own timeout when no server
    # answers: it learns at the timeout of its route that the outcome is
    # unknown.
    for server in cluster.services:
        server.faults.unresponsive = True
    began = asyncio.get_running_loop().time()
    reply = await look_up(cluster)
    took = asyncio.get_running_loop().time() - began
    assert reply.status == 504
    assert took < 1.5


async def test_refusal_of_all_servers_is_passed_on_as_not_run(
    cluster: RolloutCluster,
) -> None:
    # Guards against a refusal without a Retry-After time, or of a request that
    # did run, when all servers are full.
    for server in cluster.services:
        server.slots = 0
    reply = await look_up(cluster)
    assert reply.status == 503
    assert 0 < float(reply.headers['Retry-After']) < 1
    assert count_runs(cluster) == 0


async def test_reused_address_runs_nothing(cluster: RolloutCluster) -> None:
    # Guards against a request that runs on the wrong service because a server
    # is gone and another one has its address while the old registration is
    # still known.
    gone = cluster.services[0]
    # The server at the address must not register and rightly be used.
    await gone.stop_heartbeats()
    gone.name = 'somebody-else'
    replies = [await look_up(cluster) for _ in range(4)]
    assert {reply.status for reply in replies} == {200}
    assert not gone.runs


async def test_withdrawn_key_stops_working(cluster: RolloutCluster) -> None:
    # Guards against a withdrawn key that keeps working for a connected caller:
    # it has to be refused within two seconds.
    config = documents.build_config(2)
    config['tenants'][0]['api_keys'] = ['another']
    await cluster.store.write('op', 'config', config)
    await asyncio.sleep(0.5)
    assert (await look_up(cluster)).status == 401


async def test_older_manifest_never_comes_back(cluster: RolloutCluster) -> None:
    # Guards against a store that returns an older version after a newer one:
    # routes that were added would disappear again.
    await cluster.store.write('op', 'config', documents.build_config(9))
    await asyncio.sleep(0.2)
    old = documents.build_config(5, routes=[])
    await cluster.store.write('op', 'config', old)
    await asyncio.sleep(0.3)
    assert (await look_up(cluster)).status == 200


@pytest.mark.parametrize('content', [b'\xff\x00', b'{}', b'[1]', b''])
async def test_malformed_rows_leave_the_others_in_force(
    cluster: RolloutCluster,
    content: bytes,
) -> None:
    # Guards against the loss of the current manifest or known servers when
    # other software writes malformed rows into their tables.
    await cluster.store.write('op', 'config', content)
    await cluster.store.write('servers', 'junk', content)
    await asyncio.sleep(0.3)
    assert (await look_up(cluster)).status == 200


async def test_leaving_server_gets_no_new_work(cluster: RolloutCluster) -> None:
    # Guards against requests that are sent to a draining server, which would
    # end them.
    leaving = cluster.services[0]
    leaving.leaving = True
    await leaving.register()
    await asyncio.sleep(0.3)
    for _ in range(6):
        assert (await look_up(cluster)).status == 200
    assert not leaving.runs


async def test_body_above_the_limit_is_refused(cluster: RolloutCluster) -> None:
    """Guards against bodies above the limit of the manifest."""
    reply = await cluster.caller.call(
        cluster.address(), 'POST', LOOKUP, b'x' * 1_000_001
    )
    assert reply.status == 413


async def test_large_body_is_passed_on_whole(cluster: RolloutCluster) -> None:
    """Guards against truncated bodies that are streamed for their size."""
    body = b'0123456789' * 60_000
    reply = await cluster.caller.call(cluster.address(), 'POST', LOOKUP, body)
    assert reply.status == 200
    assert reply.body == b'answer to ' + body


async def test_stop_cuts_no_request(cluster: RolloutCluster) -> None:
    # Guards against a lookup that is aborted because its daemon drains, and
    # against a draining daemon that reports ready.
    for server in cluster.services:
        server.faults.slowdown = 30
    asking = asyncio.ensure_future(look_up(cluster))
    await asyncio.sleep(0.2)
    stopping = asyncio.ensure_future(cluster.daemons[0].on_drain())
    await asyncio.sleep(0.1)
    ready = await cluster.caller.call(
        cluster.daemons[0].settings.listen.readiness,
        'GET',
        '/quetzalcourse/ready',
    )
    assert ready.status == 503
    assert (await asking).status == 200
    await stopping
