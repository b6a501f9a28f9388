"""Parts of a daemon that accept, run and show batches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.adoption import BatchKeeper
from quetzalcourse.coordination.batches.batch_rows import BatchRows
from quetzalcourse.coordination.batches.batch_writer import BatchWriter
from quetzalcourse.coordination.batches.batches import Batches
from quetzalcourse.coordination.batches.directory import BatchDirectory
from quetzalcourse.coordination.batches.homes import BatchHomes
from quetzalcourse.coordination.batches.placement import Placement
from quetzalcourse.coordination.batches.result_reader import ResultReader
from quetzalcourse.coordination.batches.runner import BatchRunner
from quetzalcourse.coordination.batches.scoring import ItemScoring

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.runner import ItemRunner
    from quetzalcourse.coordination.batches.scoring import Scorer
    from quetzalcourse.coordination.feeds.ports import StoreClock
    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.feed_parts import FeedParts
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters


@dataclass(frozen=True, slots=True)
class BatchCalls:
    """Calls to upstreams and to other daemons that batches need."""

    items: ItemRunner
    scorer: Scorer
    peers: Peers


@dataclass(frozen=True, slots=True)
class BatchParts:
    """All that a daemon does about batches."""

    reader: ResultReader
    runner: BatchRunner
    keeper: BatchKeeper
    batches: Batches

    def start(self, lifecycle: Lifecycle) -> None:
        """Run the parts in the background."""
        lifecycle.run('results', self.reader.run)
        lifecycle.run('items', self.runner.run)
        lifecycle.run('batches', self.keeper.run)


def build_batch_parts(
    feeds: FeedParts,
    store_clock: StoreClock,
    calls: BatchCalls,
    pool: Pool,
    routes: RouteTable,
    clock: Clock,
    counters: Counters,
) -> BatchParts:
    """Build the parts and connect them."""
    rows = BatchRows(feeds.store)
    directory = BatchDirectory(feeds.batches)
    reader = ResultReader(rows, directory, clock)
    writer = BatchWriter(rows, clock, counters)
    writer.on_committed(reader.on_committed)
    runner = BatchRunner(
        calls.items,
        ItemScoring(calls.scorer, pool, routes, clock, counters),
        writer,
        Placement(pool, clock),
        pool,
        routes,
        clock,
        counters,
    )
    members = feeds.presence
    keeper = BatchKeeper(rows, directory, runner, members, store_clock, clock)
    homes = BatchHomes(calls.peers, members, feeds.operators)
    batches = Batches(
        rows, directory, reader, runner, homes, members, store_clock, clock
    )
    homes.on_offer(batches.take_offer)
    return BatchParts(reader, runner, keeper, batches)
