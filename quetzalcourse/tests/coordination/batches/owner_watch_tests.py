"""Tests how soon the death of a batch owner is detected."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from quetzalcourse.coordination.batches.batch_rows import HEAD, OWNER, name_row
from quetzalcourse.coordination.batches.directory import BatchDirectory
from quetzalcourse.coordination.batches.owner_watch import (
    WATCHERS_PER_BATCH,
    OwnerWatch,
)
from quetzalcourse.coordination.batches.failover import rank_successors
from quetzalcourse.coordination.feeds import heartbeats
from quetzalcourse.coordination.feeds import presence as members
from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.coordination.forwarding.residency import Residency
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.feed_components import (
    HEARTBEAT_READ_PAUSE,
    HEARTBEAT_READ_PAUSE_PER_DAEMON,
)
from quetzalcourse.state.batches import BatchHead, Ownership
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.state.rows import Row
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed, NoStoreClock

STEP = timedelta(milliseconds=50)
SMALL = 11
LARGE = 195
# Largest ratio of the detection times in a large and a small deployment.
MAX_RATIO = 1.5
WARM_UP = timedelta(seconds=8)
# Seconds for which the other daemons count as live without heartbeats.
STANDING_BY = 3600
# Heartbeat interval plus the quarter of a second for which changes are batched.
OWNER_BEAT = timedelta(seconds=0.75)
LONGEST = timedelta(minutes=1)
# Real time until the first heartbeat is written, in seconds.
REAL_START = 0.1
HEAD_ROW = BatchHead('b', 'desk', 'r', 'h', 4, 0, 7500, 20_000, 'm')


def build_member(number: int) -> Member:
    """Build a daemon; one in four has a large machine."""
    return Member(
        f'vm-{number}',
        f'vm-{number}-a',
        f'hall-{number % 5}',
        f'10.0.0.{number}:1',
        cores=0.5 if number % 4 else 2,
    )


class Daemon:
    """A daemon's view of the others and of one open batch."""

    def __init__(self, world: WatchWorld, own: Member) -> None:
        """Start to follow the feeds and to watch the owner."""
        clock = world.clock
        feed: Any = world.feed
        follower = TableFollower(
            feed,
            members.TABLE,
            clock,
            Counters(),
            pause=max(
                HEARTBEAT_READ_PAUSE,
                HEARTBEAT_READ_PAUSE_PER_DAEMON * world.count,
            ),
        )
        batches = TableFollower(feed, 'batches', clock, Counters())
        directory = BatchDirectory(batches)
        self.presence = members.Presence(
            own,
            feed,
            follower,
            clock,
            dict,
            lambda _: None,
            WallClockEstimate(clock, NoStoreClock()),
        )
        watch = OwnerWatch(
            directory,
            self.presence,
            feed,
            follower,
            clock,
            Residency({}, RouteTable()),
        )
        batches.apply_rows(world.list_batch_rows())
        self._tasks = [
            asyncio.ensure_future(body)
            for body in (follower.run(), watch.run())
        ]

    def begin_beats(self) -> None:
        """Start the heartbeats, which run in real time."""
        self._tasks.append(asyncio.ensure_future(self.presence.run()))

    def kill(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()


class WatchWorld:
    """Daemons of one deployment; the first one owns a batch."""

    def __init__(self, count: int) -> None:
        """Start with the presence rows of all daemons."""
        self.clock = FakeClock()
        self.feed = FakeFeed(self.clock)
        self.count = count
        self.everyone = [build_member(number) for number in range(count)]
        self.owner = self.everyone[0]
        self.successors = rank_successors(
            'b', self.owner.incarnation, self.everyone
        )
        self.owner_lives = True
        self._next_beat = self.clock.elapsed()
        for one in self.everyone[1:]:
            self._write(one, STANDING_BY)

    def list_batch_rows(self) -> list[Row]:
        """List the rows of the batch."""
        owner = Ownership(self.owner.vm, self.owner.incarnation, 1)
        return [
            Row(name_row('b', HEAD), msgspec.json.encode(HEAD_ROW), 1),
            Row(name_row('b', OWNER), msgspec.json.encode(owner), 1),
        ]

    async def measure(self, taker: Member, *, cut: bool = False) -> timedelta:
        """Measure the time until the owner's death is detected.

        :param taker: daemon that watches the owner.
        :param cut: whether the store refuses the watching daemon instead.
        :returns: at least ``LONGEST`` if it is never detected.
        """
        watching = Daemon(self, taker)
        await self.pass_time(WARM_UP)
        assert self._sees_owner(watching)
        self.feed.down = cut
        self.owner_lives = cut
        began = self.clock.elapsed()
        while self._sees_owner(watching):
            if self.clock.elapsed() - began > LONGEST:
                break
            await self.pass_time(STEP)
        watching.kill()
        return self.clock.elapsed() - began

    async def pass_time(self, duration: timedelta) -> None:
        """Advance the clock, and write the owner's heartbeats."""
        ends = self.clock.elapsed() + duration
        while self.clock.elapsed() < ends:
            if self.owner_lives and self.clock.elapsed() >= self._next_beat:
                self._next_beat = self.clock.elapsed() + OWNER_BEAT
                self._write(
                    self.owner, heartbeats.HEARTBEAT_INTERVAL.total_seconds()
                )
            await self.clock.advance(STEP)

    def read_gap(self) -> float:
        """Read the heartbeat interval that the owner announces."""
        row = self.feed.rows[members.format_row_key(self.owner)]
        record = msgspec.json.decode(row.content, type=members.PresenceRecord)
        return record.gap

    def _sees_owner(self, watching: Daemon) -> bool:
        owner = self.owner
        return watching.presence.is_live(owner.vm, owner.incarnation)

    def _write(self, one: Member, gap: float) -> None:
        record = members.PresenceRecord(
            one.vm,
            one.incarnation,
            one.data_centre,
            one.address,
            leaving=False,
            beat=1,
            cores=one.cores,
            gap=gap,
        )
        self.feed.put(members.format_row_key(one), msgspec.json.encode(record))


@pytest.mark.parametrize('rank', range(WATCHERS_PER_BATCH))
async def test_owner_death_is_detected_as_fast_in_a_large_deployment(
    rank: int,
) -> None:
    # The daemon that runs a step dies. Among two hundred daemons that send
    # heartbeats every few seconds, a missed heartbeat alone shows that only
    # after more than five seconds, and the step is due in seven.
    small, large = WatchWorld(SMALL), WatchWorld(LARGE)
    few = await small.measure(small.successors[rank])
    many = await large.measure(large.successors[rank])
    assert many <= few * MAX_RATIO


async def test_owner_reads_do_not_grow_with_the_daemons() -> None:
    # If every daemon watched every owner, the store would refuse the reads of a
    # large deployment.
    world = WatchWorld(LARGE)
    takers = [
        Daemon(world, one) for one in world.successors[:WATCHERS_PER_BATCH]
    ]
    bystander = Daemon(world, world.successors[WATCHERS_PER_BATCH])
    await world.pass_time(WARM_UP)
    assert all(one.presence.is_watching(world.owner.vm) for one in takers)
    assert not bystander.presence.is_watching(world.owner.vm)
    for one in (*takers, bystander):
        one.kill()


async def test_store_outage_is_not_taken_for_an_owner_death() -> None:
    # The store refuses the reads of a daemon that watches an owner. If it took
    # that for a death, batches would be taken from healthy owners.
    world = WatchWorld(SMALL)
    taken = await world.measure(world.successors[0], cut=True)
    assert taken >= LONGEST


def test_large_machines_take_over_first() -> None:
    # A small machine that takes over a large step has to read all its streams,
    # which delays its callers.
    world = WatchWorld(LARGE)
    strong = [one for one in world.everyone[1:] if one.cores > 1]
    assert {one.vm for one in world.successors[: len(strong)]} == {
        one.vm for one in strong
    }


async def test_batch_owner_announces_the_short_heartbeat_interval() -> None:
    # Others measure its silence by the interval that it announced. If it
    # changed the interval when its batch ended, but sent no heartbeat within
    # the announced one, it would look dead.
    world = WatchWorld(LARGE)
    urgent = True
    owner = Daemon(world, world.owner)
    world.owner_lives = False
    owner.presence.set_urgency_check(lambda: urgent)
    owner.begin_beats()
    await world.pass_time(WARM_UP)
    await asyncio.sleep(REAL_START)
    first = world.read_gap()
    urgent = False
    began = asyncio.get_running_loop().time()
    while world.read_gap() == first:
        await world.pass_time(STEP)
        await asyncio.sleep(0.01)
    owner.kill()
    assert first == heartbeats.HEARTBEAT_INTERVAL.total_seconds()
    assert asyncio.get_running_loop().time() - began < 2 * first
