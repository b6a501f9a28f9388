"""Builds the clients through which items of batches run and are scored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.batch_components import BatchCalls
from quetzalcourse.transport.item_client import ItemClient
from quetzalcourse.transport.scoring_client import ScoringClient

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.transport.crash_detector import CrashDetector
    from quetzalcourse.transport.dialect import UpstreamDialect
    from quetzalcourse.transport.upstream_client import UpstreamClient


def build_batch_calls(
    client: UpstreamClient,
    dialect: UpstreamDialect,
    pool: Pool,
    crash_detector: CrashDetector,
    peers: Peers,
    clock: Clock,
    counters: Counters,
) -> BatchCalls:
    """Build the clients that batches need."""
    return BatchCalls(
        ItemClient(client, dialect, pool, crash_detector, clock, counters),
        ScoringClient(client, dialect, pool, crash_detector),
        peers,
    )
