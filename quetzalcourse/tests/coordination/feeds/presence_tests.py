"""Liveness of daemons while the table of members is read."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from quetzalcourse.coordination.feeds import presence as members
from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed, NoStoreClock

OWN = Member('vm-n', 'vm-n:1', 'hall-n', 'n:1')
FAR = Member('vm-f', 'vm-f:1', 'hall-f', 'f:1')


async def test_unknown_daemon_is_live_until_the_table_was_read() -> None:
    """Guards against a starting daemon that deposes owners it cannot know."""
    clock = FakeClock()
    feed: Any = FakeFeed(clock)
    feed.down = True
    follower = TableFollower(feed, members.TABLE, clock, Counters())
    presence = members.Presence(
        OWN,
        feed,
        follower,
        clock,
        dict,
        lambda _: None,
        WallClockEstimate(clock, NoStoreClock()),
    )
    following = asyncio.ensure_future(follower.run())
    await clock.advance(timedelta(seconds=10))
    assert presence.is_live(FAR.vm, FAR.incarnation)
    feed.down = False
    await clock.advance(timedelta(seconds=1))
    assert not presence.is_live(FAR.vm, FAR.incarnation)
    following.cancel()
