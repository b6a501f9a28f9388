"""Log of a step: batches by position, each from one lease holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalcourse.coordination.steps.step_rows import (
    build_batch_key,
    build_log_prefix,
    build_open_key,
    decode,
    encode,
)
from quetzalcourse.state.rows import Write
from quetzalcourse.state.steps import (
    DroppedSample,
    Sample,
    SampleKey,
    StepBatch,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.coordination.steps.fenced_writer import FencedWriter
    from quetzalcourse.state.rows import StoreFault
    from quetzalcourse.state.steps import RunReport, StepSpec

SCAN_LIMIT = 64


class StepLog:
    """Log of one step, as the holder of its lease writes it.

    The holder loads the whole log before it writes, and every write
    requires the row of the lease, so that no two holders commit the same
    sample.

    :param writer: writes under the lease on the step.
    """

    def __init__(
        self,
        table: Table,
        writer: FencedWriter,
        spec: StepSpec,
    ) -> None:
        """Start with an empty log, before :meth:`load`."""
        self.positions = 0
        self.committed: dict[SampleKey, int] = {}
        self._table = table
        self._writer = writer
        self._spec = spec

    async def load(self) -> Result[None, StoreFault]:
        """Load every batch that earlier holders committed."""
        prefix = build_log_prefix(self._spec.trainer, self._spec.step)
        after = ''
        while True:
            answer = await self._table.scan(prefix, after, SCAN_LIMIT)
            if isinstance(answer, Err):
                return answer
            for row in answer.ok_value:
                self._record_batch(decode(row, StepBatch))
                after = row.key
            if len(answer.ok_value) < SCAN_LIMIT:
                return Ok(None)

    def drop(self, dropped: Iterable[DroppedSample]) -> list[SampleKey]:
        """Forget samples that were too old when they were read.

        :returns: keys of the samples that have to be generated again.
        """
        missing = [
            sample.key
            for sample in dropped
            if self.committed.get(sample.key) == sample.position
        ]
        for key in missing:
            self.committed.pop(key)
        return missing

    async def append(
        self,
        samples: tuple[Sample, ...],
        report: RunReport,
    ) -> None:
        """Commit samples, retrying until the store confirms them.

        :param report: progress report to write in the same transaction.
        :raises StepLeaseLostError: if another daemon took over the lease.
        """
        batch = StepBatch(self.positions, samples)
        await self._writer.insert(
            *self._build_row(batch), self._build_report_write(report)
        )
        self._record_batch(batch)

    async def try_append(
        self,
        samples: tuple[Sample, ...],
        report: RunReport,
    ) -> bool:
        """Try once to commit samples, before the run ends."""
        batch = StepBatch(self.positions, samples)
        return await self._writer.try_insert(
            *self._build_row(batch), self._build_report_write(report)
        )

    def _build_row(self, batch: StepBatch) -> tuple[str, bytes]:
        spec = self._spec
        key = build_batch_key(spec.trainer, spec.step, batch.position)
        return key, encode(batch)

    def _build_report_write(self, report: RunReport) -> Write:
        key = build_open_key(self._spec.trainer, self._spec.step)
        return Write(key, encode(report))

    def _record_batch(self, batch: StepBatch) -> None:
        self.positions = batch.position + 1
        for sample in batch.samples:
            self.committed[sample.key] = batch.position
