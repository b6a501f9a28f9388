"""Probes daemons directly before a missed heartbeat row counts as their death.

Liveness is a row in the store. When the part of the store that holds the
rows of a data centre is unavailable, all daemons there look dead to the
others, which would take over their batches and choose other coordinators
while the steps of those batches still run. So a daemon whose row is overdue
is pinged over the peer link, and its answer counts like a new row.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.feeds.presence import Presence
    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

# Several probes fit between an overdue row and the liveness timeout.
PROBE_INTERVAL = timedelta(milliseconds=100)
EMPTY_MESSAGE = b''


class LivenessProbes:
    """Pings daemons whose rows are overdue and answers pings of others.

    :param can_reach_store: whether this daemon reaches the store, directly or
        through another one. A daemon that does not can commit nothing, so it
        leaves pings unanswered and its work is taken over.
    """

    def __init__(
        self,
        presence: Presence,
        peers: Peers,
        can_reach_store: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Subscribe to pings and answers."""
        self._presence = presence
        self._peers = peers
        self._can_reach_store = can_reach_store
        self._clock = clock
        peers.subscribe(Topic.liveness_ping, self.on_ping)
        peers.subscribe(Topic.liveness_pong, self.on_pong)

    async def run(self) -> None:
        """Send probes until the task is cancelled."""
        while True:
            self.probe()
            await self._clock.sleep(PROBE_INTERVAL)

    def probe(self) -> None:
        """Ping every daemon whose row is overdue."""
        for member in self._presence.list_overdue():
            self._peers.send(member, Topic.liveness_ping, EMPTY_MESSAGE)

    def on_ping(self, sender: Member, _: bytes) -> None:
        """Answer a ping unless this daemon leaves or has lost the store."""
        if self._can_reach_store() and not self._presence.own.leaving:
            self._peers.send(sender, Topic.liveness_pong, EMPTY_MESSAGE)

    def on_pong(self, sender: Member, _: bytes) -> None:
        """Record the answer of a daemon that is alive."""
        self._presence.on_pong(sender)
