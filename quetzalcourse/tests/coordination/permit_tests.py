"""Tests of permits: released once, however their task ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.coordination.permit import Permit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def finish() -> None:
    """End at once."""


async def fail() -> None:
    """Raise an error."""
    raise ValueError


async def block() -> None:
    """Run until cancelled."""
    await asyncio.Event().wait()


async def cancel_itself() -> None:
    """End as if cancelled, though nobody cancelled the task."""
    raise asyncio.CancelledError


async def release_and_finish(permit: Permit) -> None:
    """Release a permit before the task ends."""
    permit.release()


class Released:
    """Counts the releases of a permit."""

    def __init__(self) -> None:
        """Take the permit."""
        self.count = 0
        self.permit = Permit(self._on_release)

    def _on_release(self) -> None:
        self.count += 1


async def end(task: asyncio.Task[None]) -> None:
    """Wait until a task and its callbacks are done."""
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0)


@pytest.mark.parametrize('body', [finish, fail, cancel_itself])
async def test_permit_ends_with_its_task(
    body: Callable[[], Awaitable[None]],
) -> None:
    """Guards against counts that outlive a task, whatever its outcome."""
    released = Released()
    task = asyncio.ensure_future(body())
    released.permit.assign(task)  # type: ignore[arg-type]
    await end(task)  # type: ignore[arg-type]
    assert released.count == 1
    assert not released.permit.held


@pytest.mark.parametrize('steps', [0, 1])
async def test_permit_ends_with_a_cancelled_task(steps: int) -> None:
    """Guards against counts kept by a task that never began to run."""
    released = Released()
    task = asyncio.get_running_loop().create_task(block())
    released.permit.assign(task)
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()
    await end(task)
    assert released.count == 1


async def test_permit_is_released_once() -> None:
    """Guards against a count that falls twice for one request."""
    released = Released()
    task = asyncio.get_running_loop().create_task(
        release_and_finish(released.permit)
    )
    released.permit.assign(task)
    await end(task)
    released.permit.release()
    assert released.count == 1


async def test_end_of_an_earlier_owner_releases_nothing() -> None:
    """Guards against a slot lost while its item moves to another task."""
    released = Released()
    first = asyncio.get_running_loop().create_task(finish())
    second = asyncio.get_running_loop().create_task(block())
    released.permit.assign(first)
    released.permit.assign(second)
    await end(first)
    assert released.permit.held
    second.cancel()
    await end(second)
    assert released.count == 1


async def test_task_that_has_ended_releases_at_once() -> None:
    """Guards against a count whose owner ended before it was assigned."""
    released = Released()
    task = asyncio.get_running_loop().create_task(finish())
    await end(task)
    released.permit.assign(task)
    await asyncio.sleep(0)
    assert released.count == 1
