"""Builds the components that accept and run batches and serve results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.batch_takeover import BatchTakeover
from quetzalcourse.coordination.batches.batch_rows import BatchRows
from quetzalcourse.coordination.batches.batch_writer import BatchWriter
from quetzalcourse.coordination.batches.batch_service import BatchService
from quetzalcourse.coordination.batches.carried_texts import CarriedTexts
from quetzalcourse.coordination.batches.directory import BatchDirectory
from quetzalcourse.coordination.batches.coordinator_list import CoordinatorList
from quetzalcourse.coordination.batches.slot_usage_updates import (
    SlotUsageUpdates,
)
from quetzalcourse.coordination.batches.coordinators import BatchCoordinators
from quetzalcourse.coordination.batches.owner_watch import OwnerWatch
from quetzalcourse.coordination.batches.placement import Placement
from quetzalcourse.coordination.batches.result_notifications import (
    ResultNotifications,
)
from quetzalcourse.coordination.batches.result_reader import ResultReader
from quetzalcourse.coordination.batches.runner import BatchRunner
from quetzalcourse.coordination.batches.scoring import ItemScoring
from quetzalcourse.coordination.batches.slot_allocation import SlotAllocator
from quetzalcourse.coordination.versions.load_updates import LoadUpdates

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.runner import ItemRunner
    from quetzalcourse.coordination.batches.scoring import Scorer
    from quetzalcourse.coordination.feeds.ports import StoreClock
    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.feed_components import FeedComponents
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.settings.rollout import RolloutSettings
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters


@dataclass(frozen=True, slots=True)
class BatchCalls:
    """Clients for upstreams and other daemons that batches need."""

    items: ItemRunner
    scorer: Scorer
    peers: Peers


@dataclass(frozen=True, slots=True)
class BatchComponents:
    """Batch components of a daemon."""

    directory: BatchDirectory
    result_reader: ResultReader
    runner: BatchRunner
    takeover: BatchTakeover
    owner_watch: OwnerWatch
    load_updates: LoadUpdates
    allocator: SlotAllocator
    service: BatchService

    def start(self, lifecycle: Lifecycle) -> None:
        """Run the components in the background."""
        lifecycle.run('results', self.result_reader.run)
        lifecycle.run('items', self.runner.run)
        lifecycle.run('batches', self.takeover.run)
        lifecycle.run('owners', self.owner_watch.run)


def build_batch_components(
    feeds: FeedComponents,
    store_clock: StoreClock,
    calls: BatchCalls,
    pool: Pool,
    residency: Residency,
    quarantine: Quarantine,
    clock: Clock,
    counters: Counters,
) -> BatchComponents:
    """Build the components and connect them."""
    rows = BatchRows(feeds.store)
    directory = BatchDirectory(feeds.batches)
    result_reader = ResultReader(rows, directory, clock)
    writer = BatchWriter(rows, clock, counters)
    writer.on_committed(result_reader.on_committed)
    members = feeds.presence
    allocator = SlotAllocator(members, pool, clock)
    runner = BatchRunner(
        calls.items,
        ItemScoring(calls.scorer, pool, residency, quarantine, clock, counters),
        writer,
        Placement(pool, allocator, clock),
        pool,
        residency,
        quarantine,
        clock,
    )
    members.set_urgency_check(lambda: bool(runner.batches))
    runner.on_batch_start(members.announce)
    coordinators = CoordinatorList(directory, residency.routes, members)
    notifications = ResultNotifications(
        directory, runner, result_reader, calls.peers, members, clock
    )
    writer.on_committed(notifications.on_committed)
    _connect_coordinators(
        runner,
        SlotUsageUpdates(allocator, pool, coordinators, calls.peers, clock),
    )
    batch_coordinators = BatchCoordinators(
        calls.peers, members, feeds.operators, residency
    )
    service = BatchService(
        rows,
        directory,
        result_reader,
        runner,
        batch_coordinators,
        members,
        store_clock,
        clock,
    )
    batch_coordinators.on_offer(service.accept_offer)
    return BatchComponents(
        directory,
        result_reader,
        runner,
        BatchTakeover(
            rows, directory, runner, members, store_clock, clock, residency
        ),
        OwnerWatch(
            directory, members, feeds.store, feeds.members, clock, residency
        ),
        LoadUpdates(coordinators, pool, calls.peers),
        allocator,
        service,
    )


def carry_texts(
    batches: BatchComponents,
    settings: RolloutSettings,
    pool: Pool,
    routes: RouteTable,
    clock: Clock,
    counters: Counters,
) -> None:
    """Let later batches use the texts of ended ones, if switched on."""
    if settings.load_control.carried_texts:
        batches.runner.ended_texts = CarriedTexts(pool, routes, clock, counters)


def _connect_coordinators(
    runner: BatchRunner, updates: SlotUsageUpdates
) -> None:
    runner.on_batch_start(updates.on_batch_start)
    runner.on_placed(updates.send_update)
    updates.on_update(runner.on_slots_freed)
