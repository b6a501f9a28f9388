"""Step service: creates, runs, delivers and cancels training steps."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.coordination.steps.step_lease import StepLease
from quetzalcourse.coordination.steps.step_registry import StepRegistry
from quetzalcourse.coordination.steps.step_rows import (
    OPEN_STEPS_PREFIX,
    StepLeaseLostError,
    build_lease_key,
    build_open_key,
    build_step_key,
    decode,
    parse_open_key,
    refuse_store_unavailable,
)
from quetzalcourse.coordination.steps.step_runner import StepRunner, cancel_all
from quetzalcourse.coordination.steps.watchers import is_watcher
from quetzalcourse.coordination.table_scan import scan_all
from quetzalcourse.log import get_log
from quetzalcourse.state.lease import LeaseTimings
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.steps import (
    DeliveredBatch,
    DeliveryRecord,
    RunReport,
    StepProgress,
    StepSpec,
)

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import MemberView, ObjectStore
    from quetzalcourse.coordination.steps.step_runner import RunParts

STEP_LEASE_TERMS = LeaseTimings(timedelta(seconds=6), timedelta(seconds=1))
SCAN_INTERVAL = timedelta(seconds=2)
LEASE_POLL_INTERVAL = timedelta(seconds=1)
ATTEMPTS_PER_OPEN_CHECK = 5
OPEN_STEPS_WORK = 'open steps'
log = get_log('steps')


class StepService:
    """Creates and runs steps, and serves requests for any daemon's steps.

    :param parts: dependencies of the step runners.
    :param objects: object store of the prompts.
    :param members: decides which daemons look for steps without a runner.
    """

    def __init__(
        self,
        parts: RunParts,
        objects: ObjectStore,
        members: MemberView,
    ) -> None:
        """Start with no running step."""
        self._parts = parts
        self._table = parts.table
        self._registry = StepRegistry(parts.table, objects)
        self._members = members
        self._clock = parts.dispatch.clock
        self._delivery = parts.delivery
        self._running: dict[str, asyncio.Task[None]] = {}
        self._stopping = False

    async def create(
        self,
        spec: StepSpec,
        prompts: tuple[str, ...],
    ) -> Result[StepSpec, Refusal]:
        """Create a step, or return it if the same step exists already.

        :param spec: the step; the name of its prompts object is filled in.
        :param prompts: one prompt per group.
        :returns: the step as it is stored.
        """
        stored = await self._registry.put_prompts(spec, prompts)
        if isinstance(stored, Err):
            return Err(refuse_store_unavailable(stored.err_value))
        spec = stored.ok_value
        written = await self._registry.insert(spec)
        if isinstance(written, Ok) and written.ok_value.applied:
            self._start_run(spec)
            return Ok(spec)
        # Either the step existed before, or the answer was lost and the step
        # may exist now: the stored row decides.
        found = await self._registry.get(spec.trainer, spec.step)
        if isinstance(found, Err):
            return Err(refuse_store_unavailable())
        if found.ok_value.body_digest != spec.body_digest:
            return Err(_refuse_conflict(spec))
        if isinstance(written, Err):
            self._start_run(found.ok_value)
        return found

    async def read(
        self,
        trainer: str,
        step: int,
        cursor: int,
    ) -> Result[list[DeliveredBatch], Refusal]:
        """Read the batches of a step, starting at a cursor.

        :param cursor: position of the first batch to return.
        """
        found = await self._registry.get(trainer, step)
        if isinstance(found, Err):
            return found
        return await self._delivery.read(found.ok_value, cursor)

    async def acknowledge(
        self,
        trainer: str,
        step: int,
        cursor: int,
    ) -> Result[DeliveryRecord, Refusal]:
        """Record that the trainer has stored the batches before a cursor."""
        found = await self._registry.get(trainer, step)
        if isinstance(found, Err):
            return found
        return await self._delivery.acknowledge(found.ok_value, cursor)

    async def cancel(
        self,
        trainer: str,
        step: int,
    ) -> Result[DeliveryRecord, Refusal]:
        """Cancel a step; its runner stops within seconds."""
        found = await self._registry.get(trainer, step)
        if isinstance(found, Err):
            return found
        return await self._delivery.cancel(found.ok_value)

    async def get_progress(
        self,
        trainer: str,
        step: int,
    ) -> Result[StepProgress, Refusal]:
        """Return the progress of a step, whichever daemon runs it."""
        found = await self._registry.get(trainer, step)
        if isinstance(found, Err):
            return found
        spec = found.ok_value
        delivery = await self._delivery.get_record(spec)
        if isinstance(delivery, Err):
            return delivery
        run = await self._table.read(build_open_key(trainer, step))
        if isinstance(run, Err):
            return Err(refuse_store_unavailable(run.err_value))
        return Ok(
            StepProgress(
                trainer,
                step,
                spec.total,
                spec.created,
                delivery.ok_value,
                decode(run.ok_value, RunReport) if run.ok_value else None,
            )
        )

    async def adopt_orphaned_steps(self) -> None:
        """Take over open steps that no daemon runs, until cancelled."""
        while True:
            if is_watcher(self._members, OPEN_STEPS_WORK):
                await self._scan_open_steps()
            await self._clock.sleep(SCAN_INTERVAL)

    async def stop(self) -> None:
        """Stop the steps that run here; other daemons continue them."""
        self._stopping = True
        await cancel_all(tuple(self._running.values()))

    async def _scan_open_steps(self) -> None:
        answer = await scan_all(self._table, OPEN_STEPS_PREFIX)
        if isinstance(answer, Err):
            return
        for row in answer.ok_value:
            trainer, step = parse_open_key(row.key)
            if build_step_key(trainer, step) in self._running:
                continue
            found = await self._registry.get(trainer, step)
            if isinstance(found, Ok):
                self._start_run(found.ok_value)

    def _start_run(self, spec: StepSpec) -> None:
        key = build_step_key(spec.trainer, spec.step)
        if key in self._running or self._stopping:
            return
        task = asyncio.get_running_loop().create_task(self._run(spec))
        self._running[key] = task
        task.add_done_callback(lambda _: self._running.pop(key, None))

    async def _run(self, spec: StepSpec) -> None:
        bound_log = log.bind(trainer=spec.trainer, step=spec.step)
        lease = self._build_lease(spec)
        try:
            if not await self._acquire_lease(spec, lease):
                return
            bound_log.info(
                'Step lease acquired; running the step.', token=lease.token
            )
            await self._run_under_lease(spec, lease)
            bound_log.info('Step closed.')
        except StepLeaseLostError as error:
            bound_log.warning(
                'Step lease lost to another daemon.', reason=str(error)
            )
        except Exception as error:
            kind = type(error).__name__
            bound_log.error(
                'Step run failed; a later scan retries it.',
                kind=kind,
                reason=str(error),
            )
            await self._clock.sleep(SCAN_INTERVAL)

    async def _acquire_lease(self, spec: StepSpec, lease: Lease) -> bool:
        attempts = 0
        while not await lease.acquire_or_renew():
            await self._clock.sleep(LEASE_POLL_INTERVAL)
            attempts += 1
            if (
                attempts % ATTEMPTS_PER_OPEN_CHECK == 0
                and not await self._is_open(spec)
            ):
                return False
        return True

    async def _is_open(self, spec: StepSpec) -> bool:
        row = await self._table.read(build_open_key(spec.trainer, spec.step))
        return isinstance(row, Err) or row.ok_value is not None

    async def _run_under_lease(self, spec: StepSpec, lease: Lease) -> None:
        step_lease = StepLease(self._table, lease)
        budget = self._parts.dispatch.budget
        budget.steps += 1
        try:
            prompts = await self._wait_for_prompts(spec, step_lease)
            await StepRunner(self._parts, spec, prompts, step_lease).run()
        finally:
            budget.steps -= 1
            await step_lease.release()

    async def _wait_for_prompts(
        self,
        spec: StepSpec,
        lease: StepLease,
    ) -> tuple[str, ...]:
        while True:
            prompts = await self._registry.get_prompts(spec)
            if prompts is not None:
                return prompts
            await self._clock.sleep(SCAN_INTERVAL)
            await lease.renew()

    def _build_lease(self, spec: StepSpec) -> Lease:
        return Lease(
            self._table,
            self._clock,
            build_lease_key(spec.trainer, spec.step),
            self._parts.incarnation,
            STEP_LEASE_TERMS,
        )


def _refuse_conflict(spec: StepSpec) -> Refusal:
    return Refusal(
        RefusalCode.conflict,
        f'Step {spec.step} was created with another body.',
        not_run=True,
        step='create step',
    )
