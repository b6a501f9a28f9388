"""Fake clock that only tests advance."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from datetime import UTC, datetime, timedelta

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
SETTLE_ROUNDS = 50


class FakeClock:
    """Clock for tests.

    :param rate: speed relative to the durations that tests give.
    """

    def __init__(self, rate: float = 1.0) -> None:
        """Start a thousand seconds after boot."""
        self._elapsed = timedelta(seconds=1000)
        self._rate = rate
        self.calendar_error = timedelta(0)
        self._sleepers: list[tuple[timedelta, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()

    def elapsed(self) -> timedelta:
        """Return the time since boot."""
        return self._elapsed

    def now(self) -> datetime:
        """Return the calendar time in UTC."""
        return EPOCH + self._elapsed + self.calendar_error

    async def sleep(self, duration: timedelta) -> None:
        """Wait until the test has advanced the clock far enough."""
        if duration <= timedelta(0):
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        entry = (self._elapsed + duration, next(self._numbers), future)
        heapq.heappush(self._sleepers, entry)
        await future

    def move(self, duration: timedelta) -> None:
        """Advance the clock without waking sleepers, like a paused process."""
        self._elapsed += duration * self._rate

    async def advance(self, duration: timedelta) -> None:
        """Advance the clock and wake sleepers in order of their deadlines."""
        await settle()
        end = self._elapsed + duration * self._rate
        while self._sleepers and self._sleepers[0][0] <= end:
            wake, _, future = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, wake)
            if not future.done():
                future.set_result(None)
            await settle()
        self._elapsed = max(self._elapsed, end)
        await settle()


async def settle() -> None:
    """Run all tasks until they wait for something."""
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)
