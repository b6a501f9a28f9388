"""Generation: one request for tokens from admission to the last token."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.assembly import Assembly, ChunkError
from quetzalcourse.coordination.attempt import AttemptError
from quetzalcourse.coordination.durations import Durations
from quetzalcourse.coordination.guard import (
    AttemptInterruptedError,
    Guard,
    Interruption,
)
from quetzalcourse.coordination.work import Work
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import (
    NEVER_RAN,
    AttemptState,
    TrafficClass,
)
from quetzalcourse.state.slots import Grant, SlotRequest
from quetzalcourse.state.usage import UsageFigures

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalcourse.coordination.admission import Admission
    from quetzalcourse.coordination.health import Health
    from quetzalcourse.coordination.leaving import Departure
    from quetzalcourse.coordination.ports import Engines
    from quetzalcourse.coordination.retries import RetryBudget
    from quetzalcourse.coordination.routing import Router
    from quetzalcourse.coordination.usage import UsageCounter
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.generation import Chunk, GenerationRequest

MILLISECOND = timedelta(milliseconds=1)


class Generation:
    """Runs requests for tokens on engines.

    :param admission: hands out slots.
    :param router: ranks the engines.
    :param health: knows which engines fail.
    :param budget: bounds the retries of each account.
    :param engines: connections to the engines.
    """

    def __init__(
        self,
        admission: Admission,
        router: Router,
        health: Health,
        budget: RetryBudget,
        engines: Engines,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Keep the parts that a request passes through."""
        self._admission = admission
        self._router = router
        self._health = health
        self._budget = budget
        self._engines = engines
        self._clock = clock
        self._counters = counters
        self._durations = Durations()
        self._closings: set[asyncio.Task[None]] = set()
        self._guards: dict[str, set[Guard]] = {}
        self.usage: UsageCounter | None = None

    async def run(self, request: GenerationRequest) -> AsyncIterator[Chunk]:
        """Yield the tokens of a request, each offset once and in order.

        A stream that breaks goes on behind its last token on the same or
        another engine, since tokens depend on request and offset only.
        The iterator is to be closed, so that an engine stops when the
        caller has gone.

        :param request: what to run.
        :raises RefusedError: when no engine finishes the request.
        """
        work = Work(request, Assembly(request, self._counters))
        self._budget.earn(request.client_account)
        while True:
            grant = await self._acquire(work)
            attempt = self._attempt(grant, work)
            try:
                async with aclosing(attempt):  # type: ignore[type-var]
                    async for chunk in attempt:
                        yield chunk
            except AttemptError as error:
                self._on_failed(work, error)
            except AttemptInterruptedError as interruption:
                self._on_interrupted(work, interruption)
            else:
                return

    def on_departure(self, departure: Departure) -> None:
        """Move the streams of a leaving upstream elsewhere.

        Human callers' streams are short and finish in place while there is
        time; training streams may outlast any notice.
        """
        for guard in tuple(self._guards.get(departure.upstream, ())):
            training = guard.traffic_class is TrafficClass.training
            if training or departure.humans:
                guard.interrupt(Interruption.leaving)

    async def stop(self) -> None:
        """Wait until the last cancellations have been sent."""
        await asyncio.gather(*self._closings, return_exceptions=True)

    async def _acquire(self, work: Work) -> Grant:
        request = work.request
        while True:
            candidates = self._rank(work)
            slot = SlotRequest(
                request.client_account,
                request.traffic_class,
                candidates,
                request.deadline,
                resumed=work.attempts > 0,
            )
            try:
                grant = await self._admission.acquire(slot)
            except RefusedError as error:
                raise work.correct(error) from error
            # The engine may have failed while this request waited for it.
            name = grant.upstream.name
            if self._health.admits(name) and self._router.is_open(name):
                self._check_time(grant, work)
                return grant
            self._admission.release(grant)

    def _check_time(self, grant: Grant, work: Work) -> None:
        # Under overload every request is granted its slot just before its
        # deadline. Sent nonetheless, all would be cut at the deadline, and
        # the engines would be busy without one whole answer.
        received = len(work.assembly.tokens)
        needed = self._durations.estimate(work.request, received)
        if work.request.deadline - self._clock.elapsed() < needed:
            self._admission.release(grant)
            self._counters.add('requests_too_late')
            raise work.refuse_too_late(needed)

    def _rank(self, work: Work) -> tuple[str, ...]:
        ranked = self._router.rank_engines(
            work.request, self._admission.running
        )
        if not ranked:
            raise work.refuse_route()
        admitted = [name for name in ranked if self._health.admits(name)]
        if not admitted:
            raise work.refuse_failed(self._health.measure_wait(ranked))
        fresh = [name for name in admitted if name not in work.failed]
        return tuple(fresh or admitted)

    async def _attempt(
        self,
        grant: Grant,
        work: Work,
    ) -> AsyncIterator[Chunk]:
        guard = Guard(grant.traffic_class)
        work.begin()
        watchers = self._open(grant, work.request, guard)
        state = AttemptState.maybe_sent
        began = self._clock.elapsed()
        stream = self._stream(grant, work, guard)
        try:
            async with aclosing(stream):  # type: ignore[type-var]
                async for chunk in stream:
                    yield chunk
            state = AttemptState.complete
        except AttemptError as error:
            state = error.state
            raise
        finally:
            self._forget(grant, guard, watchers)
            self._close(grant, work, state, began)

    def _open(
        self,
        grant: Grant,
        request: GenerationRequest,
        guard: Guard,
    ) -> list[asyncio.Task[None]]:
        name = grant.upstream.name
        self._health.on_start(name)
        self._router.on_sent(name, request)
        self._guards.setdefault(name, set()).add(guard)
        return self._watch(grant, request, guard)

    def _forget(
        self,
        grant: Grant,
        guard: Guard,
        watchers: list[asyncio.Task[None]],
    ) -> None:
        for watcher in watchers:
            watcher.cancel()
        self._guards[grant.upstream.name].discard(guard)
        self._health.on_end(grant.upstream.name)

    def _watch(
        self,
        grant: Grant,
        request: GenerationRequest,
        guard: Guard,
    ) -> list[asyncio.Task[None]]:
        loop = asyncio.get_running_loop()
        watchers = [loop.create_task(self._watch_deadline(request, guard))]
        if grant.traffic_class is TrafficClass.training:
            watchers.append(loop.create_task(_watch_revoked(grant, guard)))
        return watchers

    async def _watch_deadline(
        self,
        request: GenerationRequest,
        guard: Guard,
    ) -> None:
        await self._clock.sleep(request.deadline - self._clock.elapsed())
        guard.interrupt(Interruption.late)

    async def _stream(
        self,
        grant: Grant,
        work: Work,
        guard: Guard,
    ) -> AsyncIterator[Chunk]:
        sent = replace(work.request, request_id=work.attempt_id)
        tokens = tuple(work.assembly.tokens)
        chunks = self._engines.generate(grant.upstream, sent, tokens)
        began = self._clock.elapsed()
        name = grant.upstream.name
        answered = False
        async with aclosing(chunks) as stream:  # type: ignore[type-var]
            while True:
                guard.check()
                try:
                    chunk = await guard.wait(anext(stream))
                    fresh = work.assembly.accept(chunk)
                except StopAsyncIteration:
                    break
                except ChunkError as error:
                    raise _break_attempt(name) from error
                if fresh is None:
                    continue
                if not answered:
                    answered = True
                    waited = self._clock.elapsed() - began
                    self._health.on_first_token(name, waited)
                yield replace(fresh, upstream=name)
        last = work.assembly.finish()
        if last is None:
            raise _break_attempt(name)
        self._health.on_success(name)
        if len(tokens) == len(work.request.received):
            took = self._clock.elapsed() - began
            self._durations.learn(work.request, work.count_fresh(), took)
        work.prompt_tokens = last.prompt_tokens
        yield replace(last, upstream=name)

    def _close(
        self,
        grant: Grant,
        work: Work,
        state: AttemptState,
        began: timedelta,
    ) -> None:
        self._count(grant, work, state, began)
        if state in NEVER_RAN or state is AttemptState.complete:
            self._admission.release(grant, work.count_fresh())
        else:
            closing = self._cancel(grant, work.attempt_id, work.count_fresh())
            task = asyncio.get_running_loop().create_task(closing)
            self._closings.add(task)
            task.add_done_callback(self._closings.discard)

    def _count(
        self,
        grant: Grant,
        work: Work,
        state: AttemptState,
        began: timedelta,
    ) -> None:
        if self.usage is None or state in NEVER_RAN:
            return
        complete = state is AttemptState.complete
        figures = UsageFigures(
            prompt_tokens=work.prompt_tokens,
            generated_tokens=work.count_fresh(),
            requests=int(complete),
            milliseconds=(self._clock.elapsed() - began) // MILLISECOND,
        )
        request = work.request
        self.usage.record(
            grant.upstream,
            request.client_account,
            request.traffic_class,
            figures,
        )

    async def _cancel(
        self,
        grant: Grant,
        attempt_id: str,
        generated: int,
    ) -> None:
        # The engine runs the request until it is told to stop. Were the
        # slot released before, the next request would queue inside it.
        try:
            await self._engines.cancel(grant.upstream, attempt_id)
        finally:
            self._admission.release(grant, generated)

    def _on_failed(self, work: Work, error: AttemptError) -> None:
        self._counters.add('attempts_failed', state=error.state.value)
        progressed = work.on_failed(error)
        if error.state is not AttemptState.refused:
            connected = error.state is not AttemptState.not_sent
            self._health.on_failure(error.peer, connected=connected)
        if progressed:
            return
        account = work.request.client_account
        if work.is_hopeless or not self._budget.spend(account):
            raise work.refuse_failed(
                self._health.measure_wait((error.peer,))
            ) from error
        self._counters.add('retries')

    def _on_interrupted(
        self,
        work: Work,
        interruption: AttemptInterruptedError,
    ) -> None:
        kind = interruption.kind
        self._counters.add('attempts_interrupted', reason=kind.value)
        work.on_interrupted()
        if kind is Interruption.late:
            raise work.refuse_late()


async def _watch_revoked(grant: Grant, guard: Guard) -> None:
    await grant.revoked.wait()
    guard.interrupt(Interruption.revoked)


def _break_attempt(peer: str) -> AttemptError:
    return AttemptError(AttemptState.broken, 'generate', peer)
