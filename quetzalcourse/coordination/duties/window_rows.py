"""Counts of one usage window in the rows of all daemons."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.feeds.wall_clock import EPOCH
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from quetzalcourse.coordination.feeds.presence import (
        Presence,
        PresenceRecord,
    )
    from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
    from quetzalcourse.state.counters import Counters

# A live daemon whose row is older than the window is waited for until a report
# is overdue by this time. A late report is still right, an early one is not.
MAX_ROW_DELAY = timedelta(seconds=10)
# A silent daemon may be dead, so it is waited for only until a report can just
# be sent in time.
SEND_TIME = timedelta(seconds=3)
MAX_SILENCE = timedelta(seconds=5)
MAX_LOGGED_NAMES = 10
log = get_log('usage')


class WindowRows:
    """Tells whether the known rows cover a window, and sums up its counts.

    :param length: length of a window.
    :param due: time after the end of a window at which its report is due.
    """

    def __init__(
        self,
        presence: Presence,
        clock: WallClockEstimate,
        counters: Counters,
        length: timedelta,
        due: timedelta,
    ) -> None:
        """Keep the components."""
        self._presence = presence
        self._clock = clock
        self._counters = counters
        self._length = length
        self._due = due

    def cover(self, window: int) -> bool:
        """Return whether the counts of a window are as complete as possible.

        They are once all rows were read after the end of the window, and each
        daemon has written its row after it, or was given enough time for it.
        """
        age = self._clock.now() - EPOCH - (window + 1) * self._length
        ended_at = self._clock.elapsed() - age
        read_began_at = self._presence.read_began_at
        if read_began_at is None or read_began_at < ended_at:
            return False
        if age >= self._due + MAX_ROW_DELAY:
            return True
        if self._list_live_missing(window):
            return False
        if age >= self._due - SEND_TIME:
            return True
        return not self._list_silent_missing(window)

    def sum_counts(self, window: int) -> dict[str, int]:
        """Sum up the counts of a window by client account."""
        total: Counter[str] = Counter()
        for record in self._presence.records.values():
            total.update(record.usage.get(str(window), {}))
        return dict(total)

    def record_missing(self, window: int) -> None:
        """Count and log the daemons whose counts a closed window lacks."""
        missing = [
            *self._list_live_missing(window),
            *self._list_silent_missing(window),
        ]
        if missing:
            self._counters.add('usage_rows_missing', len(missing))
            log.warning(
                'Reporting usage without the counts of some daemons.',
                window=window,
                missing=missing[:MAX_LOGGED_NAMES],
            )

    def _list_live_missing(self, window: int) -> list[str]:
        """List the live daemons whose rows do not cover a window."""
        own = self._presence.own
        missing = [
            record.vm
            for record in self._presence.records.values()
            if _is_older(record, window) and self._is_live(record)
        ]
        written = self._presence.records.get(own.vm)
        if written is None or written.incarnation != own.incarnation:
            missing.append(own.vm)
        return missing

    def _list_silent_missing(self, window: int) -> list[str]:
        """List the daemons that may have served after their last rows.

        Those that left have written all their counts, and those that were
        silent for long before the window are gone.
        """
        oldest = window + (-MAX_SILENCE) // self._length
        return [
            record.vm
            for record in self._presence.records.values()
            if _is_older(record, window)
            and (record.counted_window or 0) >= oldest
            and not record.leaving
            and not self._is_live(record)
        ]

    def _is_live(self, record: PresenceRecord) -> bool:
        return self._presence.is_live(record.vm, record.incarnation)


def _is_older(record: PresenceRecord, window: int) -> bool:
    """Return whether a row was written before the end of a window.

    Rows of daemons that do not state their window count as newer.
    """
    if record.counted_window is None:
        return False
    return record.counted_window <= window
