"""Upstreams that ended, told from connections that broke."""

from __future__ import annotations

import asyncio

import pytest

from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.records import QuarantineRecords
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.crash_detector import CrashDetector


def build_pool(address: str, *, leaving: bool = False) -> Pool:
    """Build a pool of one upstream."""
    pool = Pool('hall-a', FakeClock(), Counters())
    pool.replace(PoolMember('u', 's', address, 'hall-a', 8, leaving=leaving))
    return pool


def find_free_address() -> str:
    """Find an address where nobody listens."""
    with open_listener('127.0.0.1:0') as listener:
        return read_address(listener)


def build_ends(pool: Pool) -> CrashDetector:
    """Build the part under test."""
    records = QuarantineRecords(FakeClock())
    return CrashDetector(pool, Quarantine(records, Counters()))


async def ask(pool: Pool) -> bool:
    """Ask whether the upstream ended."""
    upstream = pool.list_service('s')[0]
    return await build_ends(pool).on_connection_lost(upstream, 'r-1', 'f-1')


@pytest.mark.parametrize('leaving', [False, True])
async def test_refused_connection_is_an_end_unless_planned(
    leaving: bool,
) -> None:
    """Guards against blame for upstreams that leave as they said."""
    pool = build_pool(find_free_address(), leaving=leaving)
    assert await ask(pool) is not leaving


async def test_upstream_that_listens_has_not_ended() -> None:
    """Guards against blame for a connection that broke by itself."""
    with open_listener('127.0.0.1:0') as listener:
        assert not await ask(build_pool(read_address(listener)))


async def test_silence_is_no_end() -> None:
    """Guards against blame for a network partition."""
    with open_listener('127.0.0.1:0') as listener:
        listener.listen(0)
        address = read_address(listener)
        # Nobody accepts here: once the queue is full, connections hang.
        queue = [
            asyncio.ensure_future(asyncio.open_connection(*address.split(':')))
            for _ in range(4)
        ]
        await asyncio.sleep(0.05)
        assert not await ask(build_pool(address))
        for one in queue:
            one.cancel()
        await asyncio.gather(*queue, return_exceptions=True)


async def test_upstream_whose_entry_is_gone_has_not_ended_unplanned() -> None:
    """Guards against blame for upstreams that leave without a word."""
    pool = build_pool(find_free_address())
    upstream = pool.list_service('s')[0]
    pool.remove('u')
    assert not await build_ends(pool).on_connection_lost(upstream, 'r-1', 'f-1')


async def test_upstream_is_asked_once_for_many_broken_requests() -> None:
    """Guards against a burst of connections to an upstream that is back."""
    accepted = 0

    def count(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal accepted
        accepted += 1
        writer.close()

    server = await asyncio.start_server(count, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    pool = build_pool(f'{host}:{port}')
    upstream = pool.list_service('s')[0]
    ends = build_ends(pool)
    found = await asyncio.gather(
        *(
            ends.on_connection_lost(upstream, 'r', f'f-{one}')
            for one in range(50)
        )
    )
    await asyncio.sleep(0.05)
    server.close()
    assert not any(found)
    assert accepted == 1
