"""Liveness of daemons whose heartbeat rows stop, alive and dead."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import msgspec
import pytest

from quetzalcourse.coordination.feeds import presence as members
from quetzalcourse.coordination.feeds.heartbeats import find_liveness_timeout
from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.coordination.feeds.liveness_probes import (
    PROBE_INTERVAL,
    LivenessProbes,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.state.rows import Row
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.feeds import FakeFeed, NoStoreClock
from quetzalcourse.tests.peers import FakeNetwork

NEAR = Member('vm-n', 'vm-n:1', 'hall-n', 'n:1')
FAR = Member('vm-f', 'vm-f:1', 'hall-f', 'f:1')
HEARTBEAT_INTERVAL = timedelta(seconds=0.5)
LIVENESS_TIMEOUT = find_liveness_timeout(HEARTBEAT_INTERVAL, timedelta(0))


class World:
    """Two daemons; the row of the far one is written only once."""

    def __init__(self) -> None:
        """Start with the far daemon's row known."""
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.far_reaches_store = True
        self.near = self._build(NEAR)
        self.far = self._build(FAR)
        self.probes = LivenessProbes(
            self.near, self.network.join(NEAR), lambda: True, self.clock
        )
        LivenessProbes(
            self.far,
            self.network.join(FAR),
            lambda: self.far_reaches_store,
            self.clock,
        )
        self.near.on_rows([self._write(FAR)])

    async def pass_time(self, duration: timedelta) -> None:
        """Let the near daemon probe while time passes."""
        for _ in range(duration // PROBE_INTERVAL):
            self.probes.probe()
            await settle()
            self.clock.move(PROBE_INTERVAL)

    def sees_far(self) -> bool:
        """Return whether the far daemon counts as live."""
        return self.near.is_live(FAR.vm, FAR.incarnation)

    def _build(self, own: Member) -> members.Presence:
        feed: Any = FakeFeed(self.clock)
        follower = TableFollower(feed, members.TABLE, self.clock, Counters())
        return members.Presence(
            own,
            feed,
            follower,
            self.clock,
            dict,
            lambda _: None,
            WallClockEstimate(self.clock, NoStoreClock()),
        )

    def _write(self, member: Member) -> Row:
        record = members.PresenceRecord(
            member.vm,
            member.incarnation,
            member.data_centre,
            member.address,
            leaving=False,
            beat=1,
            gap=HEARTBEAT_INTERVAL.total_seconds(),
        )
        return Row(
            members.format_row_key(member), msgspec.json.encode(record), 1
        )


async def test_daemon_that_answers_pings_is_live_without_new_rows() -> None:
    """Guards against deposing owners while part of the store is unavailable."""
    world = World()
    await world.pass_time(LIVENESS_TIMEOUT * 4)
    assert world.sees_far()
    assert FAR in world.near.list_live()


@pytest.mark.parametrize('warm_up', [timedelta(0), LIVENESS_TIMEOUT * 3])
async def test_dead_daemon_is_noticed_within_the_liveness_timeout(
    warm_up: timedelta,
) -> None:
    """Guards against probes that delay the takeover of a dead daemon's work."""
    world = World()
    await world.pass_time(warm_up)
    world.network.leave(FAR)
    await world.pass_time(LIVENESS_TIMEOUT + PROBE_INTERVAL)
    assert not world.sees_far()


async def test_daemon_without_the_store_is_not_live() -> None:
    """Guards against an owner that answers pings but can commit nothing."""
    world = World()
    world.far_reaches_store = False
    await world.pass_time(LIVENESS_TIMEOUT + PROBE_INTERVAL)
    assert not world.sees_far()


async def test_pong_of_a_later_run_does_not_keep_the_previous_one_live() -> (
    None
):
    """Guards against a restarted daemon that keeps the batches it lost."""
    world = World()
    await world.pass_time(LIVENESS_TIMEOUT / 2)
    world.near.on_pong(Member('vm-f', 'vm-f:2', 'hall-f', 'f:1'))
    world.network.leave(FAR)
    await world.pass_time(LIVENESS_TIMEOUT / 2 + PROBE_INTERVAL)
    assert not world.sees_far()


async def test_daemon_that_writes_in_time_is_not_probed() -> None:
    """Guards against probes whose number grows as the square of the daemons."""
    world = World()
    await world.pass_time(HEARTBEAT_INTERVAL)
    assert not any(
        topic is Topic.liveness_ping for _, _, topic, _ in world.network.sent
    )
