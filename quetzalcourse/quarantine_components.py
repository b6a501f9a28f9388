"""Builds the components that quarantine requests which crash upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.coordination.quarantine import quarantine_store
from quetzalcourse.coordination.quarantine.crash_updates import CrashUpdates
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.records import QuarantineRecords

from quetzalcourse.transport.crash_detector import CrashDetector

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.deployment import StoreClients
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters


@dataclass(frozen=True, slots=True)
class QuarantineComponents:
    """Quarantine records, their storage and the updates to other daemons."""

    quarantine: Quarantine
    follower: TableFollower
    rows: quarantine_store.QuarantineStore
    updates: CrashUpdates
    ends: CrashDetector

    def start(self, lifecycle: Lifecycle) -> None:
        """Run the components in the background."""
        lifecycle.run('quarantine feed', self.follower.run)
        lifecycle.run('quarantine rows', self.rows.run)


def build_quarantine_components(
    pool: Pool,
    store: StoreClients,
    members: MemberView,
    peers: Peers,
    clock: Clock,
    counters: Counters,
) -> QuarantineComponents:
    """Build the components and connect them."""
    quarantine = Quarantine(QuarantineRecords(clock), counters)
    pool.registration_listeners.append(partial(_on_registration, quarantine))
    follower = TableFollower(
        store.feed,
        quarantine_store.TABLE,
        clock,
        counters,
        single_part=True,
        wait=quarantine_store.FEED_POLL_TIMEOUT,
    )
    return QuarantineComponents(
        quarantine,
        follower,
        quarantine_store.QuarantineStore(
            quarantine, store.table, follower, store.clock, clock
        ),
        CrashUpdates(quarantine, members, peers, clock),
        CrashDetector(pool, quarantine, counters),
    )


def _on_registration(quarantine: Quarantine, upstream: Upstream) -> None:
    quarantine.on_restart(upstream.run_id, upstream.member.address)
