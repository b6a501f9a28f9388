"""Dispatches the items of the batches that this daemon owns."""

from __future__ import annotations

import asyncio
from collections import Counter
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.batches.carried_texts import NoCarriedTexts
from quetzalcourse.coordination.batches.item_run import ItemRun, ItemState
from quetzalcourse.coordination.batches.duration_predictor import (
    DurationPredictor,
)
from quetzalcourse.coordination.batches.item_order import UrgencyOrder
from quetzalcourse.coordination.batches.placement import PlacementRequest
from quetzalcourse.coordination.batches.slot_allocation import SlotDemand
from quetzalcourse.coordination.forwarding.route_table import choose_service
from quetzalcourse.coordination.tasks import BackgroundTasks, wait_event
from quetzalcourse.log import get_log
from quetzalcourse.state.batches import ResultState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.batch_writer import BatchWriter
    from quetzalcourse.coordination.batches.item_order import ItemOrder
    from quetzalcourse.coordination.batches.placement import Placement
    from quetzalcourse.coordination.batches.scoring import ItemScoring
    from quetzalcourse.coordination.batches.slot_allocation import PlacementKey
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.forwarding.upstream_slot import UpstreamSlot
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.batches import ItemResult
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.routing import Route

    SlotDemandListener = Callable[[Collection[SlotDemand]], None]

DISPATCH_INTERVAL = timedelta(milliseconds=50)
# Interval at which the texts of long items are saved for the next owner.
SAVE_INTERVAL = timedelta(milliseconds=350)
# Without a batch there is nothing to dispatch; a new one wakes the loop.
IDLE_INTERVAL = timedelta(seconds=1)
# Reason to stop running a batch that its caller ended.
ENDED = 'ended'
log = get_log('batches')


class TextKeeper(Protocol):
    """Keeps the texts of ended batches for later ones."""

    def keep(self, batch: BatchRun) -> None:
        """Keep the texts of a batch that ended."""

    def restore(self, batch: BatchRun, others: Iterable[BatchRun]) -> None:
        """Continue a batch that starts from the texts of ended ones.

        :param others: batches that still run here.
        """


class ItemRunner(Protocol):
    """Runs one attempt of an item at an upstream."""

    async def run(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
    ) -> ItemResult | None:
        """Run an item until it ends or the attempt fails.

        :returns: its result, ``None`` if it has to be retried.
        """


class BatchRunner:
    """Starts items on upstreams, commits their results, and stops them.

    ``accepting`` holds the ids of batches that are being accepted here. They
    run here once they are written, so takeover must not treat them as
    orphaned. ``ended_texts`` keeps the texts of ended batches for later ones.
    """

    def __init__(
        self,
        items: ItemRunner,
        scoring: ItemScoring,
        writer: BatchWriter,
        placement: Placement,
        pool: Pool,
        residency: Residency,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        """Initialise without batches."""
        self._residency = residency
        self.batches: dict[str, BatchRun] = {}
        self.accepting: set[str] = set()
        self.paused = False
        self.ended_texts: TextKeeper = NoCarriedTexts()
        self._items = items
        self._scoring = scoring
        self._placement = placement
        self._pool = pool
        self._routes = residency.routes
        self._quarantine = quarantine
        self._clock = clock
        self.durations = DurationPredictor()
        self._order: ItemOrder = UrgencyOrder(self.durations)
        self._writer = writer
        self._wake = asyncio.Event()
        self._tasks = BackgroundTasks('batches')
        self._begin_listeners: list[Callable[[], None]] = []
        self._placed_listeners: list[SlotDemandListener] = []
        self._any_unplaced = False
        scoring.on_end(self._wake.set)

    def use_order(self, order: ItemOrder) -> None:
        """Start waiting items in another order."""
        self._order = order

    def on_batch_start(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever a batch starts."""
        self._begin_listeners.append(listener)

    def on_placed(self, listener: SlotDemandListener) -> None:
        """Call a listener with the unmet slot demand after each dispatch."""
        self._placed_listeners.append(listener)

    def on_slots_freed(self) -> None:
        """Dispatch again, since slots may have become free."""
        if self._any_unplaced:
            self._wake.set()

    @property
    def manifest_version(self) -> int:
        """Version of the routing manifest that items are sent by."""
        return self._routes.version

    def has_allowed_upstream(self, route: Route, client_account: str) -> bool:
        """Tell whether an upstream in the allowed regions accepts work."""
        allowed = self._residency.find_allowed(route, client_account)
        if allowed is None:
            return True
        return any(
            upstream.accepts_work and upstream.is_allowed(allowed)
            for target in route.targets
            for upstream in self._pool.list_service(target.service)
        )

    def add(self, batch: BatchRun) -> None:
        """Start a batch, unless it is already running here."""
        if batch.head.id in self.batches:
            log.warning('Batch is already running here.', batch=batch.head.id)
            return
        self.ended_texts.restore(batch, self.batches.values())
        self.batches[batch.head.id] = batch
        batch.commit_task = self._tasks.start(self._commit(batch))
        self._wake.set()
        for listener in self._begin_listeners:
            listener()

    def drop(self, batch_id: str, reason: str) -> BatchRun | None:
        """Stop running a batch.

        :param reason: reason for the log.
        """
        batch = self.batches.pop(batch_id, None)
        if batch is not None:
            batch.stop()
            if reason == ENDED:
                self.ended_texts.keep(batch)
            log.info(
                'Stopped running a batch.',
                batch=batch_id,
                reason=reason,
                listed=batch.committed,
                total=batch.head.total,
            )
        return batch

    def report_metrics(self, counters: Counters) -> None:
        """Update the gauges of running and waiting items."""
        states = Counter(
            run.state for batch in self.batches.values() for run in batch.items
        )
        counters.set('batches_owned', len(self.batches))
        counters.set('items_held', self._placement.count_held())
        counters.set('items_running', states[ItemState.running])
        counters.set('items_waiting', states[ItemState.waiting])
        counters.set('items_unscored', states[ItemState.unscored])
        self._order.report_metrics(counters)

    async def run(self) -> None:
        """Start items as slots become free, until the task is cancelled."""
        while True:
            self._wake.clear()
            if not self.paused:
                self._dispatch()
            await wait_event(
                self._wake, DISPATCH_INTERVAL if self.batches else IDLE_INTERVAL
            )

    def _dispatch(self) -> None:
        now = self._clock.elapsed()
        waiting: list[tuple[BatchRun, ItemRun]] = []
        for batch in sorted(self.batches.values(), key=lambda one: one.due):
            if now >= batch.expires_at:
                self._abandon(batch)
                continue
            self._save_partials(batch, now)
            for run in batch.items:
                if run.state is ItemState.running:
                    self._consider_migration(batch, run)
                elif run.retry_at > now:
                    continue
                elif run.state is ItemState.waiting:
                    waiting.append((batch, run))
                elif run.state is ItemState.unscored:
                    self._scoring.begin(batch, run)
        self._order.update(self.batches.values(), waiting)
        self._begin_waiting(waiting)

    def _begin_waiting(
        self,
        waiting: Sequence[tuple[BatchRun, ItemRun]],
    ) -> None:
        # Once an item finds no slot, further items with the same key find none,
        # unless it waits for a faster one.
        self._placement.start_round()
        held: dict[PlacementKey, SlotDemand] = {}
        full: dict[PlacementKey, SlotDemand] = {}
        for batch, run in self._order.sort(waiting):
            request = self._build_request(batch, run)
            if request is None:
                self._on_missing_route(batch, run)
            elif request.key not in full and not self._begin(
                batch, run, request
            ):
                demand = SlotDemand(
                    request.key,
                    request.latest_start,
                    self._order.find_open_work(batch),
                )
                waits = self._placement.holds(request)
                (held if waits else full).setdefault(request.key, demand)
        demands = full | held
        self._any_unplaced = bool(demands)
        for listener in self._placed_listeners:
            listener(demands.values())

    def _on_missing_route(self, batch: BatchRun, run: ItemRun) -> None:
        # An unknown route is a removed one only if the manifest here is new
        # enough: the batch may come from a daemon with a newer manifest that
        # has not arrived here yet.
        if self._routes.version >= batch.head.manifest_version:
            batch.finish(run, run.build_abandoned_result())

    def _save_partials(self, batch: BatchRun, now: timedelta) -> None:
        # The texts in memory are lost if the owner dies. The next owner
        # continues long items from the texts that are saved here.
        if now - batch.saved_at < SAVE_INTERVAL:
            return
        partials = batch.collect_changed_partials(now - SAVE_INTERVAL)
        if partials:
            batch.saved_at = now
            self._tasks.start(self._writer.save_partials(batch, partials))

    def _begin(
        self, batch: BatchRun, run: ItemRun, request: PlacementRequest
    ) -> bool:
        upstream = self._placement.choose(request)
        if upstream is None:
            return False
        # Taken here and not in the task, which starts later: otherwise all
        # items of one dispatch would see the same upstream as idle.
        self._start(batch, run, self._pool.take_slot(upstream))
        return True

    def _start(self, batch: BatchRun, run: ItemRun, slot: UpstreamSlot) -> None:
        upstream = slot.upstream
        run.state = ItemState.running
        run.upstream = upstream.name
        run.started_at = self._clock.elapsed()
        self._pool.on_send(upstream)
        run.task = self._tasks.start(self._attempt(batch, run, upstream))
        slot.assign(run.task)
        run.task.add_done_callback(partial(self._on_attempt_done, run))

    def _on_attempt_done(self, run: ItemRun, task: asyncio.Task[None]) -> None:
        self._wake.set()
        if run.task is not task:
            return
        run.task = None
        run.migration_slot = None
        if run.state is ItemState.running:
            # The attempt failed or was cancelled without a result; the item
            # would count as running until it expires.
            run.state = ItemState.waiting
            run.back_off(self._clock.elapsed())

    def _build_request(
        self, batch: BatchRun, run: ItemRun
    ) -> PlacementRequest | None:
        route = self._routes.find(batch.head.route)
        if route is None:
            return None
        return PlacementRequest(
            choose_service(route, run.item.id),
            batch.head.model,
            batch.head.min_version,
            run.avoided,
            self._order.compute_latest_start(batch, run),
            self._residency.find_batch_regions(batch.head),
            self.durations.predict_remaining_events(
                batch.head.model, run.item.length_estimate, len(run.texts)
            ),
        )

    def _consider_migration(self, batch: BatchRun, run: ItemRun) -> None:
        upstream = self._pool.find(run.upstream)
        if run.migration_slot is not None or run.last_event is None:
            return
        if run.task is None:
            return
        if upstream is None or not self._placement.is_slower_than_usual(
            upstream
        ):
            return
        request = self._build_request(batch, run)
        if request is None:
            return
        remaining_events = self.durations.predict_remaining_events(
            batch.head.model, run.item.length_estimate, len(run.texts)
        )
        target = self._placement.choose_migration_target(
            request, upstream, remaining_events
        )
        if target is None or not _allows_version(batch, run, target):
            return
        run.migration_slot = self._pool.take_slot(target)
        run.migration_slot.assign(run.task)

    async def _attempt(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
    ) -> None:
        resumed = run.last_event is not None
        result = await self._items.run(batch, run, upstream)
        migration_slot = run.migration_slot
        run.migration_slot = None
        if result is None:
            run.avoided = upstream.name
            run.state = ItemState.waiting
            if migration_slot is not None:
                self._migrate(batch, run, migration_slot)
            return
        self._quarantine.on_answer(run.fingerprint, upstream.run_id)
        if result.state is ResultState.completed and not resumed:
            self.durations.observe(
                batch.head.model,
                run.item.length_estimate,
                len(run.texts),
                self._clock.elapsed() - run.started_at,
            )
        if result.state is ResultState.abandoned:
            log.warning(
                'Item abandoned.', batch=batch.head.id, item=run.item.id
            )
        elif run.item.scoring is not None:
            run.await_score()
            return
        batch.finish(run, result)

    def _migrate(
        self, batch: BatchRun, run: ItemRun, slot: UpstreamSlot
    ) -> None:
        """Continue an item where a slot is reserved for it, if it still may."""
        target = slot.upstream
        # It may have left or restarted since its slot was reserved.
        usable = (
            self._pool.find(target.name) is target
            and target.is_available(self._clock.elapsed())
            and self._pool.cold_starts.admits(target)
        )
        if usable and run.retry_at <= self._clock.elapsed():
            self._start(batch, run, slot)

    def _abandon(self, batch: BatchRun) -> None:
        for run in batch.items:
            if run.state is ItemState.finished:
                continue
            if run.task is not None:
                run.task.cancel()
            batch.finish(run, run.build_abandoned_result())

    async def _commit(self, batch: BatchRun) -> None:
        done = await self._writer.commit(batch)
        self._end(batch, 'done' if done else 'deposed')

    def _end(self, batch: BatchRun, reason: str) -> None:
        # A newer run of the same batch may have replaced it and goes on.
        batch.commit_task = None
        if self.batches.get(batch.head.id) is batch:
            self.drop(batch.head.id, reason)
        else:
            batch.stop()


def _allows_version(batch: BatchRun, run: ItemRun, upstream: Upstream) -> bool:
    """Tell whether moving keeps a single-version text on one version."""
    held = upstream.find_version(batch.head.model)
    return not batch.head.single_version or run.versions[-1:] == [held]
