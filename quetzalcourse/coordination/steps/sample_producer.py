"""Sample producer: resumes, moves, copies and restarts token streams."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.steps.sample_stream import (
    SampleSpec,
    SampleStream,
    UndeliverableError,
    build_sample,
)
from quetzalcourse.coordination.steps.staleness import (
    find_oldest_allowed_version,
    find_oldest_version,
    is_deliverable,
)
from quetzalcourse.coordination.steps.stragglers import (
    MitigationKind,
    RunningSample,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import (
    Chunk,
    GenerationRequest,
    TrafficClass,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from quetzalcourse.coordination.ports import GenerationService
    from quetzalcourse.coordination.steps.staleness import NewestVersions
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.steps import Sample

INITIAL_BACKOFF = timedelta(milliseconds=250)
MAX_BACKOFF = timedelta(seconds=10)
MIN_REQUEST_TIMEOUT = timedelta(seconds=120)
VERSIONS_NOT_NAMED = 'versions_not_named'
TOO_OLD = 'too_old'
ENDED_EARLY = 'ended_early'


@dataclass(frozen=True, slots=True)
class ProducerParts:
    """Dependencies of a sample producer.

    :param on_first_token: called when the first token of a sample arrives.
    """

    generation: GenerationService
    clock: Clock
    counters: Counters
    newest: NewestVersions
    on_first_token: Callable[[], None]


@dataclass(slots=True)
class SampleProducer:
    """Generates one sample until it is complete, labelled and recent enough.

    :param held_up: reason why no stream runs at the moment, if any.
    """

    sample_spec: SampleSpec
    parts: ProducerParts
    held_up: str = ''
    streams: list[SampleStream] = field(default_factory=list)
    _ended_streams: asyncio.Queue[SampleStream] = field(
        default_factory=asyncio.Queue
    )
    _stream_count: int = 0
    _has_tokens: bool = False
    _closed: bool = False
    _backoff: timedelta = INITIAL_BACKOFF

    @property
    def waiting(self) -> bool:
        """Whether the sample waits for an engine to send the first token."""
        return not self._has_tokens and not self.held_up

    async def produce(self) -> Sample:
        """Generate the sample, restarting it as often as necessary.

        :raises Exception: an unexpected error of a stream.
        """
        self._start(SampleStream([], (), frozenset()))
        try:
            while True:
                stream = await self._ended_streams.get()
                sample = await self._on_ended(stream)
                if sample is not None:
                    return sample
        finally:
            self._closed = True
            await self._stop(tuple(self.streams))

    def snapshot(self) -> RunningSample | None:
        """Describe the sample if it has exactly one stream, with tokens."""
        if len(self.streams) != 1:
            return None
        stream = self.streams[0]
        if stream.first_token_at is None or stream.last_token_at is None:
            return None
        return RunningSample(
            self.sample_spec.key,
            stream.upstream,
            len(stream.tokens) - stream.inherited_tokens,
            stream.last_token_at - stream.first_token_at,
            self.parts.clock.elapsed() - stream.last_token_at,
        )

    async def mitigate(self, kind: MitigationKind) -> None:
        """Continue on another engine after the last token.

        :param kind: whether the lagging stream is stopped or kept running.
        """
        if len(self.streams) != 1:
            return
        stream = self.streams[0]
        if stream.problem or stream.finish_reason:
            return
        if kind is MitigationKind.move:
            await self._stop((stream,))
        self._start(stream.fork())
        self.parts.counters.add('samples_rescued', kind=kind.value)

    def _start(self, stream: SampleStream) -> None:
        if self._closed:
            return
        self._stream_count += 1
        self.streams.append(stream)
        loop = asyncio.get_running_loop()
        stream.task = loop.create_task(
            self._run_stream(stream, self._stream_count)
        )

    async def _stop(self, streams: Sequence[SampleStream]) -> None:
        for stream in streams:
            self.streams.remove(stream)
        tasks = [stream.task for stream in streams if stream.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _on_ended(self, stream: SampleStream) -> Sample | None:
        if stream.failure is not None:
            raise stream.failure
        if stream not in self.streams:
            return None
        self.streams.remove(stream)
        if stream.finish_reason and not stream.problem:
            await self.parts.newest.fetch(self.sample_spec.step_spec.model)
            sample = build_sample(self.sample_spec.key, stream)
            if is_deliverable(sample, self._find_oldest_allowed_version()):
                self._count_wasted_copies(stream)
                return sample
            stream.problem = self._find_problem(stream) or VERSIONS_NOT_NAMED
        self.parts.counters.add('streams_ended', reason=stream.problem)
        if self.streams:
            self._count_wasted(stream, self.streams[0])
        else:
            await self._restart(stream)
        return None

    async def _restart(self, stream: SampleStream) -> None:
        unusable = bool(self._find_problem(stream) or stream.finish_reason)
        successor = stream.fork()
        if unusable:
            self._count_wasted(stream)
            successor = SampleStream([], (), successor.avoid)
        if stream.problem != TOO_OLD:
            # Without a delay, an engine that answers but names no version
            # would be asked again endlessly at full speed.
            self.held_up = stream.problem
            await self.parts.clock.sleep(stream.retry_after or self._backoff)
            self._backoff = min(self._backoff * 2, MAX_BACKOFF)
            self.held_up = ''
        self._start(successor)

    async def _run_stream(self, stream: SampleStream, number: int) -> None:
        try:
            await self._receive(stream, number)
        except RefusedError as error:
            stream.problem = error.refusal.code.value
            stream.retry_after = error.refusal.retry_after
        except UndeliverableError as error:
            stream.problem = error.reason
        except Exception as error:
            stream.failure = error
        if not stream.finish_reason and not stream.problem:
            stream.problem = ENDED_EARLY
        self._ended_streams.put_nowait(stream)

    async def _receive(self, stream: SampleStream, number: int) -> None:
        request = self._build_request(stream, number)
        generation = self.parts.generation.run(request)
        async with aclosing(generation) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                self._on_chunk(stream, chunk)

    def _on_chunk(self, stream: SampleStream, chunk: Chunk) -> None:
        stream.extend(chunk, self.parts.clock.elapsed())
        model = self.sample_spec.step_spec.model
        self.parts.newest.observe(model, chunk.weight_version)
        self._backoff = INITIAL_BACKOFF
        if not self._has_tokens:
            self._has_tokens = True
            self.parts.on_first_token()
        # Tokens after one whose version is missing or too old can't be
        # delivered either; continuing would occupy a slot in vain.
        problem = self._find_problem(stream)
        if problem:
            raise UndeliverableError(problem)

    def _find_problem(self, stream: SampleStream) -> str:
        if not stream.versions:
            return ''
        oldest = find_oldest_version(stream.versions)
        if oldest < 1:
            return VERSIONS_NOT_NAMED
        return TOO_OLD if oldest < self._find_oldest_allowed_version() else ''

    def _find_oldest_allowed_version(self) -> int:
        spec = self.sample_spec.step_spec
        return find_oldest_allowed_version(
            spec, self.parts.newest.get_cached(spec.model)
        )

    def _build_request(
        self,
        stream: SampleStream,
        number: int,
    ) -> GenerationRequest:
        sample_spec = self.sample_spec
        spec = sample_spec.step_spec
        min_deadline = self.parts.clock.elapsed() + MIN_REQUEST_TIMEOUT
        return GenerationRequest(
            request_id=f'{sample_spec.name}-{sample_spec.run}-{number}',
            client_account=spec.client_account,
            traffic_class=TrafficClass.training,
            model=spec.model,
            prompt=sample_spec.prompt,
            max_tokens=spec.max_tokens,
            deadline=max(sample_spec.deadline, min_deadline),
            seed=sample_spec.key.index
            + sample_spec.attempt * spec.samples_per_group,
            oldest_version=self._find_oldest_allowed_version(),
            received=tuple(stream.tokens),
            avoid=stream.avoid,
        )

    def _count_wasted_copies(self, winner: SampleStream) -> None:
        for stream in self.streams:
            self._count_wasted(stream, winner)

    def _count_wasted(
        self,
        stream: SampleStream,
        survivor: SampleStream | None = None,
    ) -> None:
        shared_tokens = (
            max(stream.inherited_tokens, survivor.inherited_tokens)
            if survivor
            else 0
        )
        wasted_tokens = len(stream.tokens) - shared_tokens
        self.parts.counters.add('tokens_wasted', wasted_tokens)
