"""Tracks orders and reports that are in flight."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

Outcome = TypeVar('Outcome')


class InFlightCalls:
    """Lets calls in flight finish before their lease is released.

    A daemon that stops cancels its tasks. An order whose task was cancelled
    may still reach its receiver, concurrently with orders of the next lease
    holder.
    """

    def __init__(self) -> None:
        """Start without calls in flight."""
        self._tasks: set[asyncio.Task] = set()

    async def run(self, call: Coroutine[Any, Any, Outcome]) -> Outcome:
        """Run a call to its end, even if the caller is cancelled.

        :param call: coroutine that ends by itself, by its timeout at the
            latest.
        """
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def finish(self) -> None:
        """Wait until no call is in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
