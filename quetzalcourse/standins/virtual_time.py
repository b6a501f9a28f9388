"""Event loop whose time jumps to the next timer, for trials in seconds."""

from __future__ import annotations

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

Outcome = TypeVar('Outcome')
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
BOOT = timedelta(seconds=1000)


class _JumpingSelector(selectors.SelectSelector):
    """Selector that adds up the time it should have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let the time pass; no socket is watched."""
        if timeout is None:
            raise RuntimeError('Every task waits and no timer is set.')
        self.skipped += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that never waits, for code without sockets."""

    def __init__(self) -> None:
        """Begin at time zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Tell the virtual time in seconds."""
        return self._jumping.skipped


class VirtualClock:
    """Clock of a process on the virtual loop.

    :param ahead: by how much it is ahead of other processes' clocks.
    :param rate: how fast it runs against the loop's time.
    """

    def __init__(
        self,
        ahead: timedelta = timedelta(0),
        rate: float = 1.0,
    ) -> None:
        """Keep the differences."""
        self._ahead = ahead
        self._rate = rate

    def elapsed(self) -> timedelta:
        """Tell the time since boot."""
        seconds = asyncio.get_running_loop().time() * self._rate
        return BOOT + self._ahead + timedelta(seconds=seconds)

    def now(self) -> datetime:
        """Tell the calendar time."""
        return EPOCH + self.elapsed()

    async def sleep(self, duration: timedelta) -> None:
        """Let the loop's time pass."""
        await asyncio.sleep(max(0.0, duration.total_seconds()) / self._rate)


def run_virtual(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine on a new virtual loop.

    :param main: what to run; it must not wait for a socket.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
