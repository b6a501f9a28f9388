"""Batch API for callers: submit, read and end batches."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err

from quetzalcourse.coordination.batches.batch_rows import (
    HEAD,
    AppliedWrite,
    name_row,
    split_items,
)
from quetzalcourse.coordination.batches.batch_run import build_batch_run
from quetzalcourse.coordination.batches.coordinators import (
    MAX_OPEN_ITEMS,
    OfferOutcome,
)
from quetzalcourse.coordination.batches.runner import ENDED
from quetzalcourse.exceptions import QuetzalcourseError, RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.state.batches import (
    MILLISECOND,
    BatchHead,
    Ownership,
    ResultPage,
)
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.rows import ABSENT, FaultKind, Row

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.batches.batch_rows import BatchRows
    from quetzalcourse.coordination.batches.directory import (
        BatchDirectory,
        BatchView,
    )
    from quetzalcourse.coordination.batches.coordinators import (
        BatchCoordinators,
    )
    from quetzalcourse.coordination.batches.result_reader import ResultReader
    from quetzalcourse.coordination.batches.runner import BatchRunner
    from quetzalcourse.coordination.feeds.ports import StoreClock
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.batches import BatchItem, Submission
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.routing import Route

RETRY_AFTER = timedelta(milliseconds=300)
CREATE_RETRY_DELAY = timedelta(milliseconds=100)
# While the store does not answer, a submission is refused after this time:
# its caller retries at another daemon, with most of the time until the batch
# is due still left.
CREATE_TIMEOUT = timedelta(seconds=2.5)
log = get_log('batches')


class OutcomeUnknownError(QuetzalcourseError):
    """Submission that may or may not have been accepted."""


class BatchService:
    """Handles the batch calls of callers."""

    def __init__(
        self,
        rows: BatchRows,
        directory: BatchDirectory,
        reader: ResultReader,
        runner: BatchRunner,
        coordinators: BatchCoordinators,
        members: MemberView,
        store_clock: StoreClock,
        clock: Clock,
    ) -> None:
        """Store the dependencies."""
        self._rows = rows
        self._directory = directory
        self._reader = reader
        self._runner = runner
        self._coordinators = coordinators
        self._members = members
        self._store_clock = store_clock
        self._clock = clock

    async def submit(
        self,
        batch_id: str,
        client_account: str,
        route: Route,
        submission: Submission,
    ) -> None:
        """Accept a batch durably; repeated calls are idempotent.

        :raises RefusedError: if the batch was certainly not accepted.
        :raises OutcomeUnknownError: if it may have been accepted.
        """
        if self._directory.find(batch_id) is not None:
            return
        if not self._runner.has_allowed_upstream(route, client_account):
            raise RefusedError(_refuse_regions())
        now = self._store_clock.estimate()
        if now is None:
            raise RefusedError(_refuse_store())
        head = msgspec.structs.replace(
            _build_head(batch_id, client_account, route, submission, now),
            manifest_version=self._runner.manifest_version,
        )
        outcome = await self._coordinators.offer(head, submission.items)
        if outcome is not OfferOutcome.accepted:
            outcome_unknown = outcome is OfferOutcome.unknown
            await self._accept(
                head, submission.items, outcome_unknown=outcome_unknown
            )

    async def accept_offer(
        self,
        head: BatchHead,
        items: Sequence[BatchItem],
    ) -> OfferOutcome:
        """Accept or decline a batch that another daemon offers."""
        if self._directory.find(head.id) is not None:
            return OfferOutcome.accepted
        running = sum(
            one.count_unfinished() for one in self._runner.batches.values()
        )
        able = (
            not self._members.own.leaving
            and running + len(items) <= MAX_OPEN_ITEMS
            and self._runner.manifest_version >= head.manifest_version
        )
        if not able:
            return OfferOutcome.declined
        try:
            await self._accept(head, items)
        except RefusedError:
            return OfferOutcome.declined
        except OutcomeUnknownError:
            return OfferOutcome.unknown
        return OfferOutcome.accepted

    async def _accept(
        self,
        head: BatchHead,
        items: Sequence[BatchItem],
        *,
        outcome_unknown: bool = False,
    ) -> None:
        """Write a batch to the store and start to run it.

        :param outcome_unknown: whether another daemon may have accepted it.
        """
        accepted_at = self._clock.elapsed()
        own = self._members.own
        owner = Ownership(own.vm, own.incarnation, 1)
        if own.leaving:
            owner = Ownership('', '', 1)
        # The feed may show the batch before its write is answered; without
        # this mark the takeover would treat it as orphaned.
        self._runner.accepting.add(head.id)
        try:
            written = await self._create(
                head, split_items(items), owner, outcome_unknown=outcome_unknown
            )
        finally:
            self._runner.accepting.discard(head.id)
        if written is None:
            return
        log.info(
            'Batch is accepted.',
            batch=head.id,
            items=head.total,
            step=head.step,
            min_version=head.min_version,
        )
        if owner.incarnation and self._may_run(head.id, written.version):
            self._runner.add(
                build_batch_run(head, items, (), written.version, accepted_at)
            )

    def _may_run(self, batch_id: str, owner_version: int) -> bool:
        # The feed may show that a batch ended, or was taken over, before its
        # write is answered here. It will not show that a second time.
        view = self._directory.find(batch_id)
        if view is None or view.may_run(owner_version):
            return True
        log.info(
            'Batch ended or was taken over before it could start here.',
            batch=batch_id,
            ended=view.ended,
        )
        return False

    async def read_results(
        self,
        batch_id: str,
        client_account: str,
        position: int,
        wait: timedelta,
    ) -> ResultPage:
        """Read results, starting at a position.

        :param wait: longest time to wait for the first of them.
        :raises RefusedError: if there is no such batch, or the store does not
            answer.
        """
        view = await self._find(batch_id, client_account)
        assert view.head is not None  # noqa: S101
        finished = view.ended or view.committed >= view.head.total
        wait_for = timedelta(0) if finished else wait
        answer = await self._reader.read(batch_id, position, wait_for)
        if isinstance(answer, Err):
            raise RefusedError(_refuse_store())
        return ResultPage(view.head.total, position, tuple(answer.ok_value))

    async def read_item(
        self,
        batch_id: str,
        client_account: str,
        item_id: str,
    ) -> bytes:
        """Read the body of an item.

        :raises RefusedError: if there is no such item, or the store does not
            answer.
        """
        await self._find(batch_id, client_account)
        items = await self._list_items(batch_id)
        for item in items:
            if item.id == item_id:
                return item.body
        raise RefusedError(_refuse_unknown())

    async def end(self, batch_id: str, client_account: str) -> None:
        """End a batch, so that none of its items starts any more.

        :raises RefusedError: if there is no such batch, or the store does not
            answer.
        """
        view = await self._find(batch_id, client_account)
        if view.ended:
            return
        answer = await self._rows.mark_ended(batch_id)
        if isinstance(answer, Err):
            raise RefusedError(_refuse_store())
        view.ended = True
        log.info('Batch ended by its caller.', batch=batch_id)
        self._runner.drop(batch_id, ENDED)

    async def _list_items(self, batch_id: str) -> list[BatchItem]:
        run = self._runner.batches.get(batch_id)
        if run is not None:
            return [item_run.item for item_run in run.items]
        answer = await self._rows.read_items(batch_id)
        if isinstance(answer, Err):
            raise RefusedError(_refuse_store())
        return answer.ok_value

    async def _find(self, batch_id: str, client_account: str) -> BatchView:
        view = self._directory.find(batch_id)
        if view is None:
            # The feed lags: the batch may be in the store already.
            answer = await self._rows.read_metadata(batch_id)
            if isinstance(answer, Err):
                raise RefusedError(_refuse_store())
            self._directory.adopt(answer.ok_value)
            view = self._directory.find(batch_id)
        if view is None or view.head is None:
            raise RefusedError(_refuse_unknown())
        if view.head.client_account != client_account:
            raise RefusedError(_refuse_unknown())
        return view

    async def _create(
        self,
        head: BatchHead,
        chunks: list[bytes],
        owner: Ownership,
        *,
        outcome_unknown: bool,
    ) -> AppliedWrite | None:
        """Write a batch, and retry until it is in the store.

        :param outcome_unknown: whether a write of it may already be in flight.
        :returns: the write, ``None`` if the batch existed already.
        """
        deadline = self._clock.elapsed() + CREATE_TIMEOUT
        replaced = ABSENT
        while self._clock.elapsed() < deadline:
            answer = await self._rows.create(head, chunks, owner, replaced)
            if isinstance(answer, Err):
                outcome_unknown |= answer.err_value.kind is FaultKind.unanswered
                await self._clock.sleep(CREATE_RETRY_DELAY)
                continue
            if isinstance(answer.ok_value, AppliedWrite):
                return answer.ok_value
            replaced = await self._read_existing(head.id, answer.ok_value)
            if self._directory.find(head.id) is not None:
                return None
        if outcome_unknown:
            raise OutcomeUnknownError(head.id)
        raise RefusedError(_refuse_store())

    async def _read_existing(self, batch_id: str, row: Row) -> int:
        """Read the rows that conflict with a new batch.

        :returns: version of the head row that the next write may replace.
        """
        if row.key == name_row(batch_id, HEAD) and row.version:
            self._directory.adopt([row])
        answer = await self._rows.read_metadata(batch_id)
        if isinstance(answer, Err):
            return row.version
        self._directory.adopt(answer.ok_value)
        view = self._directory.batches.get(batch_id)
        return view.head_version if view is not None else ABSENT


def _build_head(
    batch_id: str,
    client_account: str,
    route: Route,
    submission: Submission,
    now: timedelta,
) -> BatchHead:
    return BatchHead(
        id=batch_id,
        client_account=client_account,
        route=route.name,
        host=route.host,
        total=len(submission.items),
        accepted_ms=now // MILLISECOND,
        due_ms=route.results_due // MILLISECOND,
        lifetime_ms=route.item_lifetime // MILLISECOND,
        model=submission.model,
        step=submission.step,
        min_version=submission.min_version,
        wanted_groups=submission.wanted_groups,
        single_version=route.single_version,
        max_attempts=route.max_attempts,
    )


def _refuse_store() -> Refusal:
    return _refuse_for_now(
        RefusalCode.store_unavailable, 'The store does not answer now.'
    )


def _refuse_regions() -> Refusal:
    return _refuse_for_now(
        RefusalCode.overloaded,
        'No upstream in the allowed regions takes this batch now.',
    )


def _refuse_for_now(code: RefusalCode, reason: str) -> Refusal:
    return Refusal(
        code, reason, not_run=True, retry_after=RETRY_AFTER, step='batch'
    )


def _refuse_unknown() -> Refusal:
    return Refusal(
        RefusalCode.not_found,
        'There is no such batch or item.',
        not_run=True,
        step='batch',
    )
