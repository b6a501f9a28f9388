"""Timer for the deadlines of queued requests."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.state.clock import Clock

MIN_SLEEP = timedelta(milliseconds=10)


class DeadlineTimer:
    """Runs one task that sleeps until the earliest deadline.

    :param expire: ends the requests past their deadline and returns the
        earliest remaining deadline, if any.
    """

    def __init__(
        self,
        clock: Clock,
        expire: Callable[[], timedelta | None],
    ) -> None:
        """Create without a task."""
        self._clock = clock
        self._expire = expire
        self._task: asyncio.Task[None] | None = None
        self._next_deadline = timedelta.max

    def add(self, deadline: timedelta) -> None:
        """Wake up at a deadline unless an earlier one is already set."""
        if self._task is not None and not self._task.done():
            if deadline >= self._next_deadline:
                return
            self._task.cancel()
        self._next_deadline = deadline
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._run())

    def stop(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            delay = self._next_deadline - self._clock.elapsed()
            await self._clock.sleep(max(delay, MIN_SLEEP))
            next_deadline = self._expire()
            if next_deadline is None:
                return
            self._next_deadline = next_deadline
