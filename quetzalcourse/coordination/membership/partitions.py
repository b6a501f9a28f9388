"""What a daemon is cut off from, and since when."""

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
WATCH_EVERY = timedelta(seconds=1)


class StoreFreshness:
    """Tells how old the newest word from the store is.

    Each heartbeat carries the age that its sender knows of, so a daemon that
    rarely reads the store itself still knows that its data centre hears it.
    """

    def __init__(self, follower: StorePoller, clock: Clock) -> None:
        """Begin without any news."""
        self._follower = follower
        self._clock = clock
        self._heard: timedelta | None = None

    def find_age(self) -> timedelta | None:
        """Tell the age of the newest word, ``None`` if there was none."""
        times = [
            time
            for time in (self._heard, self._follower.read_at)
            if time is not None
        ]
        return self._clock.elapsed() - max(times) if times else None

    def on_digest(self, _: Member, digest: Digest) -> None:
        """Take the age that another daemon knows of."""
        if digest.news_age is None:
            return
        heard = self._clock.elapsed() - digest.news_age
        if self._heard is None or heard > self._heard:
            self._heard = heard

    def is_current(self, longest: timedelta | None) -> bool:
        """Tell whether the news is recent enough to serve keys by.

        :param longest: age up to which it is, ``None`` for any age.
        """
        if longest is None:
            return True
        age = self.find_age()
        return age is not None and age <= longest


class PartitionTracker:
    """Keeps the list of what can't be reached.

    :param follower: knows whether the platform answers this daemon.
    """

    def __init__(
        self,
        follower: StorePoller,
        members: MemberView,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Begin with nothing cut."""
        self._follower = follower
        self._members = members
        self._clock = clock
        self._counters = counters
        self._known: set[str] = set()
        self._lost: dict[str, datetime] = {}
        members.on_change(self._on_members)

    def list_partitions(self) -> dict[str, datetime]:
        """List what is cut, and since when.

        :returns: times by ``platform`` or the data centre's name.
        """
        cuts = dict(self._lost)
        if self._follower.unreachable_since is not None:
            cuts[PLATFORM] = self._follower.unreachable_since
        return cuts

    async def run(self) -> None:
        """Keep the gauges up to date until cancelled."""
        while True:
            self.show()
            await self._clock.sleep(WATCH_EVERY)

    def show(self) -> None:
        """Write the length of each cut into the metrics, 0 if healed."""
        now = self._clock.now()
        cuts = self.list_partitions()
        for name in (PLATFORM, *self._known):
            since = cuts.get(name, now)
            seconds = (now - since).total_seconds()
            self._counters.set('cut_seconds', seconds, peer=name)

    def _on_members(self) -> None:
        live = {member.data_centre for member in self._members.list_live()}
        self._known |= live
        for name in self._known - live:
            self._lost.setdefault(name, self._clock.now())
        for name in live & set(self._lost):
            self._lost.pop(name)
