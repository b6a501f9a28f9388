"""End of the requests that still run when their daemon stops."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import QuetzalcourseError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class RequestCutError(QuetzalcourseError):
    """The daemon stops before the request is served."""


class RequestCutoff:
    """Interrupts running requests, so that each can still be answered."""

    def __init__(self) -> None:
        """Start without running requests."""
        self._running: set[asyncio.Timeout] = set()

    @asynccontextmanager
    async def track(self) -> AsyncIterator[None]:
        """Let a request be interrupted for the duration of the block.

        :raises RequestCutError: if it is.
        """
        interrupt = asyncio.timeout(None)
        try:
            async with interrupt:
                self._running.add(interrupt)
                yield
        except TimeoutError:
            if interrupt.expired():
                raise RequestCutError('daemon stops') from None
            raise
        finally:
            self._running.discard(interrupt)

    def interrupt_all(self) -> None:
        """Interrupt every running request."""
        now = asyncio.get_running_loop().time()
        for interrupt in tuple(self._running):
            interrupt.reschedule(now)
