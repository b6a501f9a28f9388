"""Estimates how long an item uses a slot, from the results of open batches.

The daemon that orders upstreams runs few items itself, and sees only how many
items of all batches are unfinished. By Little's law, the slots that were in
use for some time, divided by the items that ended meanwhile, are the mean time
of an item.
"""

from __future__ import annotations

import math
from datetime import timedelta

# Time after which an observation counts half.
HALF_LIFE = timedelta(seconds=10)
# Ended items, and time with items running, that are needed for an estimate.
# Long items of a step start first, so that a shorter time would show no others.
MIN_ITEMS = 20
MIN_RUNNING_TIME = timedelta(seconds=4)


class ItemTimeEstimator:
    """Mean time for which an item uses a slot, weighted by age."""

    def __init__(self) -> None:
        """Start without observations."""
        self._busy_seconds = 0.0
        self._ended = 0.0
        self._running_time = timedelta(0)
        self._mean: timedelta | None = None

    def observe(self, elapsed: timedelta, busy: float, ended: float) -> None:
        """Record an interval.

        :param busy: slots in use during it.
        :param ended: items that ended during it.
        """
        kept = math.pow(0.5, elapsed / HALF_LIFE)
        self._busy_seconds = (
            self._busy_seconds * kept + busy * elapsed.total_seconds()
        )
        self._ended = self._ended * kept + ended
        if busy:
            self._running_time += elapsed
        known = self._running_time >= MIN_RUNNING_TIME
        if known and self._ended >= MIN_ITEMS:
            self._mean = timedelta(seconds=self._busy_seconds / self._ended)

    @property
    def mean(self) -> timedelta | None:
        """Mean time of an item, ``None`` until enough items have ended."""
        return self._mean
