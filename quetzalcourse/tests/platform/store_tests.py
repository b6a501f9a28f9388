"""Tests of the store client, with each failure mode of the store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
from result import Err, Ok

from quetzalcourse.platform.store import (
    CALL_TIMEOUT_SECONDS,
    CLOCK_SAMPLE_MAX_AGE,
    StoreClient,
)
from quetzalcourse.standins.rollout.server import StandinServer
from quetzalcourse.standins.rollout.store import StoreEndpoint, StoreStandin
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.rows import (
    ABSENT,
    Condition,
    FaultKind,
    Transaction,
    Write,
)
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.transport.channel import Channel
from quetzalcourse.transport.clock import SystemClock
from quetzalcourse.transport.gateway import send_response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sanic import Request

    from quetzalcourse.state.calls import RequestHead

KEY = 'batches/b-1/head'
WAIT = timedelta(milliseconds=300)
CREATE = Transaction((Condition(KEY, ABSENT),), (Write(KEY, b'one'),))


@dataclass(slots=True)
class StoreWorld:
    """A store, a fault-injecting proxy to it, and a client."""

    store: StoreStandin
    door: StoreEndpoint
    client: StoreClient


@pytest_asyncio.fixture
async def world() -> AsyncIterator[StoreWorld]:
    """Start a store and connect a client to it."""
    store = StoreStandin()
    door = StoreEndpoint(store)
    await door.server.start()
    channel = Channel(door.server.address)
    client = StoreClient(channel, SystemClock(), Counters())
    yield StoreWorld(store, door, client)
    await channel.close()
    await door.server.stop()


async def test_row_is_written_once_under_its_condition(
    world: StoreWorld,
) -> None:
    """The second writer gets the conflicting row."""
    first = (await world.client.transact(CREATE)).unwrap()
    second = (await world.client.transact(CREATE)).unwrap()
    assert first.applied
    assert not second.applied
    assert [row.content for row in second.conflicts] == [b'one']
    row = (await world.client.read(KEY)).unwrap()
    assert row is not None
    assert (row.content, row.version) == (b'one', first.version)


async def test_reads_longer_than_one_page_are_complete(
    world: StoreWorld,
) -> None:
    """Rows that exceed one response are read in key order."""
    for begin in range(0, 600, 100):
        writes = tuple(
            Write(f'results/b-1/{number:04d}', b'x')
            for number in range(begin, begin + 100)
        )
        await world.client.transact(Transaction((), writes))
    part = (await world.client.read_part('results', 'b-1')).unwrap()
    assert len(part.rows) == 600
    scanned = (await world.client.scan('results/b-1/')).unwrap()
    assert len(scanned) >= 500
    after = 'results/b-1/0597'
    rest = (await world.client.scan('results/b-1/', after)).unwrap()
    assert [row.key[-4:] for row in rest] == ['0598', '0599']
    assert (await world.client.list_parts('results')).unwrap() == ['b-1']


async def test_follow_returns_changes_and_removals_after_a_version(
    world: StoreWorld,
) -> None:
    """A wait ends at the first change, or at its timeout."""
    written = await world.store.write('servers', 's-1', {})
    await world.store.remove('servers', 's-1')
    found = (await world.client.follow('servers', written - 1, WAIT)).unwrap()
    assert [row.removed for row in found.rows] == [False, True]
    none = (await world.client.follow('servers', found.version, WAIT)).unwrap()
    assert none.rows == ()


@pytest.mark.parametrize(
    ('mode', 'read_kind', 'write_kind'),
    [
        ('busy', FaultKind.not_applied, FaultKind.not_applied),
        ('reset', FaultKind.unanswered, FaultKind.unanswered),
        ('silent', FaultKind.unanswered, FaultKind.unanswered),
    ],
)
async def test_failure_mode_maps_to_its_fault_kind(
    world: StoreWorld,
    mode: str,
    read_kind: FaultKind,
    write_kind: FaultKind,
) -> None:
    # The store refuses, resets its connections or stops responding. Only a
    # refused write may count as not applied. The outcome of the others is
    # unknown, and a refused batch guarantees that nothing was applied.
    world.door.faults.mode = mode
    async with asyncio.timeout(CALL_TIMEOUT_SECONDS * 2 + 1):
        read = await world.client.read(KEY)
        write = await world.client.transact(CREATE)
    assert isinstance(read, Err)
    assert isinstance(write, Err)
    kinds = (read.err_value.kind, write.err_value.kind)
    assert kinds == (read_kind, write_kind)
    assert write.err_value.peer == world.door.server.address
    world.door.faults.mode = ''
    assert isinstance(await world.client.read(KEY), Ok)


@pytest.mark.parametrize('late', [0, 0.3])
async def test_lost_response_to_a_write_counts_as_unanswered(
    world: StoreWorld,
    late: float,
) -> None:
    # The response to a write is lost, and the write takes effect at once or
    # later. The client must not report it as not applied.
    world.store.faults.lost_answers = 1
    world.store.faults.late_seconds = late
    answer = await world.client.transact(CREATE)
    assert isinstance(answer, Err)
    assert answer.err_value.kind is FaultKind.unanswered
    await asyncio.sleep(late + 0.2)
    row = (await world.client.read(KEY)).unwrap()
    assert row is not None
    assert row.content == b'one'


async def test_lost_history_is_reported(world: StoreWorld) -> None:
    # The store drops its history earlier than agreed. A follower that
    # continued from the old version would miss the changes in between.
    version = await world.store.write('op', 'config', {})
    await world.store.write('op', 'config', {})
    world.store.forget_history()
    answer = await world.client.follow('op', version, WAIT)
    assert isinstance(answer, Err)
    assert answer.err_value.history_lost


@pytest.mark.parametrize(
    ('status', 'body', 'kind'),
    [
        (429, b'{}', FaultKind.not_applied),
        (503, b'', FaultKind.not_applied),
        (500, b'{}', FaultKind.unanswered),
        (200, b'{"rows": [{"ta', FaultKind.unanswered),
        (200, b'\xff\xfe', FaultKind.unanswered),
        (200, b'{"rows": 7}', FaultKind.unanswered),
    ],
)
async def test_refused_and_garbled_responses_differ_in_fault_kind(
    status: int,
    body: bytes,
    kind: FaultKind,
) -> None:
    """A garbled response may be of an applied write, a refusal is not."""

    async def serve(request: Request, _: RequestHead) -> None:
        await request.receive_body()
        await send_response(request, body, status=status)

    server = StandinServer('store', serve)
    await server.start()
    channel = Channel(server.address)
    client = StoreClient(channel, SystemClock(), Counters())
    answer = await client.transact(CREATE)
    await channel.close()
    await server.stop()
    assert isinstance(answer, Err)
    assert answer.err_value.kind is kind


async def test_delayed_response_does_not_set_the_store_clock_back() -> None:
    # One response is delayed by 1.5 seconds. An estimate that followed it
    # would be late by as much and extend the deadlines of batches.
    clock = FakeClock()
    channel = Channel('127.0.0.1:1')
    client = StoreClient(channel, clock, Counters())
    store_ahead = timedelta(seconds=50)
    client.on_clock(clock.elapsed() + store_ahead)
    clock.move(timedelta(seconds=2))
    client.on_clock(clock.elapsed() + store_ahead - timedelta(seconds=1.5))
    assert client.estimate() == clock.elapsed() + store_ahead
    clock.move(CLOCK_SAMPLE_MAX_AGE * 2)
    slower = store_ahead - timedelta(milliseconds=3)
    client.on_clock(clock.elapsed() + slower)
    assert client.estimate() == clock.elapsed() + slower
    await channel.close()
