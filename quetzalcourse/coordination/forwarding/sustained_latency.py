"""Tells a lasting change of an upstream's token latency from a passing one.

Under steady load on shared machines, an upstream is slowed several times over
for some hundred milliseconds, a few times a minute, and its streams bring
hundreds of timings a second, so that any mean of the last timings follows. The
median of short windows does not move until most of them are slow.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta

WINDOW = timedelta(milliseconds=100)
# Windows of which the median is taken; a slowdown counts as lasting after half
# of them.
MAX_WINDOWS = 15
# Windows needed before the median is used.
MIN_WINDOWS = 4


class SustainedLatency:
    """Median of the mean token latencies of the last windows.

    Windows without an event are left out, so that the long-run speed stays
    known while an upstream is idle.
    """

    def __init__(self) -> None:
        """Start without timings."""
        self.median = 0.0
        self._means: deque[float] = deque(maxlen=MAX_WINDOWS)
        self._began: timedelta | None = None
        self._total = 0.0
        self._count = 0

    def add(self, seconds: float, now: timedelta) -> float:
        """Add the time between two events.

        :returns: mean of the window that has just ended, 0 if none has.
        """
        ended = 0.0
        if self._began is None:
            self._began = now
        elif now - self._began >= WINDOW:
            ended = self._end_window()
            self._began = now
        self._total += seconds
        self._count += 1
        return ended

    def _end_window(self) -> float:
        mean = self._total / self._count
        self._means.append(mean)
        self._total = 0.0
        self._count = 0
        if len(self._means) >= MIN_WINDOWS:
            self.median = sorted(self._means)[(len(self._means) - 1) // 2]
        return mean
