"""Delivery: trainers read batches by cursor and acknowledge them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.coordination.steps.delivery_rules import (
    check_cursor,
    omit_dropped,
    refuse_cancelled,
    refuse_unread_cursor,
    seal_batch,
)
from quetzalcourse.coordination.steps.staleness import (
    find_oldest_allowed_version,
)
from quetzalcourse.coordination.steps.step_rows import (
    build_batch_key,
    build_claims_prefix,
    build_delivery_key,
    build_log_prefix,
    decode,
    encode,
    refuse_store_unavailable,
    refuse_unknown_step,
    require_unchanged,
)
from quetzalcourse.state.rows import Transaction, Write
from quetzalcourse.state.steps import (
    DeliveredBatch,
    DeliveryRecord,
    StepBatch,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.coordination.steps.delivery_metrics import (
        DeliveryMetrics,
    )
    from quetzalcourse.coordination.steps.staleness import NewestVersions
    from quetzalcourse.state.refusal import Refusal
    from quetzalcourse.state.rows import Row
    from quetzalcourse.state.steps import StepSpec

MAX_BATCHES_PER_READ = 8
MAX_ATTEMPTS = 5


class StepDelivery:
    """Delivers a step to its trainer and updates the delivery record.

    The first read of a batch decides which of its samples are recent
    enough, and stores the decision before the trainer sees the batch. Later
    reads return the same bytes, and a sample that was dropped can be
    generated again.

    :param newest: returns the newest weight versions.
    :param metrics: counts every delivery.
    """

    def __init__(
        self,
        table: Table,
        newest: NewestVersions,
        metrics: DeliveryMetrics,
    ) -> None:
        self._table = table
        self._newest = newest
        self._metrics = metrics

    async def get_record(
        self,
        spec: StepSpec,
    ) -> Result[DeliveryRecord, Refusal]:
        """Read the delivery record of a step."""
        return (await self._load(spec)).map(
            lambda row: decode(row, DeliveryRecord)
        )

    async def read(
        self,
        spec: StepSpec,
        cursor: int,
    ) -> Result[list[DeliveredBatch], Refusal]:
        """Read the batches of a step, starting at a cursor.

        :param cursor: position of the first batch to return.
        :returns: the same batches, however often they are read.
        """
        for _ in range(MAX_ATTEMPTS):
            answer = await self._load(spec)
            if isinstance(answer, Err):
                return answer
            row = answer.ok_value
            record = decode(row, DeliveryRecord)
            refusal = check_cursor(record, cursor)
            if refusal is not None:
                return Err(refusal)
            scanned = await self._scan_batches(spec, cursor)
            if isinstance(scanned, Err):
                return scanned
            batches = scanned.ok_value
            seal_result = await self._seal(spec, record, batches)
            if isinstance(seal_result, Err):
                return seal_result
            sealed = seal_result.ok_value
            delivered = [omit_dropped(batch, sealed) for batch in batches]
            if sealed is record:
                return Ok(delivered)
            if await self._replace_record(row, sealed):
                self._metrics.record_delivery(spec, record, sealed, delivered)
                return Ok(delivered)
        return Err(refuse_store_unavailable())

    async def acknowledge(
        self,
        spec: StepSpec,
        cursor: int,
    ) -> Result[DeliveryRecord, Refusal]:
        """Record that the trainer has stored the batches before a cursor.

        :param cursor: position of the first batch not acknowledged.
        """

        def update(record: DeliveryRecord) -> Result[DeliveryRecord, Refusal]:
            if cursor > record.sealed:
                return Err(refuse_unread_cursor(cursor, record.sealed))
            if record.cancelled:
                return Err(refuse_cancelled())
            acknowledged = max(cursor, record.acknowledged)
            return Ok(replace(record, acknowledged=acknowledged))

        updated = await self._update_record(spec, update)
        if isinstance(updated, Ok) and updated.ok_value.finished:
            await self.clear(spec)
        return updated

    async def cancel(self, spec: StepSpec) -> Result[DeliveryRecord, Refusal]:
        """Cancel the step, which can't be read any more."""
        return await self._update_record(
            spec, lambda record: Ok(replace(record, cancelled=True))
        )

    async def clear(self, spec: StepSpec) -> None:
        """Delete the batches and claims that are no longer needed.

        Rows that remain after a store fault are deleted by the next call.
        """
        for build_prefix in (build_log_prefix, build_claims_prefix):
            rows = await self._table.scan(build_prefix(spec.trainer, spec.step))
            if isinstance(rows, Ok) and rows.ok_value:
                writes = [Write(row.key, None) for row in rows.ok_value]
                await self._table.transact(Transaction((), tuple(writes)))

    async def _update_record(
        self,
        spec: StepSpec,
        update: Callable[[DeliveryRecord], Result[DeliveryRecord, Refusal]],
    ) -> Result[DeliveryRecord, Refusal]:
        for _ in range(MAX_ATTEMPTS):
            answer = await self._load(spec)
            if isinstance(answer, Err):
                return answer
            record = decode(answer.ok_value, DeliveryRecord)
            updated = update(record)
            if isinstance(updated, Err) or updated.ok_value == record:
                return updated
            if await self._replace_record(answer.ok_value, updated.ok_value):
                return updated
        return Err(refuse_store_unavailable())

    async def _load(self, spec: StepSpec) -> Result[Row, Refusal]:
        answer = await self._table.read(
            build_delivery_key(spec.trainer, spec.step)
        )
        if isinstance(answer, Err):
            return Err(refuse_store_unavailable(answer.err_value))
        if answer.ok_value is None:
            return Err(refuse_unknown_step(spec.trainer, spec.step))
        return Ok(answer.ok_value)

    async def _scan_batches(
        self,
        spec: StepSpec,
        cursor: int,
    ) -> Result[list[StepBatch], Refusal]:
        trainer, step = spec.trainer, spec.step
        after = build_batch_key(trainer, step, cursor - 1) if cursor else ''
        answer = await self._table.scan(
            build_log_prefix(trainer, step), after, MAX_BATCHES_PER_READ
        )
        if isinstance(answer, Err):
            return Err(refuse_store_unavailable(answer.err_value))
        return Ok([decode(row, StepBatch) for row in answer.ok_value])

    async def _seal(
        self,
        spec: StepSpec,
        record: DeliveryRecord,
        batches: Sequence[StepBatch],
    ) -> Result[DeliveryRecord, Refusal]:
        unsealed = [
            batch for batch in batches if batch.position >= record.sealed
        ]
        if not unsealed:
            return Ok(record)
        # Without the newest version, a sample that is already too old could
        # be delivered; the trainer is asked to retry.
        newest = await self._newest.fetch(spec.model)
        if isinstance(newest, Err):
            return Err(refuse_store_unavailable(newest.err_value))
        oldest = find_oldest_allowed_version(spec, newest.ok_value)
        sealed = record
        for batch in unsealed:
            sealed = seal_batch(sealed, batch, oldest, spec.total)
        return Ok(sealed)

    async def _replace_record(self, row: Row, record: DeliveryRecord) -> bool:
        answer = await self._table.transact(
            Transaction(
                (require_unchanged(row.key, row),),
                (Write(row.key, encode(record)),),
            )
        )
        return isinstance(answer, Ok) and answer.ok_value.applied
