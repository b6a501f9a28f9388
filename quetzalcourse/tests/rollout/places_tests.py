"""Evacuated data centres and cold servers, through real daemons."""

from __future__ import annotations

import asyncio
import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import UpstreamStandin
from quetzalcourse.standins.rollout.world import RolloutWorld, build_batch
from quetzalcourse.tests.rollout.calls import (
    LOOKUP,
    await_acquaintance,
    look_up,
)


NOTICED_SECONDS = 0.3


async def add_elsewhere(world: RolloutWorld) -> UpstreamStandin:
    """Start a server of the plain service in another data centre."""
    server = UpstreamStandin(
        's-elsewhere', documents.CATALOGUE, world.store, data_centre='hall-z'
    )
    await server.start()
    world.services.append(server)
    await asyncio.sleep(NOTICED_SECONDS)
    return server


async def evacuate(world: RolloutWorld) -> None:
    """Ask for the evacuation of the data centre of all first servers."""
    await world.store.write('op', f'evacuate/{documents.HALL}', {})
    await asyncio.sleep(NOTICED_SECONDS)


async def test_evacuated_servers_get_no_request(world: RolloutWorld) -> None:
    """Guards against requests to a data centre that operators evacuate."""
    elsewhere = await add_elsewhere(world)
    await evacuate(world)
    replies = [
        await look_up(world, f'{LOOKUP}{number}', request_id=f'r-{number}')
        for number in range(6)
    ]
    assert [reply.status for reply in replies] == [200] * 6
    assert len(elsewhere.runs) == 6


async def test_request_is_refused_if_all_servers_are_evacuated(
    world: RolloutWorld,
) -> None:
    """Guards against callers that wait for servers they will not get."""
    await evacuate(world)
    reply = await look_up(world)
    assert reply.status == 503
    assert float(reply.headers['Retry-After']) > 0
    await world.store.remove('op', f'evacuate/{documents.HALL}')
    await asyncio.sleep(documents.COLD_SECONDS + NOTICED_SECONDS)
    assert (await look_up(world)).status == 200


async def test_evacuation_reaches_a_daemon_without_the_store(
    pair: RolloutWorld,
) -> None:
    """Guards against a daemon that misses an evacuation in an outage."""
    await await_acquaintance(pair)
    pair.doors[0].faults.mode = 'busy'
    await asyncio.sleep(1.3)
    await pair.store.write('op', f'evacuate/{documents.HALL}', {})
    await asyncio.sleep(1.5)
    assert (await look_up(pair)).status == 503


async def test_items_wait_until_an_evacuation_ends(world: RolloutWorld) -> None:
    """Guards against items that are given up or sent during an evacuation."""
    await evacuate(world)
    batch = build_batch([f'i-{number}' for number in range(4)])
    assert (
        await world.caller.submit(world.address(), 'b-1', batch)
    ).status == (202)
    await asyncio.sleep(1)
    assert not any(engine.runs for engine in world.engines)
    await world.store.remove('op', f'evacuate/{documents.HALL}')
    results = await world.caller.read_all(world.address(), 'b-1')
    assert {result['state'] for result in results} == {'completed'}


@pytest.mark.parametrize('lookups', [0, 40])
async def test_cold_servers_bear_a_burst(
    world: RolloutWorld,
    lookups: int,
) -> None:
    """Guards against a burst that crashes servers that have just started."""
    for server in (*world.engines, *world.services):
        await server.begin_anew(documents.COLD_SECONDS, documents.COLD_RATE)
    await asyncio.sleep(NOTICED_SECONDS)
    batch = build_batch([f'i-{number}' for number in range(60)])
    await world.caller.submit(world.address(), 'b-1', batch)
    await asyncio.gather(
        *(
            look_up(world, f'{LOOKUP}{number}', request_id=f'r-{number}')
            for number in range(lookups)
        )
    )
    results = await world.caller.read_all(world.address(), 'b-1')
    assert {result['state'] for result in results} == {'completed'}
    servers = (*world.engines, *world.services)
    assert not any(server.cold.crashed for server in servers)


async def test_bound_requests_stay_in_their_region() -> None:
    """Guards against requests and items that run outside their regions."""
    world = RolloutWorld(daemons=2)
    world.regions = {
        documents.HALL: 'north',
        'hall-of-vm-0': 'north',
        'hall-of-vm-1': 'south',
        'hall-z': 'south',
    }
    await world.start()
    try:
        await check_bound_requests(world)
    finally:
        await world.stop()


async def check_bound_requests(world: RolloutWorld) -> None:
    """Bind every route to the region that has no engine."""
    config = documents.build_config(2)
    for route in config['routes']:
        route['allowed_regions'] = ['south']
    await world.store.write('op', 'config', config)
    await asyncio.sleep(NOTICED_SECONDS)
    assert (await look_up(world)).status == 503
    batch = build_batch(['i-1'])
    reply = await world.caller.submit(world.address(), 'b-1', batch)
    assert reply.status == 503
    assert float(reply.headers['Retry-After']) > 0
    elsewhere = await add_elsewhere(world)
    assert (await look_up(world, request_id='r-2')).status == 200
    assert len(elsewhere.runs) == 1
    assert not any(engine.runs for engine in world.engines)
