"""Distinction of crashed upstreams from broken connections."""

from __future__ import annotations

import asyncio
import time

import pytest

from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.records import QuarantineRecords
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.crash_detector import (
    PROBE_TIMEOUT_SECONDS,
    CrashDetector,
    is_listening,
)


def build_pool(address: str, *, leaving: bool = False) -> Pool:
    """Build a pool of one upstream."""
    pool = Pool('hall-a', FakeClock(), Counters())
    pool.replace(PoolMember('u', 's', address, 'hall-a', 8, leaving=leaving))
    return pool


def find_free_address() -> str:
    """Return an address on which nothing listens."""
    with open_listener('127.0.0.1:0') as listener:
        return read_address(listener)


def build_detector(pool: Pool) -> CrashDetector:
    """Build the detector under test."""
    records = QuarantineRecords(FakeClock())
    counters = Counters()
    return CrashDetector(pool, Quarantine(records, counters), counters)


async def detect_crash(pool: Pool) -> bool:
    """Report a broken connection and return whether a crash is detected."""
    upstream = pool.list_service('s')[0]
    return await build_detector(pool).on_connection_lost(upstream, 'r-1', 'f-1')


@pytest.mark.parametrize('leaving', [False, True])
async def test_refused_connection_is_a_crash_unless_draining(
    leaving: bool,
) -> None:
    """Guards against crash reports of upstreams that drained as announced."""
    pool = build_pool(find_free_address(), leaving=leaving)
    assert await detect_crash(pool) is not leaving


async def test_listening_upstream_has_not_crashed() -> None:
    """Guards against crash reports of a connection that broke by itself."""
    with open_listener('127.0.0.1:0') as listener:
        assert not await detect_crash(build_pool(read_address(listener)))


async def test_connect_timeout_is_no_crash() -> None:
    """Guards against crash reports during a network partition."""
    with open_listener('127.0.0.1:0') as listener:
        listener.listen(0)
        address = read_address(listener)
        # Nothing accepts here: once the backlog is full, connections hang.
        queue = [
            asyncio.ensure_future(asyncio.open_connection(*address.split(':')))
            for _ in range(4)
        ]
        await asyncio.sleep(0.05)
        assert not await detect_crash(build_pool(address))
        for one in queue:
            one.cancel()
        await asyncio.gather(*queue, return_exceptions=True)


async def test_upstream_removed_from_the_pool_has_not_crashed() -> None:
    """Guards against crash reports of upstreams removed without notice."""
    pool = build_pool(find_free_address())
    upstream = pool.list_service('s')[0]
    pool.remove('u')
    assert not await build_detector(pool).on_connection_lost(
        upstream, 'r-1', 'f-1'
    )


async def test_upstream_is_probed_once_for_many_failed_requests() -> None:
    """Guards against a burst of connections to a recovered upstream."""
    accepted = 0

    def count(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal accepted
        accepted += 1
        writer.close()

    server = await asyncio.start_server(count, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    pool = build_pool(f'{host}:{port}')
    upstream = pool.list_service('s')[0]
    detector = build_detector(pool)
    found = await asyncio.gather(
        *(
            detector.on_connection_lost(upstream, 'r', f'f-{one}')
            for one in range(50)
        )
    )
    await asyncio.sleep(0.05)
    server.close()
    assert not any(found)
    assert accepted == 1


@pytest.mark.every_loop
@pytest.mark.parametrize('steps', range(5))
@pytest.mark.parametrize('listening', [False, True])
async def test_busy_event_loop_hides_no_crash(
    steps: int,
    listening: bool,
) -> None:
    """Guards against a crash that counts as none since the loop was busy."""
    listener = open_listener('127.0.0.1:0')
    address = read_address(listener)
    if not listening:
        listener.close()
    probe = asyncio.ensure_future(is_listening(address))
    for _ in range(steps):
        await asyncio.sleep(0)
    time.sleep(PROBE_TIMEOUT_SECONDS * 1.5)  # noqa: ASYNC251
    assert await probe is listening
    listener.close()
