"""Commits the results of owned batches to the store."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.batches.batch_rows import AppliedWrite
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.batches.batch_rows import BatchRows
    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.state.batches import ItemResult, PartialText
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

    CommitListener = Callable[[str, int, list[ItemResult]], None]

COMMIT_RETRY_DELAY = timedelta(milliseconds=150)
# Results that finish within this interval share one write to the store.
COMMIT_INTERVAL = timedelta(milliseconds=20)
log = get_log('batches')


class BatchWriter:
    """Writes results and texts, conditional on the owner row."""

    def __init__(
        self,
        rows: BatchRows,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Store the dependencies."""
        self._rows = rows
        self._clock = clock
        self._counters = counters
        self._listeners: list[CommitListener] = []

    def on_committed(self, listener: CommitListener) -> None:
        """Call a listener with newly committed results.

        It is called with the id of the batch, the position of the first of
        them and the results.
        """
        self._listeners.append(listener)

    async def commit(self, batch: BatchRun) -> bool:
        """Commit results as they finish, until all are committed.

        :returns: ``False`` if another daemon owns the batch now.
        """
        while not batch.done:
            await batch.wake.wait()
            await self._clock.sleep(COMMIT_INTERVAL)
            batch.wake.clear()
            results = batch.take_uncommitted()
            if results and not await self._write(batch, results):
                return False
        return True

    async def save_partials(
        self,
        batch: BatchRun,
        partials: dict[int, PartialText],
    ) -> None:
        """Save texts without a result yet for the next owner.

        A text that is not saved only has to be generated again.
        """
        answer = await self._rows.save_partials(
            batch.head.id, batch.owner_version, partials
        )
        saved = answer.is_ok() and isinstance(answer.unwrap(), AppliedWrite)
        self._counters.add('batch_texts_saved', saved=str(saved))

    async def _write(self, batch: BatchRun, results: list[ItemResult]) -> bool:
        """Write results, and retry until they are committed.

        :returns: whether this daemon still owns the batch.
        """
        outcome_unknown = False
        while True:
            answer = await self._rows.commit_results(
                batch.head.id, batch.owner_version, batch.committed, results
            )
            if isinstance(answer, Err):
                # The write may have been applied; if so, the next attempt
                # conflicts with the row that it wrote.
                outcome_unknown = True
                await self._clock.sleep(COMMIT_RETRY_DELAY)
                continue
            written = isinstance(answer.ok_value, AppliedWrite)
            if written or (
                outcome_unknown and await self._is_committed(batch, results)
            ):
                self._on_written(batch, results)
                return True
            return False

    async def _is_committed(
        self, batch: BatchRun, results: list[ItemResult]
    ) -> bool:
        while True:
            answer = await self._rows.read_results(
                batch.head.id, batch.committed
            )
            if isinstance(answer, Err):
                await self._clock.sleep(COMMIT_RETRY_DELAY)
                continue
            return answer.ok_value[: len(results)] == results

    def _on_written(self, batch: BatchRun, results: list[ItemResult]) -> None:
        position = batch.committed
        batch.committed += len(results)
        for listener in self._listeners:
            listener(batch.head.id, position, results)
        self._counters.add('batch_results', len(results))
        log.info(
            'Results committed.',
            batch=batch.head.id,
            position=position,
            count=len(results),
            total=batch.head.total,
        )
