"""Background tasks that outlive the call that started them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from datetime import timedelta

log = get_log('tasks')


class BackgroundTasks:
    """Keeps references to tasks until they end.

    The event loop holds only weak references: a task without another reference
    may be garbage-collected before it is done. The exception of a task that is
    never awaited would go unnoticed, so it is logged here.

    :param name: purpose of the tasks, for the log.
    """

    def __init__(self, name: str) -> None:
        """Start without tasks."""
        self._name = name
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error(
                'Background task failed.',
                name=self._name,
                kind=type(error).__name__,
                reason=str(error),
            )


async def wait_event(event: asyncio.Event, wait: timedelta) -> None:
    """Wait until an event is set or a timeout has passed."""
    try:
        async with asyncio.timeout(wait.total_seconds()):
            await event.wait()
    except TimeoutError:
        return
