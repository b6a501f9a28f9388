"""Daemons by which this one reaches the store while that turns it away.

The load that this answers: for some seconds the store refuses a third of the
daemons, or their way to it is cut, and serves the others. Trainers go on to
submit and read at those daemons, since the balancer needs two seconds to
send them elsewhere, and each batch that is refused costs its step as long.
"""

from __future__ import annotations

import asyncio
import random
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.tasks import wait_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

# Age until which another daemon's report counts.
REACHABILITY_TTL = timedelta(seconds=1)
# Time that a call waits for the first report of another daemon.
REPORT_TIMEOUT = timedelta(milliseconds=50)
# Calls within this time share one question to the other daemons.
REQUEST_INTERVAL = timedelta(milliseconds=100)
LONG_AGO = timedelta(days=-1)


class RelayPeers:
    """Knows which daemons the store answers, as they say themselves.

    :param follower: table by which the store's answers here are judged.
    """

    def __init__(self, follower: TableFollower, clock: Clock) -> None:
        """Begin without a report from anyone."""
        self.report_request = asyncio.Event()
        self._follower = follower
        self._clock = clock
        self._reports: dict[str, tuple[Member, timedelta]] = {}
        self._report_received = asyncio.Event()
        self._requested_at = LONG_AGO
        self._random = random.Random()
        self._may_relay: Callable[[Member], bool] = _allow_all

    def restrict(self, may_relay: Callable[[Member], bool]) -> None:
        """Ask only some daemons for help from now on."""
        self._may_relay = may_relay

    @property
    def needed(self) -> bool:
        """Whether the store fails to answer this daemon."""
        return self._follower.store_unavailable

    def on_report(self, sender: Member, *, hears_store: bool) -> None:
        """Take the report of another daemon.

        :param hears_store: whether the store answers that one.
        """
        if not hears_store:
            self._reports.pop(sender.vm, None)
            return
        self._reports[sender.vm] = (sender, self._clock.elapsed())
        self._report_received.set()

    def on_failure(self, peer: Member) -> None:
        """Learn that a daemon did not answer, or can't help any more."""
        self._reports.pop(peer.vm, None)

    def find(self) -> Member | None:
        """Find a daemon that the store answers, at random among them."""
        oldest = self._clock.elapsed() - REACHABILITY_TTL
        fresh = [
            member
            for member, reported_at in self._reports.values()
            if reported_at >= oldest and self._may_relay(member)
        ]
        return self._random.choice(fresh) if fresh else None

    async def find_or_wait(self) -> Member | None:
        """Find a daemon, and ask the others at once if none is known."""
        found = self.find()
        if found is not None:
            return found
        now = self._clock.elapsed()
        if now - self._requested_at >= REQUEST_INTERVAL:
            self._requested_at = now
            self._report_received.clear()
            self.report_request.set()
        await wait_event(self._report_received, REPORT_TIMEOUT)
        return self.find()


def _allow_all(_: Member) -> bool:
    """Let every daemon help."""
    return True
