"""Helpers shared by the tests of daemons on a platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from quetzalcourse.standins.rollout import documents

if TYPE_CHECKING:
    from quetzalcourse.standins.raw_server import AbruptServer, RawServer
    from quetzalcourse.standins.rollout.cluster import Reply, RolloutCluster

LOOKUP = documents.LOOKUP_PREFIX
LONG_ROUTE_SECONDS = 20.0


async def look_up(
    cluster: RolloutCluster,
    path: str = LOOKUP,
    **options: Any,
) -> Reply:
    """Send a lookup through the first daemon."""
    return await cluster.caller.call(
        cluster.address(), 'POST', path, b'salt', **options
    )


async def await_membership(cluster: RolloutCluster) -> None:
    """Wait until every daemon lists all others as live."""
    async with asyncio.timeout(10):
        while any(
            len(daemon.presence.list_live()) < len(cluster.daemons)
            for daemon in cluster.daemons
        ):
            await asyncio.sleep(0.05)


async def use_long_routes(cluster: RolloutCluster) -> None:
    """Let requests last longer than a stop or a pause of a daemon."""
    config = documents.build_config(2)
    for route in config['routes']:
        route['timeout_ms'] = LONG_ROUTE_SECONDS * 1000
    await cluster.store.write('op', 'config', config)
    async with asyncio.timeout(5):
        while cluster.daemons[0].routes.version < 2:
            await asyncio.sleep(0.02)


async def register(
    cluster: RolloutCluster, server: RawServer | AbruptServer, service: str
) -> None:
    """Register a server in trouble instead of the sound ones of a service."""
    for sound in (*cluster.services, *cluster.engines):
        if sound.service == service:
            await sound.stop_heartbeats()
            await cluster.store.remove('servers', sound.name)
    entry = {
        'service': service,
        'address': server.address,
        'zone': 'hall-a',
        'slots': 8,
        'state': 'ready',
        'born': 1,
    }
    if service == documents.ENGINES:
        entry['models'] = [{'name': documents.MODEL, 'version': 1}]
    await cluster.store.write('servers', 'odd', entry)
    async with asyncio.timeout(5):
        while cluster.daemons[0].pool.find('odd') is None:
            await asyncio.sleep(0.02)
