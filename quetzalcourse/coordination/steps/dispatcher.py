"""Dispatcher: generates the samples of a step with bounded concurrency."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.steps.dispatch_order import (
    Backlog,
    LengthEstimator,
)
from quetzalcourse.coordination.steps.sample_producer import (
    ProducerParts,
    SampleProducer,
)
from quetzalcourse.coordination.steps.sample_stream import SampleSpec
from quetzalcourse.coordination.steps.stragglers import (
    Mitigation,
    RunningSample,
    plan_mitigations,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.ports import GenerationService
    from quetzalcourse.coordination.steps.staleness import NewestVersions
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.steps import Sample, SampleKey, StepSpec

MitigationPlanner = Callable[[Sequence[RunningSample], int], list[Mitigation]]
MAX_WAITING_SAMPLES = 16
MAX_CONCURRENT_SAMPLES = 1024
MITIGATION_INTERVAL = timedelta(seconds=2)
DEADLINE_MARGIN = timedelta(seconds=60)
PROMPT_HASH_LENGTH = 16


class SampleSink(Protocol):
    """Accepts finished samples, within bounded memory."""

    @property
    def has_capacity(self) -> bool:
        """Whether more finished samples fit into memory."""

    def accept(self, sample: Sample) -> None:
        """Accept a finished sample."""


@dataclass(slots=True)
class ConcurrencyBudget:
    """Limit on concurrent samples of this daemon, shared by its steps.

    :param steps: number of steps that run on this daemon.
    """

    steps: int = 0

    @property
    def limit_per_step(self) -> int:
        """Maximum number of concurrent samples of one step."""
        return MAX_CONCURRENT_SAMPLES // max(1, self.steps)


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """Dependencies of a dispatcher.

    :param lengths: estimates learnt from all steps that ran on this daemon.
    :param budget: shared by all steps that run on this daemon.
    :param plan: chooses the stragglers to move or copy.
    """

    generation: GenerationService
    clock: Clock
    counters: Counters
    newest: NewestVersions
    lengths: LengthEstimator
    budget: ConcurrencyBudget
    plan: MitigationPlanner = plan_mitigations


class Dispatcher:
    """Generates the samples of one step.

    :param deadline: time since boot by which the step should be complete.
    :param run: name of the run, which becomes part of request ids.
    """

    def __init__(
        self,
        parts: DispatchParts,
        spec: StepSpec,
        prompts: tuple[str, ...],
        deadline: timedelta,
        run: str,
    ) -> None:
        """Start with an empty backlog."""
        self.attempts: Counter[SampleKey] = Counter()
        self._parts = parts
        self._spec = spec
        self._prompts = prompts
        self._prompt_hashes = tuple(hash_prompt(prompt) for prompt in prompts)
        self._deadline = deadline
        self._run = run
        self._sink: SampleSink | None = None
        self._backlog = Backlog(
            parts.lengths, spec.trainer, self._prompt_hashes
        )
        self._producers: dict[SampleKey, SampleProducer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wakeup = asyncio.Event()
        self._peak_running = 0
        self._failure: BaseException | None = None
        self._producer_parts = ProducerParts(
            parts.generation,
            parts.clock,
            parts.counters,
            parts.newest,
            self._wakeup.set,
        )

    def attach_sink(self, sink: SampleSink) -> None:
        """Set the sink of finished samples, whose capacity limits dispatch."""
        self._sink = sink

    def add(self, keys: Iterable[SampleKey]) -> None:
        """Add samples to the backlog."""
        self._backlog.add(keys)
        self._wakeup.set()

    def regenerate(self, keys: Iterable[SampleKey]) -> None:
        """Generate samples again whose earlier result was discarded."""
        discarded = list(keys)
        self.attempts.update(discarded)
        self.add(discarded)

    @property
    def backlog(self) -> int:
        """Number of samples that have not started."""
        return len(self._backlog)

    @property
    def pending(self) -> int:
        """Number of samples that are not finished."""
        return len(self._backlog) + len(self._producers)

    def count_waiting(self) -> int:
        """Count the samples that wait for an engine."""
        return sum(producer.waiting for producer in self._producers.values())

    def count_held_up(self) -> Counter[str]:
        """Count the samples without a running stream, by reason."""
        return Counter(
            producer.held_up
            for producer in self._producers.values()
            if producer.held_up
        )

    def count_running(self) -> int:
        """Count the samples that are receiving tokens."""
        held_up = self.count_held_up().total()
        return len(self._producers) - self.count_waiting() - held_up

    async def dispatch(self) -> None:
        """Start samples for as long as the step runs.

        :raises Exception: the error of a sample that failed; the sample
            would otherwise stay missing without a trace.
        """
        while True:
            while self._may_start():
                self._start(self._backlog.pop())
            running = self.count_running()
            self._peak_running = max(self._peak_running, running)
            self._wakeup.clear()
            await self._wakeup.wait()
            if self._failure is not None:
                raise self._failure

    async def mitigate_stragglers(self) -> None:
        """Move or copy stragglers for as long as the step runs."""
        while True:
            await self._parts.clock.sleep(MITIGATION_INTERVAL)
            self._wakeup.set()
            if not self._backlog:
                await self._mitigate_once()

    async def stop(self) -> None:
        """Cancel every stream."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _may_start(self) -> bool:
        # Requests beyond the capacity of the engines would only queue, in an
        # order that can no longer be changed, and each uses memory.
        if not self._backlog or not (self._sink and self._sink.has_capacity):
            return False
        if len(self._producers) >= self._parts.budget.limit_per_step:
            return False
        waiting = self.count_waiting() + self.count_held_up().total()
        return waiting < MAX_WAITING_SAMPLES

    def _start(self, key: SampleKey) -> None:
        sample_spec = SampleSpec(
            self._spec,
            key,
            self._prompts[key.group],
            self.attempts[key],
            self._deadline,
            f'{self._run}-{self.attempts[key]}',
        )
        producer = SampleProducer(sample_spec, self._producer_parts)
        self._producers[key] = producer
        task = asyncio.get_running_loop().create_task(self._produce(producer))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()
            self._wakeup.set()

    async def _produce(self, producer: SampleProducer) -> None:
        key = producer.sample_spec.key
        try:
            sample = await producer.produce()
        finally:
            self._producers.pop(key, None)
            self._wakeup.set()
        self._parts.lengths.observe(
            self._spec.trainer,
            self._prompt_hashes[key.group],
            sample.token_count,
        )
        if self._sink is not None:
            self._sink.accept(sample)

    async def _mitigate_once(self) -> None:
        running = [
            sample
            for sample in map(SampleProducer.snapshot, self._producers.values())
            if sample is not None
        ]
        for mitigation in self._parts.plan(running, self._count_idle_slots()):
            producer = self._producers.get(mitigation.key)
            if producer is not None:
                await producer.mitigate(mitigation.kind)

    def _count_idle_slots(self) -> int:
        streams = sum(
            len(producer.streams) for producer in self._producers.values()
        )
        # Close to the deadline, occupied slots count as idle, so that more
        # stragglers get a copy.
        if self._parts.clock.elapsed() >= self._deadline - DEADLINE_MARGIN:
            return self._peak_running
        return self._peak_running - streams


def hash_prompt(prompt: str) -> str:
    """Return the key of a prompt in the length estimates."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:PROMPT_HASH_LENGTH]
