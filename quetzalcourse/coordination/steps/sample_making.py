"""Making one sample: streams are resumed, moved, copied and begun again."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.steps.sample_stream import (
    SampleOrder,
    Stream,
    UnusableError,
    assemble_sample,
)
from quetzalcourse.coordination.steps.staleness import (
    find_oldest,
    find_oldest_allowed,
    is_deliverable,
)
from quetzalcourse.coordination.steps.stragglers import (
    RescueKind,
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

FIRST_WAIT = timedelta(milliseconds=250)
MAX_WAIT = timedelta(seconds=10)
LATE_ALLOWANCE = timedelta(seconds=120)
UNNAMED = 'versions_not_named'
TOO_OLD = 'too_old'
ENDED_EARLY = 'ended_early'


@dataclass(frozen=True, slots=True)
class MakingParts:
    """What making a sample needs.

    :param on_tokens: called when a sample's first token comes.
    """

    generation: GenerationService
    clock: Clock
    counters: Counters
    newest: NewestVersions
    on_tokens: Callable[[], None]


@dataclass(slots=True)
class SampleMaking:
    """One sample until it is whole, labelled and new enough.

    :param held_up: reason why nothing runs for it at this moment.
    """

    order: SampleOrder
    parts: MakingParts
    held_up: str = ''
    streams: list[Stream] = field(default_factory=list)
    _ended: asyncio.Queue[Stream] = field(default_factory=asyncio.Queue)
    _number: int = 0
    _began: bool = False
    _closed: bool = False
    _wait: timedelta = FIRST_WAIT

    @property
    def waiting(self) -> bool:
        """Whether no token came yet and nothing holds the sample up."""
        return not self._began and not self.held_up

    async def make(self) -> Sample:
        """Make the sample, however often it has to be begun again.

        :raises Exception: what a stream met that nobody expected.
        """
        self._start(Stream([], (), frozenset()))
        try:
            while True:
                stream = await self._ended.get()
                sample = await self._on_ended(stream)
                if sample is not None:
                    return sample
        finally:
            self._closed = True
            await self._stop(tuple(self.streams))

    def observe(self) -> RunningSample | None:
        """Describe the sample if it has one stream, which has tokens."""
        if len(self.streams) != 1:
            return None
        stream = self.streams[0]
        if stream.began is None or stream.heard is None:
            return None
        return RunningSample(
            self.order.key,
            stream.upstream,
            len(stream.tokens) - stream.inherited,
            stream.heard - stream.began,
            self.parts.clock.elapsed() - stream.heard,
        )

    async def rescue(self, kind: RescueKind) -> None:
        """Go on elsewhere behind the last token.

        :param kind: whether the stream that lags ends or runs on.
        """
        if len(self.streams) != 1:
            return
        stream = self.streams[0]
        if stream.problem or stream.finish_reason:
            return
        if kind is RescueKind.move:
            await self._stop((stream,))
        self._start(stream.hand_over())
        self.parts.counters.add('samples_rescued', kind=kind.value)

    def _start(self, stream: Stream) -> None:
        if self._closed:
            return
        self._number += 1
        self.streams.append(stream)
        loop = asyncio.get_running_loop()
        stream.task = loop.create_task(self._follow(stream, self._number))

    async def _stop(self, streams: Sequence[Stream]) -> None:
        for stream in streams:
            self.streams.remove(stream)
        tasks = [stream.task for stream in streams if stream.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _on_ended(self, stream: Stream) -> Sample | None:
        if stream.failure is not None:
            raise stream.failure
        if stream not in self.streams:
            return None
        self.streams.remove(stream)
        if stream.finish_reason and not stream.problem:
            await self.parts.newest.find(self.order.spec.model)
            sample = assemble_sample(self.order.key, stream)
            if is_deliverable(sample, self._find_oldest_allowed()):
                self._count_copies(stream)
                return sample
            stream.problem = self._judge(stream) or UNNAMED
        self.parts.counters.add('streams_ended', reason=stream.problem)
        if self.streams:
            self._count_wasted(stream, self.streams[0])
        else:
            await self._begin_again(stream)
        return None

    async def _begin_again(self, stream: Stream) -> None:
        unusable = bool(self._judge(stream) or stream.finish_reason)
        follower = stream.hand_over()
        if unusable:
            self._count_wasted(stream)
            follower = Stream([], (), follower.avoid)
        if stream.problem != TOO_OLD:
            # An engine that answers but names no version would otherwise be
            # asked again without end, at full speed.
            self.held_up = stream.problem
            await self.parts.clock.sleep(stream.retry_after or self._wait)
            self._wait = min(self._wait * 2, MAX_WAIT)
            self.held_up = ''
        self._start(follower)

    async def _follow(self, stream: Stream, number: int) -> None:
        try:
            await self._receive(stream, number)
        except RefusedError as error:
            stream.problem = error.refusal.code.value
            stream.retry_after = error.refusal.retry_after
        except UnusableError as error:
            stream.problem = error.reason
        except Exception as error:
            stream.failure = error
        if not stream.finish_reason and not stream.problem:
            stream.problem = ENDED_EARLY
        self._ended.put_nowait(stream)

    async def _receive(self, stream: Stream, number: int) -> None:
        request = self._build_request(stream, number)
        running = self.parts.generation.run(request)
        async with aclosing(running) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                self._take(stream, chunk)

    def _take(self, stream: Stream, chunk: Chunk) -> None:
        stream.extend(chunk, self.parts.clock.elapsed())
        model = self.order.spec.model
        self.parts.newest.learn(model, chunk.weight_version)
        self._wait = FIRST_WAIT
        if not self._began:
            self._began = True
            self.parts.on_tokens()
        # Tokens behind an unnamed or too old one can't be delivered either;
        # going on would hold a slot for nothing.
        problem = self._judge(stream)
        if problem:
            raise UnusableError(problem)

    def _judge(self, stream: Stream) -> str:
        if not stream.versions:
            return ''
        oldest = find_oldest(stream.versions)
        if oldest < 1:
            return UNNAMED
        return TOO_OLD if oldest < self._find_oldest_allowed() else ''

    def _find_oldest_allowed(self) -> int:
        spec = self.order.spec
        return find_oldest_allowed(
            spec, self.parts.newest.tell_known(spec.model)
        )

    def _build_request(self, stream: Stream, number: int) -> GenerationRequest:
        order = self.order
        spec = order.spec
        latest = self.parts.clock.elapsed() + LATE_ALLOWANCE
        return GenerationRequest(
            request_id=f'{order.name}-{order.run}-{number}',
            client_account=spec.client_account,
            traffic_class=TrafficClass.training,
            model=spec.model,
            prompt=order.prompt,
            max_tokens=spec.max_tokens,
            deadline=max(order.deadline, latest),
            seed=order.key.index + order.attempt * spec.samples_per_group,
            oldest_version=self._find_oldest_allowed(),
            received=tuple(stream.tokens),
            avoid=stream.avoid,
        )

    def _count_copies(self, winner: Stream) -> None:
        for stream in self.streams:
            self._count_wasted(stream, winner)

    def _count_wasted(
        self,
        stream: Stream,
        kept: Stream | None = None,
    ) -> None:
        shared = max(stream.inherited, kept.inherited) if kept else 0
        wasted = len(stream.tokens) - shared
        self.parts.counters.add('tokens_wasted', wasted)
