"""Orders and reports that are on their way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

Outcome = TypeVar('Outcome')


class InFlightCalls:
    """Lets what is on its way end before its lease is given up.

    A daemon that stops cancels its work. An order that was cancelled half
    way may still reach its receiver, beside those of the next holder.
    """

    def __init__(self) -> None:
        """Begin with nothing on its way."""
        self._tasks: set[asyncio.Task] = set()

    async def run(self, call: Coroutine[Any, Any, Outcome]) -> Outcome:
        """Send to the end, even if the caller is cancelled.

        :param call: what ends by itself, at its timeout at the latest.
        """
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def finish(self) -> None:
        """Wait until nothing is on its way."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
