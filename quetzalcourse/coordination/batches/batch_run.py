"""A batch that this daemon owns."""

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

    :param owner_version: version of the owner's row, which every commit
        names; once another daemon owns the batch no commit takes effect.
    :param due: time since boot at which its results are due.
    :param expires_at: time since boot after which items may be given up.
    :param saved_at: time since boot at which texts were saved last.
    :param committed: results that stand in the store.
    :param uncommitted: results that do not yet.
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
        """Whether every result stands in the store."""
        return self.committed >= self.head.total

    def count_unfinished(self) -> int:
        """Count the items that have no result yet."""
        return sum(run.state is not ItemState.finished for run in self.items)

    def finish(self, run: ItemRun, result: ItemResult) -> None:
        """Take the result of an item."""
        if run.state is ItemState.finished:
            return
        run.state = ItemState.finished
        self.uncommitted.append(result)
        self.wake.set()

    def take_uncommitted(self) -> list[ItemResult]:
        """Take as many finished results as one commit holds."""
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
        """Give the texts of unfinished items, by their ranks."""
        saved = {run.index: run.build_partial() for run in self.items}
        return {
            rank: partial
            for rank, partial in saved.items()
            if partial is not None
        }

    def collect_changed_partials(
        self, oldest: timedelta
    ) -> dict[int, PartialText]:
        """Give the texts that went on since they were saved last.

        :param oldest: time since boot before which an attempt began.
        """
        return {
            run.index: partial
            for run in self.items
            if _is_worth_saving(run, oldest)
            and (partial := run.build_partial()) is not None
        }

    def restore(self, partials: Sequence[PartialText]) -> None:
        """Go on from the texts that an earlier owner saved."""
        runs = {run.item.id: run for run in self.items}
        for partial in partials:
            runs[partial.item].restore(partial)

    def stop(self) -> None:
        """Stop all items; what was not committed is run again elsewhere."""
        for run in self.items:
            if run.task is not None:
                run.task.cancel()
        if self.commit_task is not None:
            self.commit_task.cancel()


def _is_worth_saving(run: ItemRun, oldest: timedelta) -> bool:
    """Tell whether an owner's death would cost more than its saving.

    A whole text is saved however quickly it was made: it waits for its
    score while the service that gives it is slow or away.
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
    """Build the run of a batch, also of one that another daemon began.

    :param results: results that stand already.
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
