"""Parts of a daemon that accept, run and show batches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.adoption import BatchKeeper
from quetzalcourse.coordination.batches.batch_rows import BatchRows
from quetzalcourse.coordination.batches.batches import Batches
from quetzalcourse.coordination.batches.directory import BatchDirectory
from quetzalcourse.coordination.batches.placement import Placement
from quetzalcourse.coordination.batches.result_reader import ResultReader
from quetzalcourse.coordination.batches.runner import BatchRunner
from quetzalcourse.coordination.batches.scoring import ItemScoring

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.runner import ItemRunner
    from quetzalcourse.coordination.batches.scoring import Scorer
    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.feeds.presence import Presence
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.deployment import StoreParts
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters


@dataclass(frozen=True, slots=True)
class BatchCalls:
    """Calls to upstreams that batches need."""

    items: ItemRunner
    scorer: Scorer


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
    store: StoreParts,
    feed: TableFollower,
    calls: BatchCalls,
    pool: Pool,
    routes: RouteTable,
    presence: Presence,
    clock: Clock,
    counters: Counters,
) -> BatchParts:
    """Build the parts and connect them.

    :param feed: follows the small rows of batches.
    """
    rows = BatchRows(store.table)
    directory = BatchDirectory(feed)
    reader = ResultReader(rows, directory, clock)
    runner = BatchRunner(
        rows,
        calls.items,
        ItemScoring(calls.scorer, pool, routes, clock, counters),
        Placement(pool, clock),
        pool,
        routes,
        clock,
        counters,
    )
    runner.on_committed(reader.on_committed)
    keeper = BatchKeeper(rows, directory, runner, presence, store.clock, clock)
    batches = Batches(
        rows, directory, reader, runner, presence, store.clock, clock
    )
    return BatchParts(reader, runner, keeper, batches)
