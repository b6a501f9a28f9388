"""What this daemon is partitioned from, and since when."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import datetime

    from quetzalcourse.coordination.manifest.store_poller import StorePoller
    from quetzalcourse.coordination.membership.membership import Digest
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member

PLATFORM = 'platform'
GAUGE_INTERVAL = timedelta(seconds=1)


class StoreFreshness:
    """Tracks the latest read of the store, by this daemon or another.

    Each heartbeat carries the age that its sender knows of, so a daemon that
    rarely reads the store itself still knows that its data centre reaches it.
    """

    def __init__(self, poller: StorePoller, clock: Clock) -> None:
        """Start without any read."""
        self._poller = poller
        self._clock = clock
        self._peer_read_at: timedelta | None = None

    def find_age(self) -> timedelta | None:
        """Find the age of the latest known read, ``None`` if there was none."""
        times = [
            time
            for time in (self._peer_read_at, self._poller.last_read_at)
            if time is not None
        ]
        return self._clock.elapsed() - max(times) if times else None

    def on_digest(self, _: Member, digest: Digest) -> None:
        """Take over the age that another daemon reports, if it is lower."""
        if digest.news_age is None:
            return
        read_at = self._clock.elapsed() - digest.news_age
        if self._peer_read_at is None or read_at > self._peer_read_at:
            self._peer_read_at = read_at

    def is_current(self, max_age: timedelta | None) -> bool:
        """Return whether the last read is recent enough to accept keys.

        :param max_age: maximum age, ``None`` for any.
        """
        if max_age is None:
            return True
        age = self.find_age()
        return age is not None and age <= max_age


class PartitionTracker:
    """Tracks which data centres and whether the platform are unreachable.

    :param poller: knows whether the platform answers this daemon.
    """

    def __init__(
        self,
        poller: StorePoller,
        members: MemberView,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Start with everything reachable."""
        self._poller = poller
        self._members = members
        self._clock = clock
        self._counters = counters
        self._known_data_centres: set[str] = set()
        self._lost_since: dict[str, datetime] = {}
        members.on_change(self._on_members)

    def list_partitions(self) -> dict[str, datetime]:
        """List what is unreachable, and since when.

        :returns: start times by ``platform`` or the data centre's name.
        """
        partitions = dict(self._lost_since)
        if self._poller.unreachable_since is not None:
            partitions[PLATFORM] = self._poller.unreachable_since
        return partitions

    async def run(self) -> None:
        """Update the gauges until cancelled."""
        while True:
            self.update_gauges()
            await self._clock.sleep(GAUGE_INTERVAL)

    def update_gauges(self) -> None:
        """Set the age of each partition in the metrics, 0 if it has healed."""
        now = self._clock.now()
        partitions = self.list_partitions()
        for name in (PLATFORM, *self._known_data_centres):
            since = partitions.get(name, now)
            seconds = (now - since).total_seconds()
            self._counters.set('cut_seconds', seconds, peer=name)

    def _on_members(self) -> None:
        live = {member.data_centre for member in self._members.list_live()}
        self._known_data_centres |= live
        for name in self._known_data_centres - live:
            self._lost_since.setdefault(name, self._clock.now())
        for name in live & set(self._lost_since):
            self._lost_since.pop(name)
