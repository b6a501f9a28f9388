"""Running attempts and their interruption at deadlines and revocations."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quetzalcourse.coordination.requests.interrupt_scope import (
    InterruptScope,
    Interruption,
)
from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from quetzalcourse.coordination.routing.drain_tracker import DrainNotice
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.generation import GenerationRequest
    from quetzalcourse.state.slots import Grant


@dataclass(eq=False, slots=True)
class RunningAttempt:
    """An attempt that can be interrupted.

    :param scope: interrupts the waits of the attempt.
    :param tasks: wait for the events that interrupt it.
    """

    grant: Grant
    scope: InterruptScope
    tasks: list[asyncio.Task[None]] = field(default_factory=list)


class RunningAttempts:
    """Tracks the running attempts and interrupts them.

    Attempts end at their deadline, when their slot is revoked, or when their
    upstream leaves.

    :param clock: used to wait for deadlines.
    """

    def __init__(self, clock: Clock) -> None:
        """Create without attempts."""
        self._clock = clock
        self._attempts: dict[str, set[RunningAttempt]] = {}

    def on_begin(
        self, grant: Grant, request: GenerationRequest
    ) -> RunningAttempt:
        """Register an attempt that starts."""
        scope = InterruptScope(grant.traffic_class)
        attempt = RunningAttempt(grant, scope)
        self._attempts.setdefault(grant.upstream.name, set()).add(attempt)
        loop = asyncio.get_running_loop()
        attempt.tasks.append(loop.create_task(self._expire(request, scope)))
        if grant.traffic_class is TrafficClass.training:
            attempt.tasks.append(loop.create_task(_revoke(grant, scope)))
        return attempt

    def on_end(self, attempt: RunningAttempt) -> None:
        """Unregister an attempt that ended."""
        for task in attempt.tasks:
            task.cancel()
        self._attempts[attempt.grant.upstream.name].discard(attempt)

    def on_departure(self, departure: DrainNotice) -> None:
        """Move the streams of a leaving upstream to other upstreams.

        Streams of human callers are short and finish in place while there is
        time; training streams may outlast any notice.
        """
        for attempt in tuple(self._attempts.get(departure.upstream, ())):
            scope = attempt.scope
            training = scope.traffic_class is TrafficClass.training
            if training or departure.humans:
                scope.interrupt(Interruption.leaving)

    async def _expire(
        self, request: GenerationRequest, scope: InterruptScope
    ) -> None:
        await self._clock.sleep(request.deadline - self._clock.elapsed())
        scope.interrupt(Interruption.late)


async def _revoke(grant: Grant, scope: InterruptScope) -> None:
    await grant.revoked.wait()
    scope.interrupt(Interruption.revoked)
