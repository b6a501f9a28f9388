"""Interruptions of running attempts: deadlines, revoked slots, departures."""

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

    :param guard: what the attempt waits with.
    :param tasks: wait for the events that interrupt it.
    """

    grant: Grant
    guard: InterruptScope
    tasks: list[asyncio.Task[None]] = field(default_factory=list)


class RunningAttempts:
    """Knows the running attempts and interrupts them.

    :param clock: tells when a deadline has passed.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without attempts."""
        self._clock = clock
        self._watches: dict[str, set[RunningAttempt]] = {}

    def on_begin(
        self, grant: Grant, request: GenerationRequest
    ) -> RunningAttempt:
        """Watch over an attempt that begins."""
        guard = InterruptScope(grant.traffic_class)
        watch = RunningAttempt(grant, guard)
        self._watches.setdefault(grant.upstream.name, set()).add(watch)
        loop = asyncio.get_running_loop()
        watch.tasks.append(loop.create_task(self._expire(request, guard)))
        if grant.traffic_class is TrafficClass.training:
            watch.tasks.append(loop.create_task(_revoke(grant, guard)))
        return watch

    def on_end(self, watch: RunningAttempt) -> None:
        """Forget an attempt that ended."""
        for task in watch.tasks:
            task.cancel()
        self._watches[watch.grant.upstream.name].discard(watch)

    def on_departure(self, departure: DrainNotice) -> None:
        """Move the streams of a leaving upstream elsewhere.

        Human callers' streams are short and finish in place while there is
        time; training streams may outlast any notice.
        """
        for watch in tuple(self._watches.get(departure.upstream, ())):
            guard = watch.guard
            training = guard.traffic_class is TrafficClass.training
            if training or departure.humans:
                guard.interrupt(Interruption.leaving)

    async def _expire(
        self, request: GenerationRequest, guard: InterruptScope
    ) -> None:
        await self._clock.sleep(request.deadline - self._clock.elapsed())
        guard.interrupt(Interruption.late)


async def _revoke(grant: Grant, guard: InterruptScope) -> None:
    await grant.revoked.wait()
    guard.interrupt(Interruption.revoked)
