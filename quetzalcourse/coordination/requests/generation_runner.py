"""Generation: one request for tokens from admission to the last token."""

from __future__ import annotations

from contextlib import aclosing
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.requests.chunk_assembler import (
    ChunkAssembler,
    ChunkError,
)
from quetzalcourse.coordination.requests.attempt import AttemptError
from quetzalcourse.coordination.requests.attempt_cleanup import AttemptCleanup
from quetzalcourse.coordination.requests.duration_estimator import (
    DurationEstimator,
)
from quetzalcourse.coordination.requests.interrupt_scope import (
    AttemptInterruptedError,
    InterruptScope,
    Interruption,
)
from quetzalcourse.coordination.requests.running_attempts import RunningAttempts
from quetzalcourse.coordination.requests.request_progress import RequestProgress
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import (
    NEVER_RAN,
    AttemptState,
)
from quetzalcourse.state.slots import Grant, SlotRequest
from quetzalcourse.state.usage import UsageFigures

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalcourse.coordination.slots.admission import Admission
    from quetzalcourse.coordination.routing.outlier_detection import (
        OutlierDetector,
    )
    from quetzalcourse.coordination.ports import Engines
    from quetzalcourse.coordination.requests.retries import RetryBudget
    from quetzalcourse.coordination.routing.routing import Router
    from quetzalcourse.coordination.usage.usage_counter import UsageCounter
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.generation import Chunk, GenerationRequest

MILLISECOND = timedelta(milliseconds=1)


class GenerationRunner:
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
        health: OutlierDetector,
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
        self._durations = DurationEstimator()
        self._closings = AttemptCleanup(admission, engines)
        self.running_attempts = RunningAttempts(clock)
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
        work = RequestProgress(request, ChunkAssembler(request, self._counters))
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

    async def stop(self) -> None:
        """Wait until the last cancellations have been sent."""
        await self._closings.stop()

    async def _acquire(self, work: RequestProgress) -> Grant:
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
                raise work.adjust_not_run(error) from error
            # The engine may have failed while this request waited for it.
            name = grant.upstream.name
            if self._health.admits(name) and self._router.is_available(name):
                self._check_time(grant, work)
                return grant
            self._admission.release(grant)

    def _check_time(self, grant: Grant, work: RequestProgress) -> None:
        # Under overload every request is granted its slot just before its
        # deadline. Sent nonetheless, all would be cut at the deadline, and
        # the engines would be busy without one whole answer.
        received = len(work.assembly.tokens)
        needed = self._durations.estimate(work.request, received)
        if work.request.deadline - self._clock.elapsed() < needed:
            self._admission.release(grant)
            self._counters.add('requests_too_late')
            raise work.refuse_too_late(needed)

    def _rank(self, work: RequestProgress) -> tuple[str, ...]:
        ranked = self._router.rank_engines(
            work.request, self._admission.running
        )
        if not ranked:
            raise work.refuse_route()
        admitted = [name for name in ranked if self._health.admits(name)]
        if not admitted:
            raise work.refuse_failed(self._health.find_retry_delay(ranked))
        fresh = [name for name in admitted if name not in work.failed]
        return tuple(fresh or admitted)

    async def _attempt(
        self,
        grant: Grant,
        work: RequestProgress,
    ) -> AsyncIterator[Chunk]:
        name = grant.upstream.name
        work.begin()
        self._health.on_start(name)
        self._router.on_sent(name, work.request)
        watch = self.running_attempts.on_begin(grant, work.request)
        state = AttemptState.maybe_sent
        began = self._clock.elapsed()
        stream = self._stream(grant, work, watch.guard)
        try:
            async with aclosing(stream):  # type: ignore[type-var]
                async for chunk in stream:
                    yield chunk
            state = AttemptState.complete
        except AttemptError as error:
            state = error.state
            raise
        finally:
            self.running_attempts.on_end(watch)
            self._on_end(grant, work, state, began)

    def _on_end(
        self,
        grant: Grant,
        work: RequestProgress,
        state: AttemptState,
        began: timedelta,
    ) -> None:
        self._health.on_end(grant.upstream.name)
        self._count(grant, work, state, began)
        self._closings.close(grant, work, state)

    async def _stream(
        self,
        grant: Grant,
        work: RequestProgress,
        guard: InterruptScope,
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
                yield _name_upstream(fresh, name)
        last = work.assembly.finish()
        if last is None:
            raise _break_attempt(name)
        self._health.on_success(name)
        if len(tokens) == len(work.request.received):
            took = self._clock.elapsed() - began
            self._durations.learn(work.request, work.count_fresh(), took)
        work.prompt_tokens = last.prompt_tokens
        yield _name_upstream(last, name)

    def _count(
        self,
        grant: Grant,
        work: RequestProgress,
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

    def _on_failed(self, work: RequestProgress, error: AttemptError) -> None:
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
                self._health.find_retry_delay((error.peer,))
            ) from error
        self._counters.add('retries')

    def _on_interrupted(
        self,
        work: RequestProgress,
        interruption: AttemptInterruptedError,
    ) -> None:
        kind = interruption.kind
        self._counters.add('attempts_interrupted', reason=kind.value)
        work.on_interrupted()
        if kind is Interruption.late:
            raise work.build_deadline_refusal()


def _break_attempt(peer: str) -> AttemptError:
    return AttemptError(AttemptState.broken, 'generate', peer)


def _name_upstream(chunk: Chunk, name: str) -> Chunk:
    if chunk.upstream == name:
        return chunk
    return replace(chunk, upstream=name)
