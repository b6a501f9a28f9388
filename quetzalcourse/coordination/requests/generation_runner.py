"""Execution of generation requests from admission to the last token."""

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
    """Runs generation requests on engines.

    :param admission: assigns slots.
    :param router: ranks the engines.
    :param health: tracks which engines fail.
    :param budget: limits the retries of each account.
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
        """Keep the components that a request passes through."""
        self._admission = admission
        self._router = router
        self._health = health
        self._budget = budget
        self._engines = engines
        self._clock = clock
        self._counters = counters
        self._duration_estimator = DurationEstimator()
        self._attempt_cleanup = AttemptCleanup(admission, engines)
        self.running_attempts = RunningAttempts(clock)
        self.usage: UsageCounter | None = None

    async def run(self, request: GenerationRequest) -> AsyncIterator[Chunk]:
        """Yield the tokens of a request, each offset once and in order.

        A broken stream resumes after its last token on the same or another
        engine, since tokens depend only on request and offset. The caller must
        close the iterator, so that the engine stops when the caller has
        disconnected.

        :param request: the request to run.
        :raises RefusedError: when no engine completes the request.
        """
        progress = RequestProgress(
            request, ChunkAssembler(request, self._counters)
        )
        self._budget.earn(request.client_account)
        while True:
            grant = await self._acquire(progress)
            attempt = self._attempt(grant, progress)
            try:
                async with aclosing(attempt):  # type: ignore[type-var]
                    async for chunk in attempt:
                        yield chunk
            except AttemptError as error:
                self._on_failed(progress, error)
            except AttemptInterruptedError as interruption:
                self._on_interrupted(progress, interruption)
            else:
                return

    async def stop(self) -> None:
        """Wait until all pending cancellations have been sent."""
        await self._attempt_cleanup.stop()

    async def _acquire(self, progress: RequestProgress) -> Grant:
        request = progress.request
        while True:
            candidates = self._rank(progress)
            slot_request = SlotRequest(
                request.client_account,
                request.traffic_class,
                candidates,
                request.deadline,
                resumed=progress.attempts > 0,
            )
            try:
                grant = await self._admission.acquire(slot_request)
            except RefusedError as error:
                raise progress.adjust_not_run(error) from error
            # The engine may have failed while this request waited for its slot.
            name = grant.upstream.name
            if self._health.admits(name) and self._router.is_available(name):
                self._check_remaining_time(grant, progress)
                return grant
            self._admission.release(grant)

    def _check_remaining_time(
        self, grant: Grant, progress: RequestProgress
    ) -> None:
        # Under overload every request is granted its slot just before its
        # deadline. If sent anyway, all would be cut off at the deadline, and
        # the engines would be busy without completing a single answer.
        received = len(progress.assembler.tokens)
        needed = self._duration_estimator.estimate(progress.request, received)
        if progress.request.deadline - self._clock.elapsed() < needed:
            self._admission.release(grant)
            self._counters.add('requests_too_late')
            raise progress.refuse_deadline_too_near(needed)

    def _rank(self, progress: RequestProgress) -> tuple[str, ...]:
        ranked = self._router.rank_engines(
            progress.request, self._admission.running
        )
        if not ranked:
            raise progress.refuse_unknown_model()
        admitted = [name for name in ranked if self._health.admits(name)]
        if not admitted:
            raise progress.refuse_upstreams_failed(
                self._health.find_retry_delay(ranked)
            )
        untried = [name for name in admitted if name not in progress.failed]
        return tuple(untried or admitted)

    async def _attempt(
        self,
        grant: Grant,
        progress: RequestProgress,
    ) -> AsyncIterator[Chunk]:
        name = grant.upstream.name
        progress.begin()
        self._health.on_start(name)
        self._router.on_sent(name, progress.request)
        running = self.running_attempts.on_begin(grant, progress.request)
        state = AttemptState.maybe_sent
        started_at = self._clock.elapsed()
        stream = self._stream(grant, progress, running.scope)
        try:
            async with aclosing(stream):  # type: ignore[type-var]
                async for chunk in stream:
                    yield chunk
            state = AttemptState.complete
        except AttemptError as error:
            state = error.state
            raise
        finally:
            self.running_attempts.on_end(running)
            self._on_end(grant, progress, state, started_at)

    def _on_end(
        self,
        grant: Grant,
        progress: RequestProgress,
        state: AttemptState,
        started_at: timedelta,
    ) -> None:
        self._health.on_end(grant.upstream.name)
        self._record_usage(grant, progress, state, started_at)
        self._attempt_cleanup.close(grant, progress, state)

    async def _stream(
        self,
        grant: Grant,
        progress: RequestProgress,
        scope: InterruptScope,
    ) -> AsyncIterator[Chunk]:
        sent = replace(progress.request, request_id=progress.attempt_id)
        tokens = tuple(progress.assembler.tokens)
        chunks = self._engines.generate(grant.upstream, sent, tokens)
        started_at = self._clock.elapsed()
        name = grant.upstream.name
        first_token_seen = False
        async with aclosing(chunks) as stream:  # type: ignore[type-var]
            while True:
                scope.check()
                try:
                    chunk = await scope.wait(anext(stream))
                    new_chunk = progress.assembler.accept(chunk)
                except StopAsyncIteration:
                    break
                except ChunkError as error:
                    raise _build_broken_error(name) from error
                if new_chunk is None:
                    continue
                if not first_token_seen:
                    first_token_seen = True
                    waited = self._clock.elapsed() - started_at
                    self._health.on_first_token(name, waited)
                yield _set_upstream(new_chunk, name)
        last = progress.assembler.finish()
        if last is None:
            raise _build_broken_error(name)
        self._health.on_success(name)
        if len(tokens) == len(progress.request.received):
            duration = self._clock.elapsed() - started_at
            self._duration_estimator.record(
                progress.request, progress.count_new_tokens(), duration
            )
        progress.prompt_tokens = last.prompt_tokens
        yield _set_upstream(last, name)

    def _record_usage(
        self,
        grant: Grant,
        progress: RequestProgress,
        state: AttemptState,
        started_at: timedelta,
    ) -> None:
        if self.usage is None or state in NEVER_RAN:
            return
        complete = state is AttemptState.complete
        figures = UsageFigures(
            prompt_tokens=progress.prompt_tokens,
            generated_tokens=progress.count_new_tokens(),
            requests=int(complete),
            milliseconds=(self._clock.elapsed() - started_at) // MILLISECOND,
        )
        request = progress.request
        self.usage.record(
            grant.upstream,
            request.client_account,
            request.traffic_class,
            figures,
        )

    def _on_failed(
        self, progress: RequestProgress, error: AttemptError
    ) -> None:
        self._counters.add('attempts_failed', state=error.state.value)
        progressed = progress.on_failed(error)
        if error.state is not AttemptState.refused:
            connected = error.state is not AttemptState.not_sent
            self._health.on_failure(error.peer, connected=connected)
        if progressed:
            return
        account = progress.request.client_account
        if progress.is_exhausted or not self._budget.spend(account):
            raise progress.refuse_upstreams_failed(
                self._health.find_retry_delay((error.peer,))
            ) from error
        self._counters.add('retries')

    def _on_interrupted(
        self,
        progress: RequestProgress,
        interruption: AttemptInterruptedError,
    ) -> None:
        kind = interruption.kind
        self._counters.add('attempts_interrupted', reason=kind.value)
        progress.on_interrupted()
        if kind is Interruption.late:
            raise progress.refuse_deadline_passed()


def _build_broken_error(peer: str) -> AttemptError:
    return AttemptError(AttemptState.broken, 'generate', peer)


def _set_upstream(chunk: Chunk, name: str) -> Chunk:
    if chunk.upstream == name:
        return chunk
    return replace(chunk, upstream=name)
