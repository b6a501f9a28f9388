"""Rules for the samples that are delivered and the cursors allowed."""

from __future__ import annotations

from dataclasses import replace

from quetzalcourse.coordination.steps.staleness import is_deliverable
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.steps import (
    DeliveredBatch,
    DeliveryRecord,
    DroppedSample,
    StepBatch,
)


def seal_batch(
    record: DeliveryRecord,
    batch: StepBatch,
    oldest_allowed: int,
    total: int,
) -> DeliveryRecord:
    """Decide which samples of a batch are delivered.

    :param oldest_allowed: weight version below which samples are dropped.
    :param total: number of delivered samples that completes the step.
    """
    dropped = tuple(
        DroppedSample(batch.position, sample.group, sample.index)
        for sample in batch.samples
        if not is_deliverable(sample, oldest_allowed)
    )
    delivered = record.delivered + len(batch.samples) - len(dropped)
    whole_at = record.whole_at
    if whole_at is None and delivered == total:
        whole_at = batch.position
    return replace(
        record,
        sealed=batch.position + 1,
        delivered=delivered,
        dropped=record.dropped + dropped,
        whole_at=whole_at,
    )


def omit_dropped(batch: StepBatch, record: DeliveryRecord) -> DeliveredBatch:
    """Return a batch without its dropped samples."""
    dropped = {
        sample.key
        for sample in record.dropped
        if sample.position == batch.position
    }
    return DeliveredBatch(
        batch.position,
        tuple(sample for sample in batch.samples if sample.key not in dropped),
        whole=record.whole_at == batch.position,
    )


def check_cursor(record: DeliveryRecord, cursor: int) -> Refusal | None:
    """Refuse a cursor that was never issued or is already acknowledged."""
    if record.cancelled:
        return refuse_cancelled()
    if cursor > record.sealed:
        return refuse_unread_cursor(cursor, record.sealed)
    if cursor >= record.acknowledged:
        return None
    return Refusal(
        RefusalCode.conflict,
        f'Batches before {record.acknowledged} are acknowledged '
        'and not delivered again.',
        not_run=True,
        step='read cursor',
    )


def refuse_unread_cursor(cursor: int, sealed: int) -> Refusal:
    """Refuse a cursor that would skip batches that were never read."""
    return Refusal(
        RefusalCode.invalid_body,
        f'Cursor {cursor} lies beyond {sealed}, the last one given out.',
        not_run=True,
        step='read cursor',
    )


def refuse_cancelled() -> Refusal:
    """Refuse any request for a cancelled step."""
    return Refusal(
        RefusalCode.cancelled,
        'The step was cancelled.',
        not_run=True,
        step='read cursor',
    )
