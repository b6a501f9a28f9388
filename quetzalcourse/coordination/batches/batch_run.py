"""Runtime state of a batch that this daemon owns."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.batch_rows import COMMIT_BYTES
from quetzalcourse.coordination.batches.item_run import ItemRun, ItemState
from quetzalcourse.coordination.forwarding.fingerprint import (
    compute_fingerprint,
)
from quetzalcourse.state.batches import ResultState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.state.batches import (
        BatchHead,
        BatchItem,
        ItemResult,
        PartialText,
    )

POST = 'POST'


@dataclass(slots=True)
class BatchRun:
    """Items of a batch, and the results that wait to be committed.

    :param owner_version: version of the owner row, on which every commit is
        conditional; once another daemon owns the batch, commits fail.
    :param due: time since boot at which its results are due.
    :param expires_at: time since boot after which items may be abandoned.
    :param saved_at: time since boot at which texts were last saved.
    :param committed: number of results in the store.
    :param uncommitted: results that are not in the store yet.
    :param wake: set when there are results to commit.
    """

    head: BatchHead
    owner_version: int
    items: list[ItemRun]
    due: timedelta
    expires_at: timedelta
    saved_at: timedelta = timedelta(0)
    committed: int = 0
    uncommitted: list[ItemResult] = field(default_factory=list)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    commit_task: asyncio.Task[None] | None = None

    @property
    def done(self) -> bool:
        """Whether every result is in the store."""
        return self.committed >= self.head.total

    def count_unfinished(self) -> int:
        """Count the items without a result."""
        return sum(run.state is not ItemState.finished for run in self.items)

    def finish(self, run: ItemRun, result: ItemResult) -> None:
        """Queue the result of an item for the next commit."""
        if run.state is ItemState.finished:
            return
        run.state = ItemState.finished
        run.completed = result.state is ResultState.completed
        self.uncommitted.append(result)
        self.wake.set()

    def take_uncommitted(self) -> list[ItemResult]:
        """Remove and return as many queued results as fit in one commit."""
        size = 0
        count = 0
        for result in self.uncommitted:
            size += len(result.text)
            if count and size > COMMIT_BYTES:
                break
            count += 1
        taken = self.uncommitted[:count]
        self.uncommitted = self.uncommitted[count:]
        if self.uncommitted:
            self.wake.set()
        return taken

    def collect_partials(self) -> dict[int, PartialText]:
        """Collect the texts of unfinished items by item index."""
        saved = {run.index: run.build_partial() for run in self.items}
        return {
            rank: partial
            for rank, partial in saved.items()
            if partial is not None
        }

    def collect_changed_partials(
        self, oldest: timedelta
    ) -> dict[int, PartialText]:
        """Collect the texts that changed since they were last saved.

        :param oldest: time since boot; attempts that started later are left
            out.
        """
        return {
            run.index: partial
            for run in self.items
            if _is_worth_saving(run, oldest)
            and (partial := run.build_partial()) is not None
        }

    def restore(self, partials: Sequence[PartialText]) -> None:
        """Continue from the texts that an earlier owner saved."""
        runs = {run.item.id: run for run in self.items}
        for partial in partials:
            runs[partial.item].restore(partial)

    def restore_item(self, run: ItemRun, partial: PartialText) -> None:
        """Continue an item from a text of another batch.

        A complete text without a scoring call is its result at once.
        """
        run.restore(partial)
        if partial.whole and run.item.scoring is None:
            self.finish(run, run.build_completed_result())

    def stop(self) -> None:
        """Cancel all tasks; uncommitted items run again at the next owner."""
        for run in self.items:
            if run.task is not None:
                run.task.cancel()
        if self.commit_task is not None:
            self.commit_task.cancel()


def _is_worth_saving(run: ItemRun, oldest: timedelta) -> bool:
    """Tell whether losing a text would cost more than saving it.

    A complete text is saved even if it was generated quickly: it may wait
    long for its score while the scoring service is slow or unreachable.
    """
    if run.text_complete:
        return not run.saved_complete
    return run.started_at < oldest and run.last_event != run.saved_event


def build_batch_run(
    head: BatchHead,
    items: Sequence[BatchItem],
    results: Sequence[ItemResult],
    owner_version: int,
    accepted_at: timedelta,
) -> BatchRun:
    """Build the run of a new batch, or of one that is taken over.

    :param results: results that are already in the store.
    :param accepted_at: time since boot at which it was first submitted.
    """
    listed = {result.id for result in results}
    runs = [_build_run(head, item, rank) for rank, item in enumerate(items)]
    for run in runs:
        if run.item.id in listed:
            run.state = ItemState.finished
    return BatchRun(
        head,
        owner_version,
        runs,
        due=accepted_at + timedelta(milliseconds=head.due_ms),
        expires_at=accepted_at + timedelta(milliseconds=head.lifetime_ms),
        committed=len(results),
    )


def _build_run(head: BatchHead, item: BatchItem, rank: int) -> ItemRun:
    run = ItemRun(item, rank)
    run.fingerprint = compute_fingerprint(
        POST, head.host, item.path, head.client_account, (item.body,)
    )
    call = item.scoring
    if call is not None:
        run.scoring_fingerprint = compute_fingerprint(
            POST, call.host, call.path, '', (call.body,)
        )
    return run
