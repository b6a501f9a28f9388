"""Permit that a task holds, released once however the task ends.

asyncio never enters the coroutine of a task that is cancelled before its first
step, so a ``finally`` there can't undo what was counted before the task was
started. A permit is released by a callback of the task instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class Permit:
    """Use of a resource, which is counted or marked until it is released.

    :param on_release: undoes the count or the mark; called exactly once.
    """

    def __init__(self, on_release: Callable[[], None]) -> None:
        """Hold the resource, which the caller has counted or marked."""
        self._on_release = on_release
        self._owner: asyncio.Task[None] | None = None
        self.held = True

    def assign(self, task: asyncio.Task[None]) -> None:
        """Make a task the owner, whose end releases the permit.

        The end of an earlier owner no longer does.
        """
        self._owner = task
        task.add_done_callback(self._on_task_done)

    def release(self) -> None:
        """Release the resource; further calls have no effect."""
        if not self.held:
            return
        self.held = False
        self._owner = None
        self._on_release()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task is self._owner:
            self.release()
