"""Tells a lasting change of a figure of an upstream from a passing one.

Under steady load on shared machines, an upstream is slowed several times over
for some hundred milliseconds, a few times a minute, and its streams bring
hundreds of timings a second, so that any mean of the last timings follows. The
median of short windows does not move until most of them are slow.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta

WINDOW = timedelta(milliseconds=100)
# Windows of which the median is taken; a change counts as lasting after half of
# them.
MAX_WINDOWS = 15


class WindowedMedian:
    """Median of the means of the last windows.

    Windows without a reading are left out, so that the long-run figure stays
    known while an upstream is idle.

    :param min_windows: ended windows before which the median is not told.
    """

    def __init__(self, min_windows: int) -> None:
        """Start without readings."""
        self.median = 0.0
        self._min_windows = min_windows
        self._means: deque[float] = deque(maxlen=MAX_WINDOWS)
        self._began: timedelta | None = None
        self._total = 0.0
        self._count = 0

    def add(self, reading: float, now: timedelta) -> float:
        """Add a reading.

        :returns: mean of the window that has just ended, 0 if none has.
        """
        ended = 0.0
        if self._began is None:
            self._began = now
        elif now - self._began >= WINDOW:
            ended = self._end_window()
            self._began = now
        self._total += reading
        self._count += 1
        return ended

    def _end_window(self) -> float:
        mean = self._total / self._count
        self._means.append(mean)
        self._total = 0.0
        self._count = 0
        if len(self._means) >= self._min_windows:
            self.median = sorted(self._means)[(len(self._means) - 1) // 2]
        return mean
