"""Sample pipeline: scores and commits finished samples."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.steps.staleness import (
    find_oldest_allowed_version,
    is_deliverable,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.steps.dispatcher import (
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

MAX_BATCH_SAMPLES = 64
MAX_BATCH_CHARACTERS = 1_000_000
MAX_BUFFERED_CHARACTERS = 32_000_000
COMMIT_POLL_INTERVAL = timedelta(milliseconds=250)
MAX_COMMIT_DELAY = timedelta(seconds=3)


class SamplePipeline:
    """Buffers the finished samples of a step until they are committed.

    :param dispatcher: regenerates samples that can't be delivered.
    :param report: returns the progress of the run.
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
        """Start empty."""
        self.last_commit_at = parts.clock.elapsed()
        self._parts = parts
        self._clock = parts.clock
        self._spec = spec
        self._log = log
        self._scoring = scoring
        self._dispatcher = dispatcher
        self._report = report
        self._scoring_queue: asyncio.Queue[Sample] = asyncio.Queue()
        self._commit_queue: asyncio.Queue[Sample] = asyncio.Queue()
        self._committing: list[Sample] = []
        self._buffered_characters = 0
        self._unscored: set[SampleKey] = set()
        self._scoring_tasks: set[asyncio.Task[None]] = set()

    @property
    def unscored(self) -> int:
        """Number of samples that wait for a score."""
        return len(self._unscored)

    @property
    def uncommitted(self) -> int:
        """Number of samples that are ready but not committed."""
        return self._commit_queue.qsize() + len(self._committing)

    @property
    def has_capacity(self) -> bool:
        """Whether more finished samples fit into memory."""
        return self._buffered_characters < MAX_BUFFERED_CHARACTERS

    def accept(self, sample: Sample) -> None:
        """Accept a finished sample."""
        self._buffered_characters += len(sample.text)
        if self._spec.scored:
            self._unscored.add(sample.key)
            self._scoring_queue.put_nowait(sample)
        else:
            self._commit_queue.put_nowait(sample)

    async def score(self) -> None:
        """Score samples for as long as the step runs.

        :raises StepLeaseLostError: if another daemon took over the step.
        """
        loop = asyncio.get_running_loop()
        while True:
            batch: list[Sample] = []
            await self._collect_batch(self._scoring_queue, batch)
            await self._scoring.claim(batch)
            for sample in batch:
                task = loop.create_task(self._score_one(sample))
                self._scoring_tasks.add(task)
                task.add_done_callback(self._scoring_tasks.discard)

    async def commit(self) -> None:
        """Commit samples for as long as the step runs.

        :raises StepLeaseLostError: if another daemon took over the step.
        """
        while True:
            await self._collect_batch(self._commit_queue, self._committing)
            batch = self._discard_stale(self._committing)
            if batch:
                await self._log.append(batch, self._project_report(batch))
                self.last_commit_at = self._clock.elapsed()
            for sample in self._committing:
                self._release(sample)
            self._committing = []

    async def stop(self) -> None:
        """Cancel scoring, and try once to commit the samples that are ready.

        Otherwise the last samples of a daemon that leaves would have to be
        generated again elsewhere.
        """
        tasks = tuple(self._scoring_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        while not self._commit_queue.empty():
            self._committing.append(self._commit_queue.get_nowait())
        batch = self._discard_stale(self._committing)
        if batch:
            await self._log.try_append(batch, self._project_report(batch))

    async def _score_one(self, sample: Sample) -> None:
        attempt = self._dispatcher.attempts[sample.key]
        scored = await self._scoring.score(sample, attempt)
        self._unscored.discard(sample.key)
        if scored is None:
            self._release(sample)
            self._dispatcher.regenerate([sample.key])
        else:
            self._commit_queue.put_nowait(scored)

    async def _collect_batch(
        self,
        queue: asyncio.Queue[Sample],
        batch: list[Sample],
    ) -> None:
        batch.append(await queue.get())
        waited = timedelta(0)
        while not is_full(batch):
            while not queue.empty() and not is_full(batch):
                batch.append(queue.get_nowait())
            awaiting_scores = queue is self._commit_queue and bool(
                self._unscored
            )
            is_last = self._dispatcher.pending == 0 and not awaiting_scores
            if is_last or waited >= MAX_COMMIT_DELAY:
                return
            await self._clock.sleep(COMMIT_POLL_INTERVAL)
            waited += COMMIT_POLL_INTERVAL

    def _discard_stale(self, samples: list[Sample]) -> tuple[Sample, ...]:
        newest = self._parts.newest.get_cached(self._spec.model)
        oldest = find_oldest_allowed_version(self._spec, newest)
        stale = [
            sample for sample in samples if not is_deliverable(sample, oldest)
        ]
        if stale:
            tokens = sum(sample.token_count for sample in stale)
            self._parts.counters.add('tokens_wasted', tokens)
            self._dispatcher.regenerate([sample.key for sample in stale])
        return tuple(sample for sample in samples if sample not in stale)

    def _project_report(self, batch: tuple[Sample, ...]) -> RunReport:
        report = self._report()
        return replace(
            report,
            committed=report.committed + len(batch),
            uncommitted=report.uncommitted - len(batch),
        )

    def _release(self, sample: Sample) -> None:
        self._buffered_characters -= len(sample.text)


def is_full(batch: list[Sample]) -> bool:
    """Return whether a batch is large enough to be committed."""
    if len(batch) >= MAX_BATCH_SAMPLES:
        return True
    return sum(len(sample.text) for sample in batch) >= MAX_BATCH_CHARACTERS
