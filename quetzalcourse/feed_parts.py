"""Parts of a daemon that follow the store and the other daemons."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches import batch_rows
from quetzalcourse.coordination.feeds import presence
from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.coordination.feeds.relay_peers import RelayPeers
from quetzalcourse.coordination.feeds.liveness_probes import LivenessProbes
from quetzalcourse.coordination.feeds.readiness import StoreReadiness
from quetzalcourse.coordination.feeds.feed_relay import FeedRelay
from quetzalcourse.coordination.feeds.store_relay import StoreRelay

if TYPE_CHECKING:
    from quetzalcourse.coordination.duties.usage_windows import WindowCounts
    from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.deployment import Documents, StoreParts
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member

# Rows of these tables change several times a second; a reader that took
# each change alone would spend its time on answers of one row. Each daemon
# writes there, so the pauses grow with the daemons, and the store's reads
# stay the same: 125 a second of heartbeats and 200 of batches.
HEARTBEAT_READ_PAUSE = timedelta(milliseconds=250)
HEARTBEAT_READ_PAUSE_EACH = timedelta(milliseconds=8)
BATCH_PAUSE = timedelta(milliseconds=100)
BATCH_PAUSE_EACH = timedelta(milliseconds=5)
# Rows that a daemon may reach by way of another one.
RELAYED_TABLES = (
    batch_rows.TABLE,
    batch_rows.ITEMS,
    batch_rows.PARTIALS,
    batch_rows.RESULTS,
    presence.TABLE,
)


@dataclass(frozen=True, slots=True)
class FeedParts:
    """What a daemon knows of the store's tables and of the others.

    :param store: rows of batches and members, directly or by others.
    """

    operators: TableFollower
    upstreams: TableFollower
    batches: TableFollower
    members: TableFollower
    presence: presence.Presence
    reach: StoreReadiness
    relay: FeedRelay
    store: StoreRelay
    helpers: RelayPeers
    probes: LivenessProbes

    def on_members(self) -> None:
        """Read less often where there are more daemons."""
        count = len(self.presence.records)
        self.members.pause = max(
            HEARTBEAT_READ_PAUSE, HEARTBEAT_READ_PAUSE_EACH * count
        )
        self.batches.pause = max(BATCH_PAUSE, BATCH_PAUSE_EACH * count)

    def start(self, lifecycle: Lifecycle) -> None:
        """Run the parts in the background."""
        lifecycle.run('operator feed', self.operators.run)
        lifecycle.run('upstream feed', self.upstreams.run)
        lifecycle.run('batch feed', self.batches.run)
        lifecycle.run('member feed', self.members.run)
        lifecycle.run('presence', self.presence.run)
        lifecycle.run('relay', self.relay.run)
        lifecycle.run('liveness probes', self.probes.run)


def build_feed_parts(
    own: Member,
    documents: Documents,
    store: StoreParts,
    peers: Peers,
    counts: WindowCounts,
    wall_clock: WallClockEstimate,
    clock: Clock,
    counters: Counters,
) -> FeedParts:
    """Build the parts and connect them.

    :param own: this daemon.
    :param counts: counts that go with each heartbeat.
    :param wall_clock: learns how the daemons' calendars differ.
    """
    operators = TableFollower(
        store.feed,
        documents.operator_table,
        clock,
        counters,
        single_part=True,
    )
    upstreams = TableFollower(
        store.feed,
        documents.upstream_table,
        clock,
        counters,
        single_part=True,
    )
    helpers = RelayPeers(operators, clock)
    by_others = StoreRelay(
        store.table, store.feed, peers, helpers, RELAYED_TABLES, counters
    )
    batches = TableFollower(
        by_others, batch_rows.TABLE, clock, counters, pause=BATCH_PAUSE
    )
    members = TableFollower(
        by_others, presence.TABLE, clock, counters, pause=HEARTBEAT_READ_PAUSE
    )
    heartbeats = presence.Presence(
        own,
        by_others,
        members,
        clock,
        counts.describe,
        counts.restore,
        wall_clock,
    )
    reach = StoreReadiness(operators, heartbeats, clock)
    relay = FeedRelay(
        (operators, upstreams),
        peers,
        heartbeats,
        reach,
        helpers,
        clock,
        counters,
    )
    parts = FeedParts(
        operators,
        upstreams,
        batches,
        members,
        heartbeats,
        reach,
        relay,
        by_others,
        helpers,
        LivenessProbes(
            heartbeats,
            peers,
            partial(_reaches_store, operators, helpers),
            clock,
        ),
    )
    heartbeats.on_change(parts.on_members)
    return parts


def _reaches_store(follower: TableFollower, helpers: RelayPeers) -> bool:
    """Tell whether the store answers, or answers a daemon that helps."""
    return not follower.store_unavailable or helpers.find() is not None
