"""What happens to finished samples: they are scored and committed."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.steps.staleness import (
    find_oldest_allowed,
    is_deliverable,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.steps.dispatching import (
        Dispatcher,
        DispatchParts,
    )
    from quetzalcourse.coordination.steps.scoring import StepScoring
    from quetzalcourse.coordination.steps.step_log import StepLog
    from quetzalcourse.state.steps import (
        RunReport,
        Sample,
        SampleKey,
        StepSpec,
    )

BATCH_SAMPLES = 64
BATCH_CHARACTERS = 1_000_000
HELD_CHARACTERS = 32_000_000
COMMIT_TICK = timedelta(milliseconds=250)
COMMIT_WAIT = timedelta(seconds=3)


class SamplePipeline:
    """Holds a step's finished samples until they are committed.

    :param dispatcher: makes samples again that can't be delivered.
    :param report: says how far the run is.
    """

    def __init__(
        self,
        parts: DispatchParts,
        spec: StepSpec,
        log: StepLog,
        scoring: StepScoring,
        dispatcher: Dispatcher,
        report: Callable[[], RunReport],
    ) -> None:
        """Begin empty."""
        self.committed_at = parts.clock.elapsed()
        self._parts = parts
        self._clock = parts.clock
        self._spec = spec
        self._log = log
        self._scoring = scoring
        self._dispatcher = dispatcher
        self._report = report
        self._made: asyncio.Queue[Sample] = asyncio.Queue()
        self._ready: asyncio.Queue[Sample] = asyncio.Queue()
        self._committing: list[Sample] = []
        self._held_characters = 0
        self._unscored: set[SampleKey] = set()
        self._scorings: set[asyncio.Task[None]] = set()

    @property
    def unscored(self) -> int:
        """Count the samples that wait for a score."""
        return len(self._unscored)

    @property
    def uncommitted(self) -> int:
        """Count the samples that only need to be committed."""
        return self._ready.qsize() + len(self._committing)

    @property
    def may_hold(self) -> bool:
        """Whether more finished samples fit into memory."""
        return self._held_characters < HELD_CHARACTERS

    def take(self, sample: Sample) -> None:
        """Take a finished sample."""
        self._held_characters += len(sample.text)
        if self._spec.scored:
            self._unscored.add(sample.key)
            self._made.put_nowait(sample)
        else:
            self._ready.put_nowait(sample)

    async def score(self) -> None:
        """Score samples for as long as the step runs.

        :raises StepLostError: if another daemon took the step over.
        """
        loop = asyncio.get_running_loop()
        while True:
            batch: list[Sample] = []
            await self._gather(self._made, batch)
            await self._scoring.claim(batch)
            for sample in batch:
                task = loop.create_task(self._score_one(sample))
                self._scorings.add(task)
                task.add_done_callback(self._scorings.discard)

    async def commit(self) -> None:
        """Commit samples for as long as the step runs.

        :raises StepLostError: if another daemon took the step over.
        """
        while True:
            await self._gather(self._ready, self._committing)
            batch = self._choose_fresh(self._committing)
            if batch:
                await self._log.append(batch, self._foresee(batch))
                self.committed_at = self._clock.elapsed()
            for sample in self._committing:
                self._let_go(sample)
            self._committing = []

    async def stop(self) -> None:
        """End the scorings, and try once to commit what is ready.

        A daemon that leaves would otherwise have its last samples made
        again elsewhere.
        """
        tasks = tuple(self._scorings)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        while not self._ready.empty():
            self._committing.append(self._ready.get_nowait())
        batch = self._choose_fresh(self._committing)
        if batch:
            await self._log.try_append(batch, self._foresee(batch))

    async def _score_one(self, sample: Sample) -> None:
        attempt = self._dispatcher.attempts[sample.key]
        scored = await self._scoring.score(sample, attempt)
        self._unscored.discard(sample.key)
        if scored is None:
            self._let_go(sample)
            self._dispatcher.remake([sample.key])
        else:
            self._ready.put_nowait(scored)

    async def _gather(
        self,
        queue: asyncio.Queue[Sample],
        batch: list[Sample],
    ) -> None:
        batch.append(await queue.get())
        waited = timedelta(0)
        while not is_full(batch):
            while not queue.empty() and not is_full(batch):
                batch.append(queue.get_nowait())
            scoring = queue is self._ready and bool(self._unscored)
            last = self._dispatcher.pending == 0 and not scoring
            if last or waited >= COMMIT_WAIT:
                return
            await self._clock.sleep(COMMIT_TICK)
            waited += COMMIT_TICK

    def _choose_fresh(self, samples: list[Sample]) -> tuple[Sample, ...]:
        newest = self._parts.newest.get_cached(self._spec.model)
        oldest = find_oldest_allowed(self._spec, newest)
        stale = [
            sample for sample in samples if not is_deliverable(sample, oldest)
        ]
        if stale:
            tokens = sum(sample.token_count for sample in stale)
            self._parts.counters.add('tokens_wasted', tokens)
            self._dispatcher.remake([sample.key for sample in stale])
        return tuple(sample for sample in samples if sample not in stale)

    def _foresee(self, batch: tuple[Sample, ...]) -> RunReport:
        report = self._report()
        return replace(
            report,
            committed=report.committed + len(batch),
            uncommitted=report.uncommitted - len(batch),
        )

    def _let_go(self, sample: Sample) -> None:
        self._held_characters -= len(sample.text)


def is_full(batch: list[Sample]) -> bool:
    """Tell whether a batch is large enough to be committed."""
    if len(batch) >= BATCH_SAMPLES:
        return True
    return sum(len(sample.text) for sample in batch) >= BATCH_CHARACTERS
