"""Interruption of a wait without cancelling the waiting task."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, TypeVar

from quetzalcourse.exceptions import QuetzalcourseError

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from quetzalcourse.state.generation import TrafficClass

Outcome = TypeVar('Outcome')


class Interruption(enum.StrEnum):
    """Reason why this daemon stopped an attempt."""

    revoked = 'revoked'
    leaving = 'leaving'
    late = 'late'
    withdrawn = 'withdrawn'


class AttemptInterruptedError(QuetzalcourseError):
    """Wait that this daemon interrupted.

    :param kind: why it was interrupted.
    """

    def __init__(self, kind: Interruption) -> None:
        """Keep the reason."""
        super().__init__(kind.value)
        self.kind = kind


class InterruptScope:
    """Lets other tasks interrupt the waits of one attempt.

    Between two waits the attempt's task runs its caller's code, such as a write
    to the caller's connection. An interruption at that point would break the
    write, so it takes effect at the next wait.

    :param traffic_class: class of the waiting request.
    """

    def __init__(self, traffic_class: TrafficClass) -> None:
        """Create without an interruption."""
        self.traffic_class = traffic_class
        self.kind: Interruption | None = None
        self._waiting_task: asyncio.Task[object] | None = None
        self._cancelled = False

    def interrupt(self, kind: Interruption) -> None:
        """Interrupt the current or the next wait.

        :param kind: the reason; only the first one counts.
        """
        if self.kind is not None:
            return
        self.kind = kind
        if self._waiting_task is not None:
            self._cancelled = True
            self._waiting_task.cancel()

    async def wait(self, awaitable: Awaitable[Outcome]) -> Outcome:
        """Wait for an awaitable unless interrupted.

        :raises AttemptInterruptedError: when :meth:`interrupt` was called.
        """
        task = asyncio.current_task()
        assert task is not None  # noqa: S101
        requests_before = task.cancelling()
        self._waiting_task = task
        try:
            return await awaitable
        except BaseException as error:
            self._waiting_task = None
            self._translate_cancellation(task, requests_before, error)
            raise
        finally:
            self._waiting_task = None

    def check(self) -> None:
        """Raise if an interruption arrived between two waits.

        :raises AttemptInterruptedError: when :meth:`interrupt` was called.
        """
        if self.kind is not None:
            raise AttemptInterruptedError(self.kind)

    def _translate_cancellation(
        self,
        task: asyncio.Task[object],
        requests_before: int,
        error: BaseException,
    ) -> None:
        # A cancellation by another task at the same time must propagate, or the
        # request of a caller that disconnected would keep running.
        if not self._cancelled:
            return
        self._cancelled = False
        cancelled_by_others = task.uncancel() > requests_before
        if (
            isinstance(error, asyncio.CancelledError)
            and not cancelled_by_others
        ):
            assert self.kind is not None  # noqa: S101
            raise AttemptInterruptedError(self.kind) from None
