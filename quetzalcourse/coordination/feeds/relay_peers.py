"""Peers that can relay store calls while the store refuses this daemon.

For some seconds the store may refuse a third of the daemons, or be unreachable
for them, and serve the others. Trainers keep submitting and reading at those
daemons, since the load balancer needs two seconds to redirect them, and each
rejected batch delays its step by as long.
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

# Maximum age of another daemon's report.
REACHABILITY_TTL = timedelta(seconds=1)
# Time that a call waits for the first report of another daemon.
REPORT_TIMEOUT = timedelta(milliseconds=50)
# Calls within this time share one request for reports.
REQUEST_INTERVAL = timedelta(milliseconds=100)
LONG_AGO = timedelta(days=-1)


class RelayPeers:
    """Tracks which daemons the store answers, by their own reports.

    :param follower: table whose answers show whether the store is available
        here.
    :ivar report_request: set when the other daemons should be asked to report.
    """

    def __init__(self, follower: TableFollower, clock: Clock) -> None:
        """Start without any report."""
        self.report_request = asyncio.Event()
        self._follower = follower
        self._clock = clock
        self._reports: dict[str, tuple[Member, timedelta]] = {}
        self._report_received = asyncio.Event()
        self._requested_at = LONG_AGO
        self._random = random.Random()
        self._may_relay: Callable[[Member], bool] = _allow_all

    def restrict(self, may_relay: Callable[[Member], bool]) -> None:
        """Limit relaying to the peers for which a check holds."""
        self._may_relay = may_relay

    @property
    def needed(self) -> bool:
        """Whether the store is unavailable to this daemon."""
        return self._follower.store_unavailable

    def on_report(self, sender: Member, *, hears_store: bool) -> None:
        """Record a report of another daemon.

        :param hears_store: whether the store answers that daemon.
        """
        if not hears_store:
            self._reports.pop(sender.vm, None)
            return
        self._reports[sender.vm] = (sender, self._clock.elapsed())
        self._report_received.set()

    def on_failure(self, peer: Member) -> None:
        """Forget a peer that did not answer or can no longer relay."""
        self._reports.pop(peer.vm, None)

    def find(self) -> Member | None:
        """Find a random peer that the store answers."""
        oldest = self._clock.elapsed() - REACHABILITY_TTL
        fresh = [
            member
            for member, reported_at in self._reports.values()
            if reported_at >= oldest and self._may_relay(member)
        ]
        return self._random.choice(fresh) if fresh else None

    async def find_or_wait(self) -> Member | None:
        """Find a peer; if none is known, request reports and wait briefly."""
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
    """Allow every peer to relay."""
    return True
