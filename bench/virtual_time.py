"""Event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.SelectSelector):
    """Selector that reports how long it would have waited."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop in virtual time; the same seed gives the same run."""

    def __init__(self) -> None:
        """Begin at zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Tell the virtual time in seconds."""
        return self._jumping.now


class VirtualClock:
    """Clock over the running loop's time."""

    def elapsed(self) -> timedelta:
        """Tell the time since the loop began."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def now(self) -> datetime:
        """Tell the calendar time."""
        return EPOCH + self.elapsed()

    async def sleep(self, duration: timedelta) -> None:
        """Pause the calling task."""
        await asyncio.sleep(max(duration.total_seconds(), 0))


def run_virtual(work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run work to its end in virtual time.

    :param work: makes the coroutine, inside the loop.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work())
    finally:
        loop.close()
