"""Recent tokens of each account, old ones counting less and less."""

from __future__ import annotations

from collections import defaultdict
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.state.slots import LoadKey

HALF_LIFE = timedelta(seconds=30)
MAX_AGE_IN_HALF_LIVES = 60
MIN_KEPT_AMOUNT = 0.000001


class DecayedTokenCounts:
    """Sums whose terms halve with every half-life.

    New tokens are scaled up where old ones would be scaled down, so only
    ratios between accounts mean anything, and reading costs nothing.
    """

    def __init__(self) -> None:
        """Begin with nothing served."""
        self._sums: dict[LoadKey, float] = defaultdict(float)
        self._reference_time: timedelta | None = None

    def add(self, key: LoadKey, tokens: int, now: timedelta) -> None:
        """Count tokens that an account got."""
        if not tokens:
            return
        if self._reference_time is None:
            self._reference_time = now
        age = (now - self._reference_time) / HALF_LIFE
        if age > MAX_AGE_IN_HALF_LIVES:
            self._rescale(age, now)
            age = 0
        self._sums[key] += tokens * 2**age

    def read(self) -> Mapping[LoadKey, float]:
        """Read the sums, which are comparable with one another only."""
        return self._sums

    def _rescale(self, age: float, now: timedelta) -> None:
        # Scaled up for hours, the sums would overflow.
        self._reference_time = now
        scaled = {key: amount / 2**age for key, amount in self._sums.items()}
        self._sums.clear()
        self._sums.update(
            (key, amount)
            for key, amount in scaled.items()
            if amount > MIN_KEPT_AMOUNT
        )
