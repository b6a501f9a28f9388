"""Requests that arrive late in the planned stop of a daemon."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import pytest
import pytest_asyncio

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cluster import RolloutCluster, build_batch
from quetzalcourse.tests.rollout.calls import (
    LOOKUP,
    LONG_ROUTE_SECONDS,
    use_long_routes,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalcourse.standins.rollout.cluster import Reply

ONCE = documents.NON_IDEMPOTENT_PREFIX
STREAM = documents.NON_RESUMABLE_PREFIX
# Long enough for a busy machine to send requests late, but in time.
GRACE_SECONDS = 12
# Callers have left a draining daemon by then.
LATE_SECONDS = 4.0
# Longer than two of the daemon's searches for idle connections.
REQUEST_DELAY_SECONDS = 0.12


@pytest_asyncio.fixture
async def long_stop() -> AsyncIterator[RolloutCluster]:
    """Start a daemon whose stop may take long."""
    running = RolloutCluster()
    running.grace_seconds = GRACE_SECONDS
    await running.start()
    yield running
    await running.stop()


async def ask(
    cluster: RolloutCluster, path: str, request_id: str
) -> Reply | None:
    """Send a request to the draining daemon, ``None`` if it is cut."""
    try:
        return await cluster.caller.call(
            cluster.address(),
            'POST',
            path,
            b'salt',
            request_id=request_id,
            seconds=LONG_ROUTE_SECONDS,
        )
    except aiohttp.ClientError:
        return None


async def stop(cluster: RolloutCluster) -> None:
    """Stop the daemon as its process does, which ends with its exit."""
    daemon = cluster.daemons[0]
    async with asyncio.timeout(cluster.grace_seconds):
        await daemon.on_drain()
        await cluster.end_daemon(daemon)
    for server in daemon.list_servers():
        server.abort()


@asynccontextmanager
async def late_in_stop(cluster: RolloutCluster) -> AsyncIterator[None]:
    """Stop the daemon, which a request keeps running for the block."""
    await use_long_routes(cluster)
    for server in cluster.services:
        server.faults.unresponsive = True
    stopping = asyncio.ensure_future(stop(cluster))
    early = asyncio.ensure_future(ask(cluster, ONCE, 'early'))
    await asyncio.sleep(LATE_SECONDS)
    yield
    for server in cluster.services:
        server.faults.unresponsive = False
    assert (await early) is not None
    await stopping


@pytest.mark.parametrize('path', [LOOKUP, ONCE])
async def test_late_request_is_rejected_by_a_draining_daemon(
    long_stop: RolloutCluster,
    path: str,
) -> None:
    # Guards against requests that a daemon takes late in its stop, passes on
    # and cuts at the end.
    async with late_in_stop(long_stop):
        late = await asyncio.wait_for(ask(long_stop, path, 'late'), 1.0)
    assert late is not None
    assert late.status == 503
    assert 'Retry-After' in late.headers
    assert late.headers['Connection'] == 'close'
    runs = [run for server in long_stop.services for run in server.runs]
    assert 'late' not in {run.request_id for run in runs}


async def test_request_on_a_connection_that_was_just_accepted_is_answered(
    long_stop: RolloutCluster,
) -> None:
    # Guards against a connection that a draining daemon accepts and closes
    # before the request on it has arrived.
    async with late_in_stop(long_stop):
        host, _, port = long_stop.address().partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(REQUEST_DELAY_SECONDS)
        writer.write(
            f'POST {ONCE} HTTP/1.1\r\nHost: {documents.HOST}\r\n'
            f'X-Request-Id: late\r\nX-Key: {documents.KEY}\r\n'
            'Content-Length: 4\r\n\r\nsalt'.encode()
        )
        async with asyncio.timeout(1):
            status = await reader.readline()
        writer.close()
    assert status.startswith(b'HTTP/1.1 503')


async def test_late_request_is_served_if_its_time_is_over_before(
    long_stop: RolloutCluster,
) -> None:
    # Guards against rejections of requests that a draining daemon can serve.
    await use_long_routes(long_stop)
    for engine in long_stop.engines:
        engine.faults.unresponsive = True
    stopping = asyncio.ensure_future(stop(long_stop))
    early = asyncio.ensure_future(ask(long_stop, STREAM, 'early'))
    await asyncio.sleep(LATE_SECONDS)
    assert (
        await long_stop.caller.call(
            long_stop.address(),
            'POST',
            LOOKUP,
            b'salt',
            headers={'X-Deadline-Ms': '2000'},
        )
    ).status == 200
    for engine in long_stop.engines:
        engine.faults.unresponsive = False
    await asyncio.gather(early, stopping)


@pytest.mark.parametrize('path', [LOOKUP, ONCE])
async def test_request_that_outlasts_the_drain_is_answered(
    cluster: RolloutCluster,
    path: str,
) -> None:
    # Guards against requests that are cut without an answer at the end of the
    # grace, and against a refusal that claims that they did not run.
    await use_long_routes(cluster)
    for server in cluster.services:
        server.faults.slowdown = 1000
    asking = asyncio.ensure_future(ask(cluster, path, 'r-1'))
    await asyncio.sleep(0.3)
    await stop(cluster)
    reply = await asking
    assert reply is not None
    assert reply.status == 502
    assert any(server.runs for server in cluster.services)


@pytest.mark.parametrize('delay', [0.0, LATE_SECONDS, 8.5])
async def test_reader_of_results_is_answered_during_the_drain(
    long_stop: RolloutCluster,
    delay: float,
) -> None:
    # Guards against callers of batches that are cut while they wait.
    await use_long_routes(long_stop)
    for server in long_stop.services:
        server.faults.unresponsive = True
    caller = long_stop.caller
    for engine in long_stop.engines:
        engine.faults.unresponsive = True
    batch = build_batch(['i-1'])
    reply = await caller.submit(long_stop.address(), 'b-1', batch)
    assert reply.status == 202
    stopping = asyncio.ensure_future(stop(long_stop))
    early = asyncio.ensure_future(ask(long_stop, ONCE, 'early'))
    await asyncio.sleep(delay)
    try:
        page = await caller.read(long_stop.address(), 'b-1', wait_ms=1000)
    except aiohttp.ClientConnectorError:
        # The daemon takes no more connections.
        page = None
    assert page is None or page.status in {200, 503}
    for server in long_stop.services:
        server.faults.unresponsive = False
    await asyncio.gather(early, stopping)
