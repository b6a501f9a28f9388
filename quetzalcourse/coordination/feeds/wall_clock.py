"""Calendar time that all daemons tell alike, also where a VM's jumped."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.coordination.feeds.ports import StoreClock
    from quetzalcourse.state.clock import Clock

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class WallClockEstimate:
    """The store's steady clock, put on the wall clock by most daemons.

    The wall clock of a VM may jump by seconds while the others' do not.
    Windows of usage that go by it alone would count requests twice or in
    the wrong window. So each daemon tells how far its own wall clock is from
    the store's clock, and the median of all counts: it stays right as long
    as more than half of the calendars are.

    It is a :class:`~quetzalcourse.state.clock.Clock` for whoever needs the
    wall clock; steady time is the machine's own.
    """

    def __init__(self, clock: Clock, store_clock: StoreClock) -> None:
        """Begin with the machine's own wall clock."""
        self._clock = clock
        self._store_clock = store_clock
        self._offsets: dict[str, timedelta] = {}
        self._median: timedelta | None = None
        self._stale = False

    def elapsed(self) -> timedelta:
        """Tell the steady time of this machine."""
        return self._clock.elapsed()

    def now(self) -> datetime:
        """Tell the wall clock time in UTC that most daemons agree on."""
        store_now = self._store_clock.estimate()
        median = self._find_median_offset()
        if store_now is None or median is None:
            return self._clock.now()
        return EPOCH + store_now + median

    async def sleep(self, duration: timedelta) -> None:
        """Pause the calling task."""
        await self._clock.sleep(duration)

    def find_offset(self) -> timedelta | None:
        """Tell how far this machine's wall clock is ahead of the store's clock.

        :returns: the difference, ``None`` before the store's first answer.
        """
        store_now = self._store_clock.estimate()
        if store_now is None:
            return None
        return self._clock.now() - EPOCH - store_now

    def on_offset(self, vm: str, offset: timedelta) -> None:
        """Take what a daemon said of its wall clock.

        A daemon that is gone goes on counting: the difference that it told
        stays as true as it was.
        """
        if self._offsets.get(vm) == offset:
            return
        self._offsets[vm] = offset
        self._stale = True

    def _find_median_offset(self) -> timedelta | None:
        # Offsets of hundreds of daemons come with every answer of the store,
        # far more often than anybody asks for the time.
        if self._stale:
            self._median = median_low(self._offsets.values())
            self._stale = False
        return self._median
