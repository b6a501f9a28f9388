"""Step runner: runs a step from the held lease to the last commit."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

from result import Ok, Result

from quetzalcourse.coordination.steps.dispatcher import (
    Dispatcher,
    DispatchParts,
)
from quetzalcourse.coordination.steps.fenced_writer import FencedWriter
from quetzalcourse.coordination.steps.sample_pipeline import SamplePipeline
from quetzalcourse.coordination.steps.scoring import StepScoring
from quetzalcourse.coordination.steps.step_log import StepLog
from quetzalcourse.coordination.steps.step_rows import build_open_key, encode
from quetzalcourse.log import bind_log
from quetzalcourse.state.rows import Transaction, Write
from quetzalcourse.state.steps import DeliveryRecord, RunReport

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzalcourse.coordination.ports import Scorer, Table
    from quetzalcourse.coordination.steps.step_delivery import StepDelivery
    from quetzalcourse.coordination.steps.step_lease import StepLease
    from quetzalcourse.state.refusal import Refusal
    from quetzalcourse.state.steps import StepSpec

Loaded = TypeVar('Loaded')
Problem = TypeVar('Problem')
RENEW_INTERVAL = timedelta(seconds=2)
WATCH_INTERVAL = timedelta(seconds=2)
PROGRESS_INTERVAL = timedelta(seconds=10)
RETRY_INTERVAL = timedelta(seconds=1)
MAX_CLOSE_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class RunParts:
    """Dependencies of a step runner.

    :param incarnation: name of this process as a lease holder.
    """

    table: Table
    scorer: Scorer
    delivery: StepDelivery
    dispatch: DispatchParts
    incarnation: str


class StepRunner:
    """Runs a step while its lease is held.

    :param lease: held lease on the step.
    :param prompts: one prompt per group.
    """

    def __init__(
        self,
        parts: RunParts,
        spec: StepSpec,
        prompts: tuple[str, ...],
        lease: StepLease,
    ) -> None:
        """Build the components of the run, with nothing loaded yet."""
        clock, counters = parts.dispatch.clock, parts.dispatch.counters
        self._parts = parts
        self._spec = spec
        self._clock = clock
        self._lease = lease
        self._progress_written_at = clock.elapsed()
        table = parts.table
        writer = FencedWriter(table, lease, clock)
        self._log = StepLog(table, writer, spec)
        self._scoring = StepScoring(
            table, writer, parts.scorer, clock, counters, spec
        )
        self._dispatcher = Dispatcher(
            parts.dispatch,
            spec,
            prompts,
            self._compute_deadline(),
            f'{parts.incarnation}-{lease.token}',
        )
        self._pipeline = SamplePipeline(
            parts.dispatch,
            spec,
            self._log,
            self._scoring,
            self._dispatcher,
            self.report,
        )
        self._dispatcher.attach_sink(self._pipeline)

    async def run(self) -> None:
        """Run the step until it is complete, cancelled or taken over.

        :raises StepLeaseLostError: if another daemon took over the step.
        """
        bind_log(trainer=self._spec.trainer, step=self._spec.step)
        record = await self._load()
        if not record.closed:
            missing = set(self._spec.list_keys()) - set(self._log.committed)
            self._dispatcher.attempts = self._scoring.claims.copy()
            self._dispatcher.add(sorted(missing))
            record = await self._run_tasks()
        await self._close(record)

    def report(self) -> RunReport:
        """Build the progress report of the run."""
        dispatcher = self._dispatcher
        return RunReport(
            holder=self._parts.incarnation,
            committed=len(self._log.committed),
            running=dispatcher.count_running(),
            waiting=dispatcher.count_waiting(),
            backlog=dispatcher.backlog,
            unscored=self._pipeline.unscored,
            uncommitted=self._pipeline.uncommitted,
            held_up=dict(dispatcher.count_held_up()),
        )

    async def _load(self) -> DeliveryRecord:
        await self._retry(self._log.load)
        await self._retry(self._scoring.load)
        record = await self._retry(self._load_record)
        self._log.drop(record.dropped)
        return record

    async def _retry(
        self,
        load: Callable[[], Awaitable[Result[Loaded, Problem]]],
    ) -> Loaded:
        while True:
            answer = await load()
            if isinstance(answer, Ok):
                return answer.ok_value
            await self._lease.renew()
            await self._clock.sleep(RETRY_INTERVAL)

    async def _load_record(self) -> Result[DeliveryRecord, Refusal]:
        return await self._parts.delivery.get_record(self._spec)

    async def _run_tasks(self) -> DeliveryRecord:
        loop = asyncio.get_running_loop()
        watch = loop.create_task(self._watch())
        workers = [
            self._renew,
            self._pipeline.commit,
            self._dispatcher.dispatch,
            self._dispatcher.mitigate_stragglers,
        ]
        if self._spec.scored:
            workers.append(self._pipeline.score)
        tasks = [loop.create_task(worker()) for worker in workers]
        try:
            await asyncio.wait(
                (watch, *tasks), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await self._stop_tasks((watch, *tasks))
        for task in tasks:
            if not task.cancelled():
                task.result()
        return watch.result()

    async def _stop_tasks(self, tasks: tuple[asyncio.Future, ...]) -> None:
        await self._dispatcher.stop()
        await cancel_all(tasks)
        await self._pipeline.stop()
        self._publish_metrics()

    async def _renew(self) -> None:
        while True:
            await self._clock.sleep(RENEW_INTERVAL)
            await self._lease.renew()

    async def _watch(self) -> DeliveryRecord:
        seen_dropped = 0
        while True:
            await self._parts.dispatch.newest.fetch(self._spec.model)
            answer = await self._load_record()
            if isinstance(answer, Ok):
                record = answer.ok_value
                if record.closed:
                    return record
                self._dispatcher.regenerate(
                    self._log.drop(record.dropped[seen_dropped:])
                )
                seen_dropped = len(record.dropped)
            self._publish_metrics()
            await self._write_progress()
            await self._clock.sleep(WATCH_INTERVAL)

    def _publish_metrics(self) -> None:
        report = self.report()
        states = {
            'backlog': report.backlog,
            'waiting': report.waiting,
            'running': report.running,
            'held_up': sum(report.held_up.values()),
            'unscored': report.unscored,
            'uncommitted': report.uncommitted,
        }
        for state, count in states.items():
            self._parts.dispatch.counters.set(
                'step_samples', count, trainer=self._spec.trainer, state=state
            )

    async def _write_progress(self) -> None:
        # Each commit writes a progress report. Operators look for the reason
        # when a run commits nothing, so such a run reports as well.
        now = self._clock.elapsed()
        written_at = max(
            self._progress_written_at, self._pipeline.last_commit_at
        )
        if now - written_at < PROGRESS_INTERVAL:
            return
        self._progress_written_at = now
        key = build_open_key(self._spec.trainer, self._spec.step)
        await self._parts.table.transact(
            Transaction(
                (self._lease.require(),),
                (Write(key, encode(self.report())),),
            )
        )

    async def _close(self, record: DeliveryRecord) -> None:
        spec = self._spec
        if record.cancelled or record.finished:
            await self._parts.delivery.clear(spec)
        deleted_keys = (
            build_open_key(spec.trainer, spec.step),
            *self._lease.keys,
        )
        closing = Transaction(
            (self._lease.require(),),
            tuple(Write(key, None) for key in deleted_keys),
        )
        for _ in range(MAX_CLOSE_ATTEMPTS):
            answer = await self._parts.table.transact(closing)
            if isinstance(answer, Ok):
                return
            await self._clock.sleep(RETRY_INTERVAL)

    def _compute_deadline(self) -> timedelta:
        spec = self._spec
        since_creation = self._clock.now() - spec.created
        allowed = timedelta(seconds=spec.deadline_seconds)
        return self._clock.elapsed() + allowed - since_creation


async def cancel_all(tasks: tuple[asyncio.Future, ...]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
