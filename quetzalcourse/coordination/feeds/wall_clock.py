"""Wall clock time that all daemons agree on, even if a VM's clock jumps."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from statistics import median_low
from typing import TYPE_CHECKING

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from quetzalcourse.coordination.feeds.ports import StoreClock
    from quetzalcourse.state.clock import Clock

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# Two correct clocks outvote a third one.
MIN_CLOCKS = 3
# Daemons of a new deployment start within seconds of each other.
FEW_CLOCKS_DELAY = timedelta(seconds=5)
# Difference of correct clocks, which includes the delay of the store's answers.
MAX_SPREAD = timedelta(seconds=0.5)
log = get_log('clock')


class WallClockEstimate:
    """The store's monotonic clock plus the median wall clock offset.

    The wall clock of one VM may jump by seconds while those of others do not.
    Usage windows based on it alone would count requests twice or in the wrong
    window. So each daemon reports the offset of its wall clock from the store's
    clock, and all use the median, which is right as long as more than half of
    the wall clocks are. While no majority agrees, the time stays as it was.

    It is a :class:`~quetzalcourse.state.clock.Clock` for users of wall clock
    time; its monotonic time is the machine's own.
    """

    def __init__(self, clock: Clock, store_clock: StoreClock) -> None:
        """Start with the machine's own wall clock."""
        self._clock = clock
        self._store_clock = store_clock
        self._offsets: dict[str, timedelta] = {}
        self._median: timedelta | None = None
        self._stale = False
        self._first_offset_at: timedelta | None = None

    @property
    def agreed(self) -> bool:
        """Whether the time no longer depends on this machine's clock alone.

        A daemon that has just started may know no other clock yet. What cannot
        be revoked, such as a usage report, has to wait until it does, or until
        the other daemons have had time to report their clocks.
        """
        if (
            self._first_offset_at is None
            or self._store_clock.estimate() is None
        ):
            return False
        if len(self._offsets) >= MIN_CLOCKS:
            return True
        known_for = self._clock.elapsed() - self._first_offset_at
        return known_for >= FEW_CLOCKS_DELAY

    def elapsed(self) -> timedelta:
        """Return this machine's monotonic time."""
        return self._clock.elapsed()

    def now(self) -> datetime:
        """Return the wall clock time in UTC that most daemons agree on."""
        store_now = self._store_clock.estimate()
        median = self._find_median_offset()
        if store_now is None or median is None:
            return self._clock.now()
        return EPOCH + store_now + median

    async def sleep(self, duration: timedelta) -> None:
        """Pause the calling task."""
        await self._clock.sleep(duration)

    def find_offset(self) -> timedelta | None:
        """Measure how far this machine's wall clock is ahead of the store's.

        :returns: the offset, ``None`` before the store's first answer.
        """
        store_now = self._store_clock.estimate()
        if store_now is None:
            return None
        return self._clock.now() - EPOCH - store_now

    def on_offset(self, vm: str, offset: timedelta) -> None:
        """Record the wall clock offset that a daemon reports.

        The offset of a dead daemon keeps counting, since it stays as valid as
        it was.
        """
        if self._first_offset_at is None:
            self._first_offset_at = self._clock.elapsed()
        if self._offsets.get(vm) == offset:
            return
        self._offsets[vm] = offset
        self._stale = True

    def _find_median_offset(self) -> timedelta | None:
        # Hundreds of daemons report offsets with every answer of the store, far
        # more often than the time is read.
        if self._stale:
            self._stale = False
            median = median_low(self._offsets.values())
            if self._median is None or self._may_adopt(median):
                self._adopt(median)
        return self._median

    def _may_adopt(self, offset: timedelta) -> bool:
        """Return whether most clocks agree on an offset, or are too few for it.

        A daemon that cannot write its row reports a corrected clock late, so a
        second wrong clock may come to it. Wrong clocks rarely agree.
        """
        count = len(self._offsets)
        agreeing = sum(
            abs(other - offset) <= MAX_SPREAD
            for other in self._offsets.values()
        )
        return count < MIN_CLOCKS or agreeing > count / 2

    def _adopt(self, median: timedelta) -> None:
        if self._median is not None and abs(median - self._median) > MAX_SPREAD:
            log.warning(
                'Agreed time changed.',
                seconds=(median - self._median).total_seconds(),
                clocks=len(self._offsets),
            )
        self._median = median
