"""Cleanup of ended attempts: the engine stops before its slot is released."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import NEVER_RAN, AttemptState

if TYPE_CHECKING:
    from quetzalcourse.coordination.slots.admission import Admission
    from quetzalcourse.coordination.ports import Engines
    from quetzalcourse.coordination.requests.request_progress import (
        RequestProgress,
    )
    from quetzalcourse.state.slots import Grant


class AttemptCleanup:
    """Releases slots once nothing runs on them any more.

    :param admission: takes the slots back.
    :param engines: connections to the engines.
    """

    def __init__(self, admission: Admission, engines: Engines) -> None:
        """Create without pending cancellations."""
        self._admission = admission
        self._engines = engines
        self._tasks: set[asyncio.Task[None]] = set()

    def close(
        self, grant: Grant, progress: RequestProgress, state: AttemptState
    ) -> None:
        """Clean up an attempt without waiting for the engine.

        :param state: known state of the attempt.
        """
        generated = progress.count_new_tokens()
        if state in NEVER_RAN or state is AttemptState.complete:
            self._admission.release(grant, generated)
            return
        cancellation = self._cancel(grant, progress.attempt_id, generated)
        task = asyncio.get_running_loop().create_task(cancellation)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Wait until all pending cancellations have been sent."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _cancel(
        self,
        grant: Grant,
        attempt_id: str,
        generated: int,
    ) -> None:
        # The engine runs the request until it is told to stop. If the slot were
        # released earlier, the next request would queue inside the engine.
        try:
            await self._engines.cancel(grant.upstream, attempt_id)
        finally:
            self._admission.release(grant, generated)
