"""Builds the components that only the holder of a lease runs."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.fleet.fleet_demand import DemandAggregator
from quetzalcourse.coordination.fleet.fleet_controller import FleetController
from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.coordination.leases.leader_elector import LeaderElector
from quetzalcourse.coordination.fleet.orders import FleetOrders
from quetzalcourse.coordination.fleet.spending import SpendingTracker
from quetzalcourse.coordination.usage.usage_counter import UsageCounter
from quetzalcourse.coordination.usage.usage_replication import UsageReplicator
from quetzalcourse.coordination.usage.usage_reports import UsageReporter
from quetzalcourse.coordination.usage.usage_rows import UsageRowStore
from quetzalcourse.state.lease import LeaseTimings
from quetzalcourse.transport.order_client import OrderClient

if TYPE_CHECKING:
    from typing import Any

    import aiohttp

    from quetzalcourse.coordination.ports import MemberView, Peers, Table
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.settings.process import (
        LeaseSettings,
        ProcessSettings,
    )
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

USAGE_LEASE = 'lease/usage'
ORDER_LEASE = 'lease/upstream-orders'


@dataclass(frozen=True, slots=True)
class LeaseComponents:
    """Leases of the deployment and the components of their holders."""

    electors: tuple[LeaderElector, ...]
    usage: UsageCounter
    replicator: UsageReplicator
    usage_reporter: UsageReporter
    demand: DemandAggregator
    orders: FleetOrders
    fleet: FleetController

    def start(self, lifecycle: Lifecycle) -> None:
        """Run the components in the background."""
        lifecycle.run('usage copies', self.replicator.run_replication)
        lifecycle.run('usage rows', self.replicator.run_storing)
        lifecycle.run('usage reports', self.usage_reporter.run)
        lifecycle.run('demand', self.demand.run)
        lifecycle.run('fleet', self.fleet.run)
        for elector in self.electors:
            lifecycle.run(elector.lease.key, elector.run)
        lifecycle.on_drain(self.on_drain)

    def describe(self) -> dict[str, Any]:
        """Return the state of each lease as this daemon knows it."""
        statuses = [elector.lease.describe() for elector in self.electors]
        return {status.lease: asdict(status) for status in statuses}

    async def on_drain(self) -> None:
        """Release the leases once no order or report is in flight.

        The next holder starts at once, and its orders must not overlap with
        those of this one.
        """
        for elector in self.electors:
            elector.stop_renewing()
        await self.usage_reporter.in_flight.finish()
        await self.orders.in_flight.finish()
        for elector in self.electors:
            await elector.release()

    async def on_stop(self) -> None:
        """Store the usage counts and release leases that are still held."""
        await self.replicator.flush()
        await self.on_drain()


def read_lease_timings(settings: LeaseSettings) -> LeaseTimings:
    """Convert the lease settings into timings."""
    return LeaseTimings(
        timedelta(seconds=settings.term_seconds),
        timedelta(seconds=settings.margin_seconds),
        timedelta(seconds=settings.order_timeout_seconds),
    )


def build_lease_components(
    settings: ProcessSettings,
    incarnation: str,
    session: aiohttp.ClientSession,
    table: Table,
    peers: Peers,
    members: MemberView,
    clock: Clock,
    counters: Counters,
) -> LeaseComponents:
    """Build the components and connect them.

    :param incarnation: id of this run of the daemon.
    :param session: shared connections to the platform.
    """
    timings = read_lease_timings(settings.lease)
    window_length = timedelta(seconds=settings.usage.window_seconds)
    usage = UsageCounter(clock, incarnation, window_length)
    replicator = UsageReplicator(
        usage,
        UsageRowStore(table),
        peers,
        members,
        clock,
        counters,
        timedelta(seconds=settings.usage.copy_seconds),
    )
    client = OrderClient(
        session,
        settings.platform.address,
        incarnation,
        settings.lease.order_timeout_seconds,
    )
    usage_lease = Lease(table, clock, USAGE_LEASE, incarnation, timings)
    usage_reporter = UsageReporter(
        table,
        client,
        usage_lease,
        clock,
        counters,
        window_length,
        timedelta(seconds=settings.usage.grace_seconds),
    )
    order_lease = Lease(table, clock, ORDER_LEASE, incarnation, timings)
    demand = DemandAggregator(ORDER_LEASE, usage, peers, members, clock)
    orders = FleetOrders(table, client, order_lease, clock, counters)
    fleet = FleetController(
        order_lease,
        client,
        orders,
        SpendingTracker(table, order_lease, clock),
        demand,
        clock,
        counters,
    )
    electors = tuple(
        LeaderElector(lease, members, clock, counters)
        for lease in (usage_lease, order_lease)
    )
    return LeaseComponents(
        electors, usage, replicator, usage_reporter, demand, orders, fleet
    )
