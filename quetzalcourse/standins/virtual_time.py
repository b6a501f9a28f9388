"""Event loop whose time jumps to the next timer, for fast simulations."""

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
    """Selector that adds up its timeouts instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the virtual time; no socket is polled."""
        if timeout is None:
            raise RuntimeError(
                'Deadlock: every task waits and no timer is set.'
            )
        self.skipped += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, for code without sockets."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.skipped


class VirtualClock:
    """Clock of a process on the virtual loop.

    :param ahead: offset to the clocks of other processes.
    :param rate: speed relative to the loop's time.
    """

    def __init__(
        self,
        ahead: timedelta = timedelta(0),
        rate: float = 1.0,
    ) -> None:
        """Store the offset and the rate."""
        self._ahead = ahead
        self._rate = rate

    def elapsed(self) -> timedelta:
        """Return the time since boot."""
        seconds = asyncio.get_running_loop().time() * self._rate
        return BOOT + self._ahead + timedelta(seconds=seconds)

    def now(self) -> datetime:
        """Return the calendar time in UTC."""
        return EPOCH + self.elapsed()

    async def sleep(self, duration: timedelta) -> None:
        """Sleep on virtual time."""
        await asyncio.sleep(max(0.0, duration.total_seconds()) / self._rate)


def run_virtual(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine on a new virtual loop.

    :param main: what to run; it must not wait for a socket.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
