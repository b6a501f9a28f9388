"""Exponentially decayed token counts of each account."""

from __future__ import annotations

from collections import defaultdict
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.state.slots import QueueKey

HALF_LIFE = timedelta(seconds=30)
MAX_AGE_IN_HALF_LIVES = 60
MIN_KEPT_AMOUNT = 0.000001


class DecayedTokenCounts:
    """Keeps token sums that decay with a fixed half-life.

    New tokens are scaled up instead of scaling old ones down, so only ratios
    between accounts are meaningful, and reading costs nothing.
    """

    def __init__(self) -> None:
        """Create with no tokens counted."""
        self._sums: dict[QueueKey, float] = defaultdict(float)
        self._reference_time: timedelta | None = None

    def add(self, key: QueueKey, tokens: int, now: timedelta) -> None:
        """Add tokens generated for an account."""
        if not tokens:
            return
        if self._reference_time is None:
            self._reference_time = now
        age = (now - self._reference_time) / HALF_LIFE
        if age > MAX_AGE_IN_HALF_LIVES:
            self._rescale(age, now)
            age = 0
        self._sums[key] += tokens * 2**age

    def read(self) -> Mapping[QueueKey, float]:
        """Return the sums, which are comparable only with one another."""
        return self._sums

    def _rescale(self, age: float, now: timedelta) -> None:
        # The scale factor grows with time, so without rescaling the sums would
        # overflow after hours.
        self._reference_time = now
        scaled = {key: amount / 2**age for key, amount in self._sums.items()}
        self._sums.clear()
        self._sums.update(
            (key, amount)
            for key, amount in scaled.items()
            if amount > MIN_KEPT_AMOUNT
        )
