"""Requests that are counted before their usage window is known."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzalcourse.state.clock import Clock

# Requests within this time are kept as one count.
RESOLUTION = timedelta(milliseconds=100)


class PendingCounts:
    """Counts by client account and monotonic time.

    :param clock: gives monotonic time.
    :param max_age: time after which a count is dropped.
    """

    def __init__(self, clock: Clock, max_age: timedelta) -> None:
        """Start without counts."""
        self._clock = clock
        self._max_age = max_age
        self._counts: Counter[tuple[int, str]] = Counter()

    def add(self, client_account: str) -> None:
        """Count a request that runs now."""
        tick = self._clock.elapsed() // RESOLUTION
        self._counts[tick, client_account] += 1
        self._drop_before(tick - self._max_age // RESOLUTION)

    def list_by_age(self) -> Iterator[tuple[timedelta, str, int]]:
        """Yield the age, the account and the number of each count."""
        tick = self._clock.elapsed() // RESOLUTION
        for (counted_at, client_account), count in self._counts.items():
            yield (tick - counted_at) * RESOLUTION, client_account, count

    def clear(self) -> None:
        """Remove all counts."""
        self._counts.clear()

    def _drop_before(self, oldest: int) -> None:
        # The keys are in the order of their ticks.
        for tick, client_account in tuple(self._counts):
            if tick >= oldest:
                break
            self._counts.pop((tick, client_account))
