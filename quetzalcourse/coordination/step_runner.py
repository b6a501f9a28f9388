"""One run of a step: from the lease to the last committed sample."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

from result import Ok, Result

from quetzalcourse.coordination.dispatching import Dispatcher, DispatchParts
from quetzalcourse.coordination.leased_rows import LeasedRows
from quetzalcourse.coordination.scoring import StepScoring
from quetzalcourse.coordination.staleness import (
    find_oldest_allowed,
    is_deliverable,
)
from quetzalcourse.coordination.step_log import StepLog
from quetzalcourse.coordination.step_rows import name_open
from quetzalcourse.state.rows import Transaction, Write
from quetzalcourse.state.steps import DeliveryRecord, RunReport

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzalcourse.coordination.ports import Scorer, Table
    from quetzalcourse.coordination.step_delivery import StepDelivery
    from quetzalcourse.coordination.step_lease import StepLease
    from quetzalcourse.state.refusal import Refusal
    from quetzalcourse.state.steps import Sample, SampleKey, StepSpec

Loaded = TypeVar('Loaded')
Problem = TypeVar('Problem')
BATCH_SAMPLES = 64
BATCH_CHARACTERS = 1_000_000
HELD_CHARACTERS = 32_000_000
COMMIT_TICK = timedelta(milliseconds=250)
COMMIT_WAIT = timedelta(seconds=3)
RENEW_INTERVAL = timedelta(seconds=2)
WATCH_INTERVAL = timedelta(seconds=2)
LOAD_RETRY = timedelta(seconds=1)
CLOSE_TRIES = 5


@dataclass(frozen=True, slots=True)
class RunParts:
    """What running a step needs of the rest of the daemon.

    :param incarnation: name of this process as a lease holder.
    """

    table: Table
    scorer: Scorer
    delivery: StepDelivery
    dispatch: DispatchParts
    incarnation: str


class StepRunner:
    """Runs a step while its lease is held.

    :param lease: the lease on the step, held.
    :param prompts: a prompt for each group.
    """

    def __init__(
        self,
        parts: RunParts,
        spec: StepSpec,
        prompts: tuple[str, ...],
        lease: StepLease,
    ) -> None:
        """Begin with nothing loaded."""
        clock = parts.dispatch.clock
        self._parts = parts
        self._spec = spec
        self._clock = clock
        self._lease = lease
        rows = LeasedRows(parts.table, lease, clock)
        self._log = StepLog(parts.table, rows, spec)
        self._scoring = StepScoring(
            parts.table,
            rows,
            parts.scorer,
            clock,
            parts.dispatch.counters,
            spec,
        )
        self._made: asyncio.Queue[Sample] = asyncio.Queue()
        self._ready: asyncio.Queue[Sample] = asyncio.Queue()
        self._committing: list[Sample] = []
        self._held_characters = 0
        self._unscored: set[SampleKey] = set()
        self._scorings: set[asyncio.Task[None]] = set()
        self._dispatcher = Dispatcher(
            parts.dispatch,
            spec,
            prompts,
            self._find_deadline(),
            f'{parts.incarnation}-{lease.token}',
            self._on_made,
            self._may_hold,
        )

    async def run(self) -> None:
        """Run the step until it is whole, cancelled or another daemon's.

        :raises StepLostError: if another daemon took the step over.
        """
        record = await self._load()
        if not record.closed:
            missing = set(self._spec.list_keys()) - set(self._log.committed)
            self._dispatcher.attempts = self._scoring.claims.copy()
            self._dispatcher.add(sorted(missing))
            record = await self._work()
        await self._close(record)

    def report(self) -> RunReport:
        """Say how far the run is."""
        dispatcher = self._dispatcher
        return RunReport(
            holder=self._parts.incarnation,
            positions=self._log.positions,
            committed=len(self._log.committed),
            running=dispatcher.count_running(),
            waiting=dispatcher.count_waiting(),
            backlog=dispatcher.backlog,
            unscored=len(self._unscored),
            held_up=dict(dispatcher.count_held_up()),
        )

    async def _work(self) -> DeliveryRecord:
        loop = asyncio.get_running_loop()
        watch = loop.create_task(self._watch())
        parts = [
            self._renew,
            self._commit,
            self._dispatcher.dispatch,
            self._dispatcher.rescue,
        ]
        if self._spec.scored:
            parts.append(self._score)
        tasks = [loop.create_task(part()) for part in parts]
        try:
            await asyncio.wait(
                (watch, *tasks), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await self._end((watch, *tasks))
        for task in tasks:
            if not task.cancelled():
                task.result()
        return watch.result()

    async def _end(self, tasks: tuple[asyncio.Future, ...]) -> None:
        await self._dispatcher.stop()
        await cancel_all((*tasks, *self._scorings))
        await self._flush()

    async def _load(self) -> DeliveryRecord:
        await self._insist(self._log.load)
        await self._insist(self._scoring.load)
        record = await self._insist(self._find_delivery)
        self._log.drop(record.dropped)
        return record

    async def _insist(
        self,
        load: Callable[[], Awaitable[Result[Loaded, Problem]]],
    ) -> Loaded:
        while True:
            answer = await load()
            if isinstance(answer, Ok):
                return answer.ok_value
            await self._lease.renew()
            await self._clock.sleep(LOAD_RETRY)

    async def _find_delivery(self) -> Result[DeliveryRecord, Refusal]:
        return await self._parts.delivery.find(self._spec)

    async def _renew(self) -> None:
        while True:
            await self._clock.sleep(RENEW_INTERVAL)
            await self._lease.renew()

    async def _watch(self) -> DeliveryRecord:
        seen = 0
        while True:
            await self._parts.dispatch.newest.find(self._spec.model)
            answer = await self._find_delivery()
            if isinstance(answer, Ok):
                record = answer.ok_value
                if record.closed:
                    return record
                self._dispatcher.remake(self._log.drop(record.dropped[seen:]))
                seen = len(record.dropped)
            await self._clock.sleep(WATCH_INTERVAL)

    async def _score(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            batch: list[Sample] = []
            await self._gather(self._made, batch)
            await self._scoring.claim(batch)
            for sample in batch:
                task = loop.create_task(self._score_one(sample))
                self._scorings.add(task)
                task.add_done_callback(self._scorings.discard)

    async def _score_one(self, sample: Sample) -> None:
        attempt = self._dispatcher.attempts[sample.key]
        scored = await self._scoring.score(sample, attempt)
        self._unscored.discard(sample.key)
        if scored is None:
            self._let_go(sample)
            self._dispatcher.remake([sample.key])
        else:
            self._ready.put_nowait(scored)

    async def _commit(self) -> None:
        while True:
            await self._gather(self._ready, self._committing)
            batch = self._choose_fresh(self._committing)
            if batch:
                await self._log.append(batch, self._foresee(batch))
            for sample in self._committing:
                self._let_go(sample)
            self._committing = []

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
        newest = self._parts.dispatch.newest.tell_known(self._spec.model)
        oldest = find_oldest_allowed(self._spec, newest)
        stale = [
            sample for sample in samples if not is_deliverable(sample, oldest)
        ]
        if stale:
            tokens = sum(sample.token_count for sample in stale)
            self._parts.dispatch.counters.add('tokens_wasted', tokens)
            self._dispatcher.remake([sample.key for sample in stale])
        return tuple(sample for sample in samples if sample not in stale)

    def _foresee(self, batch: tuple[Sample, ...]) -> RunReport:
        report = self.report()
        return replace(
            report,
            positions=report.positions + 1,
            committed=report.committed + len(batch),
        )

    async def _flush(self) -> None:
        # A daemon that leaves has samples that were not committed yet; they
        # would be made again elsewhere. One try, as the drain won't wait.
        while not self._ready.empty():
            self._committing.append(self._ready.get_nowait())
        batch = self._choose_fresh(self._committing)
        if batch:
            await self._log.try_append(batch, self._foresee(batch))

    async def _close(self, record: DeliveryRecord) -> None:
        spec = self._spec
        if record.cancelled or record.finished:
            await self._parts.delivery.clear(spec)
        closing = Transaction(
            (self._lease.require(),),
            (
                Write(name_open(spec.trainer, spec.step), None),
                *(Write(key, None) for key in self._lease.keys),
            ),
        )
        for _ in range(CLOSE_TRIES):
            answer = await self._parts.table.transact(closing)
            if isinstance(answer, Ok):
                return
            await self._clock.sleep(LOAD_RETRY)

    def _on_made(self, sample: Sample) -> None:
        self._held_characters += len(sample.text)
        if self._spec.scored:
            self._unscored.add(sample.key)
            self._made.put_nowait(sample)
        else:
            self._ready.put_nowait(sample)

    def _let_go(self, sample: Sample) -> None:
        self._held_characters -= len(sample.text)

    def _may_hold(self) -> bool:
        return self._held_characters < HELD_CHARACTERS

    def _find_deadline(self) -> timedelta:
        spec = self._spec
        passed = self._clock.now() - spec.created
        allowed = timedelta(seconds=spec.deadline_seconds)
        return self._clock.elapsed() + allowed - passed


def is_full(batch: list[Sample]) -> bool:
    """Tell whether a batch is large enough to be committed."""
    if len(batch) >= BATCH_SAMPLES:
        return True
    return sum(len(sample.text) for sample in batch) >= BATCH_CHARACTERS


async def cancel_all(tasks: tuple[asyncio.Future, ...]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
