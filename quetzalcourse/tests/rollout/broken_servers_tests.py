"""Callers whose request reaches a server in trouble."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest

from quetzalcourse.standins.raw_server import RawResponse, RawServer
from quetzalcourse.standins.rollout import documents
from quetzalcourse.tests.rollout.calls import look_up

if TYPE_CHECKING:
    from quetzalcourse.standins.rollout.cluster import RolloutCluster

IDENTITY = b'X-Request-Id: r-1\r\nX-Server-Stamp: s-1\r\n'
UPLOAD_BYTES = 900_000
BROKEN_RESPONSES = {
    'reset': RawResponse(
        b'HTTP/1.1 200 OK\r\n' + IDENTITY + b'\r\npart', reset=True
    ),
    'status 000': RawResponse(
        b'HTTP/1.1 000 OK\r\n' + IDENTITY + b'Content-Length: 2\r\n\r\nhi'
    ),
    'blank in a name': RawResponse(
        b'HTTP/1.1 200 OK\r\n Content-Length: 1\r\n' + IDENTITY + b'\r\nhi'
    ),
    'control byte in a name': RawResponse(
        b'HTTP/1.1 200 OK\r\n' + IDENTITY + b'X\x01Y: 1\r\n\r\nhi'
    ),
}


async def register(
    cluster: RolloutCluster, server: RawServer, service: str
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


@pytest.mark.parametrize('case', sorted(BROKEN_RESPONSES))
@pytest.mark.parametrize(
    'path', [documents.LOOKUP_PREFIX, documents.NON_IDEMPOTENT_PREFIX]
)
async def test_broken_response_does_not_reach_the_caller(
    cluster: RolloutCluster,
    case: str,
    path: str,
) -> None:
    # Guards against a broken response that a caller takes for an answer.
    server = RawServer(BROKEN_RESPONSES[case])
    await server.start()
    await register(cluster, server, documents.CATALOGUE)
    try:
        reply = await cluster.caller.call(
            cluster.address(), 'POST', path, b'u' * UPLOAD_BYTES
        )
    except aiohttp.ClientError:
        reply = None
    assert reply is None or reply.status in {502, 503, 504}
    await server.stop()


async def test_broken_response_to_a_lookup_is_retried(
    cluster: RolloutCluster,
) -> None:
    # Guards against lookups that fail while another server could answer them.
    server = RawServer(BROKEN_RESPONSES['status 000'])
    await server.start()
    await register(cluster, server, documents.CATALOGUE)
    await cluster.services[0].register()
    replies = [await look_up(cluster) for _ in range(4)]
    assert {reply.status for reply in replies} == {200}
    await server.stop()
