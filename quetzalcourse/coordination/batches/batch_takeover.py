"""Takes over batches of failed owners, and removes expired batches."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.batches.batch_rows import (
    OWNER,
    AppliedWrite,
    name_row,
)
from quetzalcourse.coordination.batches.batch_run import build_batch_run
from quetzalcourse.coordination.batches.failover import rank_successors
from quetzalcourse.coordination.batches.runner import ENDED
from quetzalcourse.coordination.slots.ownership import rank_members
from quetzalcourse.coordination.tasks import BackgroundTasks, wait_event
from quetzalcourse.log import get_log
from quetzalcourse.state.batches import MILLISECOND, Ownership

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.batch_rows import BatchRows
    from quetzalcourse.coordination.batches.directory import (
        BatchDirectory,
        BatchView,
    )
    from quetzalcourse.coordination.batches.runner import BatchRunner
    from quetzalcourse.coordination.feeds.ports import StoreClock
    from quetzalcourse.coordination.feeds.presence import Presence
    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.state.clock import Clock

ACTIVE_INTERVAL = timedelta(milliseconds=150)
IDLE_INTERVAL = timedelta(milliseconds=500)
# All daemons rank the successors alike. Each waits this much longer than the
# one before it, in case that one can't reach the store.
SUCCESSOR_DELAY = timedelta(milliseconds=400)
RESULT_RETENTION = timedelta(minutes=2)
REMOVAL_MARGIN = timedelta(seconds=30)
# Equals the time without heartbeats after which a daemon counts as dead.
OWNERSHIP_GRACE = timedelta(seconds=1.4)
REMOVAL_INTERVAL = timedelta(seconds=1)
log = get_log('batches')


class BatchTakeover:
    """Gives every open batch a live owner.

    ``result_retention`` is the age up to which results of a batch are read.
    """

    def __init__(
        self,
        rows: BatchRows,
        directory: BatchDirectory,
        runner: BatchRunner,
        presence: Presence,
        store_clock: StoreClock,
        clock: Clock,
        residency: Residency,
    ) -> None:
        """Subscribe to changes of batches."""
        self.result_retention = RESULT_RETENTION
        self._rows = rows
        self._directory = directory
        self._runner = runner
        self._presence = presence
        self._store_clock = store_clock
        self._clock = clock
        self._residency = residency
        self._orphaned: dict[str, timedelta] = {}
        self._in_progress: dict[str, asyncio.Task[None]] = {}
        self._owners_seen: dict[str, tuple[int, timedelta]] = {}
        self._removed_at = timedelta(0)
        self._wake = asyncio.Event()
        self._tasks = BackgroundTasks('takeover')
        directory.on_change(self.on_batch)

    def on_batch(self, view: BatchView) -> None:
        """Stop running a batch that ended or has another owner."""
        self._record_owner(view)
        if view.open and view.owner is not None and not view.owner.incarnation:
            # Its owner released it; there is no timeout to wait for.
            self._wake.set()
        run = self._runner.batches.get(view.id)
        if run is None:
            return
        if view.ended:
            self._runner.drop(view.id, ENDED)
        elif view.owner_version > run.owner_version:
            self._runner.drop(view.id, 'deposed')

    async def run(self) -> None:
        """Take over orphaned batches until the task is cancelled."""
        while True:
            self._wake.clear()
            if not self._presence.own.leaving:
                self._check_batches()
            await wait_event(self._wake, self._choose_interval())

    def _choose_interval(self) -> timedelta:
        """Choose the interval until batches are checked again.

        The daemons that take over first check often. All others wait for
        them anyway, and frequent checks would load hundreds of daemons.
        """
        if self._presence.watching or self._orphaned:
            return ACTIVE_INTERVAL
        return IDLE_INTERVAL

    async def hand_over(self) -> None:
        """Release every batch, so that others can take it over at once."""
        self._runner.paused = True
        owned = list(self._runner.batches.values())
        nobody = Ownership('', '', 0)
        for batch in owned:
            self._runner.drop(batch.head.id, 'handed over')
        # The texts are saved too: a long item that restarted with each stop
        # of a rolling restart would end seconds late.
        await asyncio.gather(
            *(
                self._rows.save_partials(
                    batch.head.id,
                    batch.owner_version,
                    batch.collect_partials(),
                    nobody,
                )
                for batch in owned
            )
        )

    def _check_batches(self) -> None:
        now = self._clock.elapsed()
        for view in list(self._directory.batches.values()):
            if self._is_orphaned(view):
                since = self._orphaned.setdefault(view.id, now)
                if now - since >= self._compute_delay(view):
                    self._start_takeover(view)
            else:
                self._orphaned.pop(view.id, None)
            if not view.open:
                self._remove_if_expired(view, now)

    def _is_orphaned(self, view: BatchView) -> bool:
        if not view.open or view.owner is None:
            return False
        if view.id in self._runner.batches or view.id in self._in_progress:
            return False
        if view.id in self._runner.accepting:
            return False
        owner = view.owner
        if owner.incarnation in {'', self._presence.own.incarnation}:
            return True
        replaced = self._presence.is_replaced(
            owner.vm, owner.incarnation, view.owner_version
        )
        if replaced:
            return True
        if (
            self._clock.elapsed() - self._owners_seen[view.id][1]
            < OWNERSHIP_GRACE
        ):
            return False
        return not self._presence.is_live(owner.vm, owner.incarnation)

    def _record_owner(self, view: BatchView) -> None:
        # A daemon that has just written itself as the owner is alive even if
        # its heartbeats are overdue: they may be delayed when that write was
        # not.
        shown = self._owners_seen.get(view.id)
        if shown is None or shown[0] != view.owner_version:
            now = self._clock.elapsed()
            self._owners_seen[view.id] = (view.owner_version, now)

    def _compute_delay(self, view: BatchView) -> timedelta:
        own = self._presence.own
        if view.owner is not None and view.owner.incarnation == own.incarnation:
            return timedelta(0)
        before = view.owner.incarnation if view.owner is not None else ''
        holders = self._residency.list_takeover_candidates(
            view.head,
            self._presence.list_live(),
            self._presence.find_data_centre(view.owner),
        )
        ranked = rank_successors(view.id, before, holders)
        return (
            SUCCESSOR_DELAY * ranked.index(own)
            if own in ranked
            else SUCCESSOR_DELAY * 9
        )

    def _start_takeover(self, view: BatchView) -> None:
        task = self._tasks.start(self._take_over(view))
        self._in_progress[view.id] = task
        task.add_done_callback(lambda _: self._in_progress.pop(view.id, None))

    async def _take_over(self, view: BatchView) -> None:
        own = self._presence.own
        before = view.owner
        assert before is not None and view.head is not None  # noqa: S101
        version = view.owner_version
        if before.incarnation != own.incarnation:
            owner = Ownership(own.vm, own.incarnation, before.term + 1)
            answer = await self._rows.take_ownership(view.id, version, owner)
            if isinstance(answer, Err):
                return
            if not isinstance(answer.ok_value, AppliedWrite):
                row = answer.ok_value
                if row.key == name_row(view.id, OWNER):
                    self._directory.adopt([row])
                return
            version = answer.ok_value.version
            log.info(
                'Batch is taken over.',
                batch=view.id,
                before=before.vm,
                before_incarnation=before.incarnation,
                listed=view.committed,
            )
        view.owner = Ownership(own.vm, own.incarnation, before.term + 1)
        view.owner_version = max(version, view.owner_version)
        items = await self._rows.read_items(view.id)
        results = await self._rows.read_results(view.id, 0)
        partials = await self._rows.read_partials(view.id)
        if any(isinstance(read, Err) for read in (items, results, partials)):
            return
        store_now = self._store_clock.estimate() or timedelta(0)
        age = store_now - view.head.accepted_ms * MILLISECOND
        batch = build_batch_run(
            view.head,
            items.unwrap(),
            results.unwrap(),
            version,
            self._clock.elapsed() - age,
        )
        batch.restore(partials.unwrap())
        if batch.done or not view.may_run(version):
            return
        self._runner.add(batch)

    def _remove_if_expired(self, view: BatchView, now: timedelta) -> None:
        store_now = self._store_clock.estimate()
        if view.head is None or store_now is None:
            return
        if now - self._removed_at < REMOVAL_INTERVAL:
            return
        age = store_now - view.head.accepted_ms * MILLISECOND
        if age < self.result_retention + REMOVAL_MARGIN:
            return
        ranked = rank_members(view.id, self._presence.list_live())
        if ranked and ranked[0] == self._presence.own:
            self._removed_at = now
            task = self._tasks.start(self._remove(view))
            self._in_progress[view.id] = task
            task.add_done_callback(
                lambda _: self._in_progress.pop(view.id, None)
            )

    async def _remove(self, view: BatchView) -> None:
        answer = await self._rows.remove(view.id)
        if isinstance(answer, Err):
            return
        self._owners_seen.pop(view.id, None)
        log.info('Removed an expired batch.', batch=view.id)
