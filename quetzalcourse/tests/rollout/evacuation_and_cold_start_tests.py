"""Evacuated data centres and cold servers, with real daemons."""

from __future__ import annotations

import asyncio
import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import UpstreamStandin
from quetzalcourse.standins.rollout.cluster import RolloutCluster, build_batch
from quetzalcourse.tests.rollout.calls import (
    LOOKUP,
    await_membership,
    look_up,
)


NOTICED_SECONDS = 0.3


async def add_elsewhere(cluster: RolloutCluster) -> UpstreamStandin:
    """Start a server of the plain service in another data centre."""
    server = UpstreamStandin(
        's-elsewhere', documents.CATALOGUE, cluster.store, data_centre='hall-z'
    )
    await server.start()
    cluster.services.append(server)
    await asyncio.sleep(NOTICED_SECONDS)
    return server


async def evacuate(cluster: RolloutCluster) -> None:
    """Request the evacuation of the data centre of the initial servers."""
    await cluster.store.write('op', f'evacuate/{documents.DATA_CENTRE}', {})
    await asyncio.sleep(NOTICED_SECONDS)


async def test_evacuated_servers_get_no_request(
    cluster: RolloutCluster,
) -> None:
    """Guards against requests to a data centre that operators evacuate."""
    elsewhere = await add_elsewhere(cluster)
    await evacuate(cluster)
    replies = [
        await look_up(cluster, f'{LOOKUP}{number}', request_id=f'r-{number}')
        for number in range(6)
    ]
    assert [reply.status for reply in replies] == [200] * 6
    assert len(elsewhere.runs) == 6


async def test_request_is_refused_if_all_servers_are_evacuated(
    cluster: RolloutCluster,
) -> None:
    """Guards against callers that wait for servers that stay evacuated."""
    await evacuate(cluster)
    reply = await look_up(cluster)
    assert reply.status == 503
    assert float(reply.headers['Retry-After']) > 0
    await cluster.store.remove('op', f'evacuate/{documents.DATA_CENTRE}')
    await asyncio.sleep(documents.COLD_SECONDS + NOTICED_SECONDS)
    assert (await look_up(cluster)).status == 200


async def test_evacuation_reaches_a_daemon_without_the_store(
    two_daemons: RolloutCluster,
) -> None:
    """Guards against a daemon that misses an evacuation in an outage."""
    await await_membership(two_daemons)
    two_daemons.store_endpoints[0].faults.mode = 'busy'
    await asyncio.sleep(1.3)
    await two_daemons.store.write('op', f'evacuate/{documents.DATA_CENTRE}', {})
    await asyncio.sleep(1.5)
    assert (await look_up(two_daemons)).status == 503


async def test_items_wait_until_an_evacuation_ends(
    cluster: RolloutCluster,
) -> None:
    """Guards against items that are abandoned or sent during an evacuation."""
    await evacuate(cluster)
    batch = build_batch([f'i-{number}' for number in range(4)])
    assert (
        await cluster.caller.submit(cluster.address(), 'b-1', batch)
    ).status == (202)
    await asyncio.sleep(1)
    assert not any(engine.runs for engine in cluster.engines)
    await cluster.store.remove('op', f'evacuate/{documents.DATA_CENTRE}')
    results = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert {result['state'] for result in results} == {'completed'}


@pytest.mark.parametrize('lookups', [0, 40])
async def test_cold_servers_withstand_a_burst(
    cluster: RolloutCluster,
    lookups: int,
) -> None:
    """Guards against a burst that crashes servers that have just started."""
    for server in (*cluster.engines, *cluster.services):
        await server.register_cold_start(
            documents.COLD_SECONDS, documents.COLD_RATE
        )
    await asyncio.sleep(NOTICED_SECONDS)
    batch = build_batch([f'i-{number}' for number in range(60)])
    await cluster.caller.submit(cluster.address(), 'b-1', batch)
    await asyncio.gather(
        *(
            look_up(cluster, f'{LOOKUP}{number}', request_id=f'r-{number}')
            for number in range(lookups)
        )
    )
    results = await cluster.caller.read_all(cluster.address(), 'b-1')
    assert {result['state'] for result in results} == {'completed'}
    servers = (*cluster.engines, *cluster.services)
    assert not any(server.cold.crashed for server in servers)


async def test_bound_requests_stay_in_their_region() -> None:
    """Guards against requests and items that run outside their regions."""
    cluster = RolloutCluster(daemons=2)
    cluster.regions = {
        documents.DATA_CENTRE: 'north',
        'hall-of-vm-0': 'north',
        'hall-of-vm-1': 'south',
        'hall-z': 'south',
    }
    await cluster.start()
    try:
        await check_bound_requests(cluster)
    finally:
        await cluster.stop()


async def check_bound_requests(cluster: RolloutCluster) -> None:
    """Bind every route to the region that has no engine."""
    config = documents.build_config(2)
    for route in config['routes']:
        route['allowed_regions'] = ['south']
    await cluster.store.write('op', 'config', config)
    await asyncio.sleep(NOTICED_SECONDS)
    assert (await look_up(cluster)).status == 503
    batch = build_batch(['i-1'])
    reply = await cluster.caller.submit(cluster.address(), 'b-1', batch)
    assert reply.status == 503
    assert float(reply.headers['Retry-After']) > 0
    elsewhere = await add_elsewhere(cluster)
    assert (await look_up(cluster, request_id='r-2')).status == 200
    assert len(elsewhere.runs) == 1
    assert not any(engine.runs for engine in cluster.engines)
