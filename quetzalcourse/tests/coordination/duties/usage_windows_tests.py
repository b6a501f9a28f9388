"""When usage windows are closed, and with which counts."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec
import pytest_asyncio

from quetzalcourse.coordination.duties.usage_windows import (
    WindowCounts,
    WindowReport,
    WindowReporter,
)
from quetzalcourse.coordination.feeds import presence as members
from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.coordination.feeds.wall_clock import (
    EPOCH,
    WallClockEstimate,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LENGTH = timedelta(seconds=2)
DUE = timedelta(seconds=10)
# Reports may be late by this time if a daemon's counts are missing.
LATEST = timedelta(seconds=25)
ACCOUNT = 'desk'
OWN = Member('vm-0', 'vm-0-a', 'hall-a', '10.0.0.0:1')
PEERS = tuple(
    Member(f'vm-{number}', f'vm-{number}-a', 'hall-b', f'10.0.0.{number}:1')
    for number in (1, 2)
)


class FakeStoreClock:
    """Store's clock, which starts with the machine's."""

    def __init__(self, clock: FakeClock) -> None:
        """Keep the clock."""
        self._clock = clock

    def estimate(self) -> timedelta | None:
        """Return the store's time."""
        return self._clock.elapsed()


class FakeLease:
    """Lease that is always held."""

    may_send = True
    token = 1


class Reports:
    """Reports that the platform accepted, by window."""

    def __init__(self) -> None:
        """Start without a report."""
        self.counts: dict[int, dict[str, int]] = {}

    async def send(self, report: WindowReport, token: int) -> bool:
        """Accept a report."""
        self.counts[report.number] = report.counts
        return True


class World:
    """The holder of the duty lease and the rows of two other daemons."""

    def __init__(self, calendar_error: timedelta = timedelta(0)) -> None:
        """Start the holder, with a wall clock that may be wrong."""
        self.true_clock = FakeClock()
        self.clock = FakeClock()
        self.clock.calendar_error = calendar_error
        self.feed = FakeFeed(self.clock)
        self.table = FakeFeed(self.clock)
        self.reports = Reports()
        wall_clock = WallClockEstimate(self.clock, FakeStoreClock(self.clock))
        self.counts = WindowCounts(
            wall_clock, LENGTH, lambda: self.presence.announce()
        )
        feed: Any = self.feed
        follower = TableFollower(feed, members.TABLE, self.clock, Counters())
        self.presence = members.Presence(
            OWN,
            feed,
            follower,
            self.clock,
            self.counts.describe,
            self.counts.restore,
            wall_clock,
        )
        if hasattr(self.presence, 'set_window_source'):
            self.presence.set_window_source(self.counts.find_counted_window)
        table: Any = self.table
        lease: Any = FakeLease()
        self.reporter = WindowReporter(
            self.presence,
            table,
            self.reports,
            lease,
            wall_clock,
            Counters(),
            LENGTH,
            DUE,
        )
        self._follower = follower
        self._tasks: list[asyncio.Task[None]] = []
        self._beats = 0
        self._counts: dict[str, dict[int, int]] = {}

    def start(self) -> None:
        """Run the holder's tasks."""
        self._tasks = [
            asyncio.ensure_future(self.presence.run()),
            asyncio.ensure_future(self._follower.run()),
            asyncio.ensure_future(self.reporter.run()),
        ]

    def stop(self) -> None:
        """Cancel the holder's tasks."""
        for task in self._tasks:
            task.cancel()

    def write_row(
        self,
        member: Member,
        counted_window: int,
        counts: dict[int, int] | None = None,
    ) -> None:
        """Write the row of another daemon, whose wall clock is correct.

        :param counts: requests of the account by window, kept in later rows.
        """
        self._beats += 1
        kept = self._counts.setdefault(member.vm, {})
        kept.update(counts or {})
        row = {
            'vm': member.vm,
            'incarnation': member.incarnation,
            'data_centre': member.data_centre,
            'address': member.address,
            'leaving': False,
            'beat': self._beats,
            'calendar_offset': (
                self.true_clock.now() - EPOCH - self.true_clock.elapsed()
            ).total_seconds(),
            'usage': {
                str(window): {ACCOUNT: count} for window, count in kept.items()
            },
            'counted_window': counted_window,
        }
        key = f'members/{member.data_centre}/{member.vm}'
        self.feed.put(key, msgspec.json.encode(row))

    def write_rows(self) -> None:
        """Write a heartbeat of each other daemon."""
        for member in PEERS:
            self.write_row(member, self.find_window())

    def find_window(self) -> int:
        """Return the window in progress in true time."""
        return (self.true_clock.now() - EPOCH) // LENGTH

    async def advance(self, duration: timedelta) -> None:
        """Let time pass; the holder sends a heartbeat."""
        self.presence.announce()
        self.true_clock.move(duration)
        await self.clock.advance(duration)

    async def pass_time(self, duration: timedelta) -> None:
        """Let time pass while the other daemons send heartbeats."""
        for _ in range(duration // LENGTH * 4):
            await self.advance(LENGTH / 4)
            self.write_rows()


@pytest_asyncio.fixture
async def world() -> AsyncIterator[World]:
    """Start a holder with a correct clock among two other daemons."""
    running = World()
    running.write_rows()
    running.start()
    yield running
    running.stop()


async def test_no_window_is_closed_by_the_own_clock_alone() -> None:
    """Guards against windows that a clock ahead closes before their end."""
    world = World(timedelta(seconds=30))
    world.start()
    await world.advance(timedelta(seconds=1))
    assert max(world.reports.counts, default=0) < world.find_window()
    world.write_rows()
    await world.pass_time(timedelta(seconds=8))
    world.stop()
    assert max(world.reports.counts) < world.find_window()


async def test_requests_at_the_start_are_counted_in_their_window() -> None:
    """Guards against usage lost in the future by a clock that is ahead."""
    world = World(timedelta(seconds=30))
    world.start()
    window = world.find_window()
    await world.advance(timedelta(milliseconds=100))
    world.counts.record(ACCOUNT)
    await world.advance(timedelta(seconds=1))
    world.write_rows()
    await world.pass_time(timedelta(seconds=8))
    world.stop()
    assert world.reports.counts[window] == {ACCOUNT: 1}


async def test_first_windows_are_reported_despite_a_wrong_clock() -> None:
    """Guards against windows that a clock ahead at the start skips."""
    world = World(timedelta(seconds=60))
    world.start()
    window = world.find_window()
    world.write_rows()
    await world.pass_time(timedelta(seconds=8))
    world.stop()
    assert {window, window + 1} <= set(world.reports.counts)


async def test_lone_daemon_reports_by_its_own_clock() -> None:
    """Guards against usage that is never reported with a single daemon."""
    world = World()
    world.start()
    window = world.find_window()
    world.counts.record(ACCOUNT)
    for _ in range(40):
        await world.advance(timedelta(milliseconds=250))
    world.stop()
    assert world.reports.counts[window] == {ACCOUNT: 1}


async def test_window_waits_for_unread_rows() -> None:
    """Guards against sums of a holder that has not read the others' rows."""
    world = World()
    window = world.find_window()
    for member in PEERS:
        world.write_row(member, window, {window - 1: 5})
    world.feed.down = True
    world.start()
    for _ in range(12):
        await world.advance(timedelta(milliseconds=250))
    world.feed.down = False
    for member in PEERS:
        world.write_row(member, world.find_window(), {window - 1: 5})
    await world.pass_time(timedelta(seconds=6))
    world.stop()
    assert world.reports.counts[window - 1] == {ACCOUNT: 10}


async def test_window_waits_for_a_delayed_row(world: World) -> None:
    """Guards against sums without a daemon whose store partition is away."""
    window = world.find_window()
    near, far = PEERS
    for _ in range(24):
        await world.advance(timedelta(milliseconds=250))
        world.write_row(near, world.find_window(), {window: 1})
        record = world.presence.records.get(far.vm)
        assert record is not None
        world.presence.on_pong(far)
    assert window not in world.reports.counts
    world.write_row(far, world.find_window(), {window: 7})
    await world.pass_time(timedelta(seconds=2))
    assert world.reports.counts[window] == {ACCOUNT: 8}


async def test_window_is_reported_in_time_after_a_death(world: World) -> None:
    """Guards against reports that come late because a daemon has died."""
    window = world.find_window()
    near, far = PEERS
    world.write_row(far, window, {window: 7})
    for _ in range((LENGTH + DUE) // timedelta(milliseconds=250)):
        await world.advance(timedelta(milliseconds=250))
        world.write_row(near, world.find_window(), {window: 1})
    assert world.reports.counts[window] == {ACCOUNT: 8}


async def test_daemon_that_died_at_its_start_delays_no_report() -> None:
    """Guards against late reports for a row that never states its window."""
    world = World()
    near, far = PEERS
    world.write_row(near, world.find_window())
    world.write_row(far, 0)
    world.start()
    await world.advance(timedelta(seconds=8))
    window = world.find_window()
    for _ in range((LENGTH + DUE / 2) // timedelta(milliseconds=250)):
        await world.advance(timedelta(milliseconds=250))
        world.write_row(near, world.find_window(), {window: 1})
    world.stop()
    assert world.reports.counts[window] == {ACCOUNT: 1}


async def test_daemon_that_died_before_a_window_delays_no_report(
    world: World,
) -> None:
    """Guards against reports that wait for a dead daemon until an outage."""
    near, far = PEERS
    for _ in range(timedelta(seconds=8) // timedelta(milliseconds=250)):
        await world.advance(timedelta(milliseconds=250))
        world.write_row(near, world.find_window())
    window = world.find_window()
    for _ in range((LENGTH + DUE / 2) // timedelta(milliseconds=250)):
        await world.advance(timedelta(milliseconds=250))
        world.write_row(near, world.find_window(), {window: 1})
    assert not world.presence.is_live(far.vm, far.incarnation)
    assert world.reports.counts[window] == {ACCOUNT: 1}


async def test_window_waits_for_a_daemon_that_returns(world: World) -> None:
    """Guards against sums without a daemon that was paused or cut off."""
    window = world.find_window()
    near, far = PEERS
    for _ in range((LENGTH + DUE / 2) // timedelta(milliseconds=250)):
        await world.advance(timedelta(milliseconds=250))
        world.write_row(near, world.find_window(), {window: 1})
    assert not world.presence.is_live(far.vm, far.incarnation)
    assert window not in world.reports.counts
    world.write_row(far, world.find_window(), {window: 7})
    await world.pass_time(timedelta(seconds=2))
    assert world.reports.counts[window] == {ACCOUNT: 8}


async def test_missing_row_does_not_hold_a_report_up_for_good(
    world: World,
) -> None:
    """Guards against windows that are never reported in a long partition."""
    window = world.find_window()
    near, far = PEERS
    for _ in range(LATEST // timedelta(milliseconds=250)):
        await world.advance(timedelta(milliseconds=250))
        world.write_row(near, world.find_window(), {window: 1})
        world.presence.on_pong(far)
    assert world.reports.counts[window] == {ACCOUNT: 1}
