"""Builds the components that follow the store and the other daemons."""

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
    from quetzalcourse.deployment import Documents, StoreClients
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member

# Rows of these tables change several times a second, and a follower without
# a pause would spend its time on responses with one row each. Every daemon
# writes to them, so the pause grows with the number of daemons, which caps
# the store's reads at 125 a second for heartbeats and 200 for batches.
HEARTBEAT_READ_PAUSE = timedelta(milliseconds=250)
HEARTBEAT_READ_PAUSE_PER_DAEMON = timedelta(milliseconds=8)
BATCH_READ_PAUSE = timedelta(milliseconds=100)
BATCH_READ_PAUSE_PER_DAEMON = timedelta(milliseconds=5)
# Tables that a daemon may read and write through another one.
RELAYED_TABLES = (
    batch_rows.TABLE,
    batch_rows.ITEMS,
    batch_rows.PARTIALS,
    batch_rows.RESULTS,
    presence.TABLE,
)


@dataclass(frozen=True, slots=True)
class FeedComponents:
    """Table followers, membership and relay of a daemon.

    :param store: rows of batches and members, read and written directly or
        through another daemon.
    """

    operators: TableFollower
    upstreams: TableFollower
    batches: TableFollower
    members: TableFollower
    presence: presence.Presence
    store_readiness: StoreReadiness
    relay: FeedRelay
    store: StoreRelay
    relay_peers: RelayPeers
    probes: LivenessProbes

    def on_members(self) -> None:
        """Lengthen the read pauses with the number of daemons."""
        count = len(self.presence.records)
        self.members.pause = max(
            HEARTBEAT_READ_PAUSE, HEARTBEAT_READ_PAUSE_PER_DAEMON * count
        )
        self.batches.pause = max(
            BATCH_READ_PAUSE, BATCH_READ_PAUSE_PER_DAEMON * count
        )

    def start(self, lifecycle: Lifecycle) -> None:
        """Run the components in the background."""
        lifecycle.run('operator feed', self.operators.run)
        lifecycle.run('upstream feed', self.upstreams.run)
        lifecycle.run('batch feed', self.batches.run)
        lifecycle.run('member feed', self.members.run)
        lifecycle.run('presence', self.presence.run)
        lifecycle.run('relay', self.relay.run)
        lifecycle.run('liveness probes', self.probes.run)


def build_feed_components(
    own: Member,
    documents: Documents,
    store: StoreClients,
    peers: Peers,
    counts: WindowCounts,
    wall_clock: WallClockEstimate,
    clock: Clock,
    counters: Counters,
) -> FeedComponents:
    """Build the components and connect them.

    :param own: this daemon.
    :param counts: usage counts that each heartbeat carries.
    :param wall_clock: learns how the daemons' wall clocks differ.
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
    relay_peers = RelayPeers(operators, clock)
    relayed_store = StoreRelay(
        store.table, store.feed, peers, relay_peers, RELAYED_TABLES, counters
    )
    batches = TableFollower(
        relayed_store, batch_rows.TABLE, clock, counters, pause=BATCH_READ_PAUSE
    )
    members = TableFollower(
        relayed_store,
        presence.TABLE,
        clock,
        counters,
        pause=HEARTBEAT_READ_PAUSE,
    )
    heartbeats = presence.Presence(
        own,
        relayed_store,
        members,
        clock,
        counts.describe,
        counts.restore,
        wall_clock,
    )
    store_readiness = StoreReadiness(operators, heartbeats, clock)
    relay = FeedRelay(
        (operators, upstreams),
        peers,
        heartbeats,
        store_readiness,
        relay_peers,
        clock,
        counters,
    )
    parts = FeedComponents(
        operators,
        upstreams,
        batches,
        members,
        heartbeats,
        store_readiness,
        relay,
        relayed_store,
        relay_peers,
        LivenessProbes(
            heartbeats,
            peers,
            partial(_can_reach_store, operators, relay_peers),
            clock,
        ),
    )
    heartbeats.on_change(parts.on_members)
    return parts


def _can_reach_store(follower: TableFollower, relay_peers: RelayPeers) -> bool:
    """Check whether the store responds, directly or through a relay."""
    return not follower.store_unavailable or relay_peers.find() is not None
