"""Quarantines in the store: across restarts, outages and operators."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import pytest

from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.coordination.quarantine import (
    quarantine_store as store_module,
)
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.quarantine_store import (
    FEED_POLL_TIMEOUT,
    PREFIX,
    TABLE,
    QuarantineStore,
)
from quetzalcourse.coordination.quarantine.records import (
    MAX_CRASHES,
    QUARANTINE_RETENTION,
    BASE_QUARANTINE_TIME,
    QuarantineRecords,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.quarantine import RequestState
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed

if TYPE_CHECKING:
    from collections.abc import Iterator

NOTICED = timedelta(seconds=1)
KEY = f'{PREFIX}f'


class StoreTime:
    """Store whose clock runs like the daemons'."""

    def __init__(self, clock: FakeClock) -> None:
        """Keep the clock."""
        self._clock = clock

    def estimate(self) -> timedelta:
        """Tell the store's time."""
        return self._clock.elapsed()


class Daemon:
    """What one daemon has of the quarantine."""

    def __init__(self, feed: FakeFeed, clock: FakeClock) -> None:
        """Begin to follow the table."""
        self.quarantine = Quarantine(QuarantineRecords(clock), Counters())
        follower = TableFollower(
            feed,
            TABLE,
            clock,
            Counters(),
            single_part=True,
            wait=FEED_POLL_TIMEOUT,
        )
        table: Any = feed
        self.rows = QuarantineStore(
            self.quarantine, table, follower, StoreTime(clock), clock
        )
        self.tasks = [
            asyncio.ensure_future(follower.run()),
            asyncio.ensure_future(self.rows.run()),
        ]

    def end_upstreams(self) -> None:
        """Let enough upstreams end under a request."""
        for number in range(MAX_CRASHES):
            self.quarantine.on_crash('f', (f'u-{number}', 1), f'a-{number}')
            self.quarantine.on_restart((f'v-{number}', 2), f'a-{number}')

    def find_state(self) -> RequestState:
        """Tell the state of the request."""
        return self.quarantine.records.find_state('f')


class World:
    """A store and daemons on one clock."""

    def __init__(self) -> None:
        """Begin without daemons."""
        self.clock = FakeClock()
        self.feed = FakeFeed(self.clock)
        self.daemons: list[Daemon] = []

    async def start(self, count: int = 1) -> list[Daemon]:
        """Start daemons and let them read the table."""
        started = [Daemon(self.feed, self.clock) for _ in range(count)]
        self.daemons += started
        await self.pass_time()
        return started

    async def pass_time(self, duration: timedelta = NOTICED) -> None:
        """Let rows reach the daemons."""
        for _ in range(4):
            await self.clock.advance(duration / 4)

    @property
    def has_row(self) -> bool:
        """Whether the store has the row of the request."""
        row = self.feed.rows.get(KEY)
        return row is not None and not row.removed


@pytest.fixture
async def world() -> Iterator[World]:  # type: ignore[misc]
    """Build a store."""
    built = World()
    yield built
    for daemon in built.daemons:
        for task in daemon.tasks:
            task.cancel()


async def test_quarantine_reaches_daemons_that_heard_nothing(
    world: World,
) -> None:
    """Guards against daemons that missed the messages of the others."""
    first, second = await world.start(2)
    first.end_upstreams()
    await world.pass_time()
    assert second.find_state() is RequestState.quarantined
    (third,) = await world.start()
    assert third.find_state() is RequestState.quarantined


async def test_quarantine_is_written_once_the_store_is_back(
    world: World,
) -> None:
    """Guards against a quarantine that an outage of the store loses."""
    (daemon,) = await world.start()
    world.feed.down = True
    daemon.end_upstreams()
    await world.pass_time(3 * NOTICED)
    assert daemon.find_state() is RequestState.quarantined
    world.feed.down = False
    await world.pass_time(3 * NOTICED)
    assert world.has_row


async def test_daemon_that_starts_late_keeps_the_time(world: World) -> None:
    """Guards against a quarantine that each restart prolongs."""
    (daemon,) = await world.start()
    daemon.end_upstreams()
    await world.pass_time(BASE_QUARANTINE_TIME - 30 * NOTICED)
    (late,) = await world.start()
    left = late.quarantine.records.find_time_left('f')
    assert NOTICED < left < 32 * NOTICED


async def test_operator_lifts_a_quarantine(world: World) -> None:
    """Guards against a quarantine that stays at some daemons."""
    daemons = await world.start(2)
    daemons[0].end_upstreams()
    await world.pass_time()
    world.feed.remove(KEY)
    await world.pass_time(10 * NOTICED)
    assert {one.find_state() for one in daemons} == {RequestState.sound}
    assert not world.has_row


async def test_answer_lifts_a_quarantine_everywhere(world: World) -> None:
    """Guards against an innocent request that stays quarantined."""
    first, second = await world.start(2)
    first.end_upstreams()
    first.quarantine.on_answer('f', ('v-0', 2))
    await world.pass_time(10 * NOTICED)
    assert not world.has_row
    second.end_upstreams()
    await world.pass_time()
    first.quarantine.on_answer('f', ('v-0', 2))
    await world.pass_time(10 * NOTICED)
    assert not world.has_row
    assert second.find_state() is RequestState.sound


async def test_one_daemon_runs_the_trial(world: World) -> None:
    """Guards against a trial that ends an upstream for each daemon."""
    daemons = await world.start(3)
    daemons[0].end_upstreams()
    await world.pass_time(BASE_QUARANTINE_TIME + NOTICED)
    assert daemons[2].find_state() is RequestState.due
    claims = await asyncio.gather(*(one.rows.claim('f') for one in daemons))
    assert sorted(claims) == [False, False, True]
    await world.pass_time()
    assert {one.find_state() for one in daemons} == {RequestState.quarantined}


async def test_item_gets_its_trial_without_waiting(world: World) -> None:
    """Guards against items that are never tried again."""
    (daemon,) = await world.start()
    daemon.end_upstreams()
    await world.pass_time(BASE_QUARANTINE_TIME + NOTICED)
    assert not daemon.quarantine.may_begin('f')
    await world.pass_time()
    assert daemon.quarantine.may_begin('f')
    assert not daemon.quarantine.may_begin('f')


async def test_outdated_row_is_removed(world: World) -> None:
    """Guards against rows that pile up in the store."""
    (daemon,) = await world.start()
    daemon.end_upstreams()
    await world.pass_time()
    world.clock.move(QUARANTINE_RETENTION)
    (late,) = await world.start()
    await world.pass_time()
    assert late.find_state() is RequestState.sound
    assert not world.has_row


async def test_malformed_row_changes_nothing(world: World) -> None:
    """Guards against a daemon that a foreign row brings down."""
    (daemon,) = await world.start()
    world.feed.put(KEY, b'{')
    await world.pass_time()
    assert daemon.find_state() is RequestState.sound
    assert store_module.TABLE == KEY.partition('/')[0]


async def test_few_daemons_write_what_all_learn(world: World) -> None:
    """Guards against a write of each daemon at the same moment."""
    daemons = await world.start(8)
    for number in range(MAX_CRASHES):
        run = (f'u-{number}', 1)
        daemons[0].quarantine.on_crash('f', run, f'a-{number}')
        for daemon in daemons[1:]:
            daemon.quarantine.records.on_crash('f', run, f'a-{number}')
    for daemon in daemons:
        for number in range(MAX_CRASHES):
            daemon.quarantine.on_restart((f'v-{number}', 2), f'a-{number}')
    await world.pass_time(10 * NOTICED)
    assert world.has_row
    assert world.feed.writes == 1
    assert {one.find_state() for one in daemons} == {RequestState.quarantined}


async def test_quarantine_is_written_though_its_witness_died(
    world: World,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a quarantine that is lost with one daemon."""
    monkeypatch.setattr(
        store_module, 'SYNC_INTERVAL', timedelta(milliseconds=20)
    )
    daemons = await world.start(2)
    for number in range(MAX_CRASHES):
        run = (f'u-{number}', 1)
        daemons[1].quarantine.records.on_crash('f', run, f'a-{number}')
        daemons[1].quarantine.on_restart((f'v-{number}', 2), f'a-{number}')
    await asyncio.sleep(0.1)
    await world.pass_time()
    assert world.has_row
