"""Quarantines in the store: restarts, store outages and operator actions."""

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
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.quarantine import RequestState
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed

if TYPE_CHECKING:
    from collections.abc import Iterator

PROPAGATION = timedelta(seconds=1)
KEY = f'{PREFIX}f'


class FakeStoreClock:
    """Store clock in step with the daemons' clock."""

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock

    def estimate(self) -> timedelta:
        """Return the store's time."""
        return self._clock.elapsed()


class Daemon:
    """The quarantine parts of one daemon."""

    def __init__(self, feed: FakeFeed, clock: FakeClock) -> None:
        """Start to follow the table."""
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
            self.quarantine, table, follower, FakeStoreClock(clock), clock
        )
        self.tasks = [
            asyncio.ensure_future(follower.run()),
            asyncio.ensure_future(self.rows.run()),
        ]

    def crash_upstreams(self) -> None:
        """Crash enough upstreams to quarantine the request."""
        for number in range(MAX_CRASHES):
            self.quarantine.on_crash('f', (f'u-{number}', 1), f'a-{number}')
            self.quarantine.on_restart((f'v-{number}', 2), f'a-{number}')

    def find_state(self) -> RequestState:
        """Return the state of the request."""
        return self.quarantine.records.find_state('f')


class World:
    """A store and daemons that share one clock."""

    def __init__(self) -> None:
        """Start without daemons."""
        self.clock = FakeClock()
        self.feed = FakeFeed(self.clock)
        self.daemons: list[Daemon] = []

    async def start(self, count: int = 1) -> list[Daemon]:
        """Start daemons and let them read the table."""
        started = [Daemon(self.feed, self.clock) for _ in range(count)]
        self.daemons += started
        await self.pass_time()
        return started

    async def pass_time(self, duration: timedelta = PROPAGATION) -> None:
        """Advance the clock so that rows reach the daemons."""
        for _ in range(4):
            await self.clock.advance(duration / 4)

    @property
    def has_row(self) -> bool:
        """Whether the store has the row of the request."""
        row = self.feed.rows.get(KEY)
        return row is not None and not row.removed


@pytest.fixture
async def world() -> Iterator[World]:  # type: ignore[misc]
    """Build a store, and cancel the daemons' tasks at the end."""
    built = World()
    yield built
    for daemon in built.daemons:
        for task in daemon.tasks:
            task.cancel()


async def test_quarantine_reaches_daemons_without_messages(
    world: World,
) -> None:
    """Guards against daemons that missed the messages between daemons."""
    first, second = await world.start(2)
    first.crash_upstreams()
    await world.pass_time()
    assert second.find_state() is RequestState.quarantined
    (third,) = await world.start()
    assert third.find_state() is RequestState.quarantined


async def test_quarantine_is_written_after_store_outage(
    world: World,
) -> None:
    """Guards against a quarantine that is lost in a store outage."""
    (daemon,) = await world.start()
    world.feed.down = True
    daemon.crash_upstreams()
    await world.pass_time(3 * PROPAGATION)
    assert daemon.find_state() is RequestState.quarantined
    world.feed.down = False
    await world.pass_time(3 * PROPAGATION)
    assert world.has_row


async def test_restarted_daemon_keeps_end_of_quarantine(world: World) -> None:
    """Guards against a quarantine that each restart prolongs."""
    (daemon,) = await world.start()
    daemon.crash_upstreams()
    await world.pass_time(BASE_QUARANTINE_TIME - 30 * PROPAGATION)
    (late,) = await world.start()
    left = late.quarantine.records.find_time_left('f')
    assert PROPAGATION < left < 32 * PROPAGATION


async def test_operator_lifts_quarantine_at_all_daemons(world: World) -> None:
    """Guards against a lifted quarantine that remains at some daemons."""
    daemons = await world.start(2)
    daemons[0].crash_upstreams()
    await world.pass_time()
    world.feed.remove(KEY)
    await world.pass_time(10 * PROPAGATION)
    assert {daemon.find_state() for daemon in daemons} == {RequestState.sound}
    assert not world.has_row


async def test_answer_lifts_quarantine_at_all_daemons(world: World) -> None:
    """Guards against an innocent request that stays quarantined."""
    first, second = await world.start(2)
    first.crash_upstreams()
    first.quarantine.on_answer('f', ('v-0', 2))
    await world.pass_time(10 * PROPAGATION)
    assert not world.has_row
    second.crash_upstreams()
    await world.pass_time()
    first.quarantine.on_answer('f', ('v-0', 2))
    await world.pass_time(10 * PROPAGATION)
    assert not world.has_row
    assert second.find_state() is RequestState.sound


async def test_only_one_daemon_runs_the_trial(world: World) -> None:
    """Guards against a trial that crashes an upstream for each daemon."""
    daemons = await world.start(3)
    daemons[0].crash_upstreams()
    await world.pass_time(BASE_QUARANTINE_TIME + PROPAGATION)
    assert daemons[2].find_state() is RequestState.due
    claims = await asyncio.gather(
        *(daemon.rows.claim('f') for daemon in daemons)
    )
    assert sorted(claims) == [False, False, True]
    await world.pass_time()
    assert {daemon.find_state() for daemon in daemons} == {
        RequestState.quarantined
    }


async def test_one_request_at_a_time_gets_the_trial(world: World) -> None:
    """Guards against quarantined requests that are never tried again."""
    (daemon,) = await world.start()
    daemon.crash_upstreams()
    await world.pass_time(BASE_QUARANTINE_TIME + PROPAGATION)
    assert not daemon.quarantine.may_begin('f')
    await daemon.quarantine.admit('f')
    with pytest.raises(RefusedError):
        await daemon.quarantine.admit('f')


async def test_outdated_row_is_removed(world: World) -> None:
    """Guards against rows that accumulate in the store."""
    (daemon,) = await world.start()
    daemon.crash_upstreams()
    await world.pass_time()
    world.clock.move(QUARANTINE_RETENTION)
    (late,) = await world.start()
    await world.pass_time()
    assert late.find_state() is RequestState.sound
    assert not world.has_row


async def test_malformed_row_is_ignored(world: World) -> None:
    """Guards against a daemon that fails on a foreign row."""
    (daemon,) = await world.start()
    world.feed.put(KEY, b'{')
    await world.pass_time()
    assert daemon.find_state() is RequestState.sound
    assert store_module.TABLE == KEY.partition('/')[0]


async def test_only_observing_daemon_writes_the_row(world: World) -> None:
    """Guards against a write by every daemon at the same moment."""
    daemons = await world.start(8)
    for number in range(MAX_CRASHES):
        run = (f'u-{number}', 1)
        daemons[0].quarantine.on_crash('f', run, f'a-{number}')
        for daemon in daemons[1:]:
            daemon.quarantine.records.on_crash('f', run, f'a-{number}')
    for daemon in daemons:
        for number in range(MAX_CRASHES):
            daemon.quarantine.on_restart((f'v-{number}', 2), f'a-{number}')
    await world.pass_time(10 * PROPAGATION)
    assert world.has_row
    assert world.feed.writes == 1
    assert {daemon.find_state() for daemon in daemons} == {
        RequestState.quarantined
    }


async def test_missing_row_is_written_if_observing_daemon_died(
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
