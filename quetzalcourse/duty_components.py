"""Builds the components that only the holder of the duty lease runs."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.coordination.duties.usage_windows import WindowReporter
from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.coordination.leases.leader_elector import LeaderElector
from quetzalcourse.coordination.scaling.batch_demand import BatchDemandMeter
from quetzalcourse.coordination.scaling.place_capacity import PlaceCapacities
from quetzalcourse.coordination.scaling.scaling_controller import (
    ScalingController,
)
from quetzalcourse.coordination.scaling.scaling_records import ScalingRecords
from quetzalcourse.coordination.versions.load_controller import LoadController
from quetzalcourse.incarnation import read_vm
from quetzalcourse.state.lease import LeaseTimings

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.directory import BatchDirectory
    from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
    from quetzalcourse.coordination.feeds.presence import Presence
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.deployment import Deployment, StoreClients
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

# Both rows change in one transaction, so they are in the same part.
LEASE_KEY = 'duties/all/holder'
FENCE_KEY = 'duties/all/fence'
# A crashed holder is replaced within three seconds, which leaves a step that
# waits for its weights most of its time.
LEASE_TIMINGS = LeaseTimings(
    term=timedelta(seconds=2),
    margin=timedelta(seconds=0.25),
    order_timeout=timedelta(seconds=0.65),
)
USAGE_DUTY = 'usage'
SCALING_DUTY = 'scaling'


@dataclass(frozen=True, slots=True)
class DutyComponents:
    """Components of the duties that one daemon at a time performs.

    :param min_lease_hold: time within which the lease must not change
        holders twice.
    """

    lease: Lease
    elector: LeaderElector
    load_controller: LoadController
    usage_reporter: WindowReporter
    min_lease_hold: timedelta
    duties: frozenset[str]
    scaling: ScalingController | None = None

    def start(self, lifecycle: Lifecycle) -> None:
        """Run the components in the background."""
        lifecycle.run('duty lease', self.elector.run)
        lifecycle.run('load orders', self.load_controller.run)
        if USAGE_DUTY in self.duties:
            lifecycle.run('usage', self.usage_reporter.run)
        if self.scaling is not None:
            lifecycle.run('scaling', self.scaling.run)

    async def hand_over(self) -> None:
        """Release the lease, unless it was acquired only recently.

        Daemons that stop one after the other would otherwise pass the lease
        on faster than receivers can tell its holders apart.
        """
        self.elector.stop_renewing()
        if self.lease.held_for > self.min_lease_hold:
            await self.elector.release()


def build_duty_components(
    deployment: Deployment,
    store: StoreClients,
    presence: Presence,
    pool: Pool,
    routes: RouteTable,
    directory: BatchDirectory,
    wall_clock: WallClockEstimate,
    counters: Counters,
) -> DutyComponents:
    """Build the components and connect them.

    :param wall_clock: gives usage windows and monotonic time.
    """
    settings = deployment.settings
    incarnation = presence.own.incarnation
    lease = Lease(
        store.table,
        wall_clock,
        LEASE_KEY,
        incarnation,
        LEASE_TIMINGS,
        FENCE_KEY,
    )
    lease.is_predecessor = partial(_is_predecessor, incarnation)
    elector = LeaderElector(lease, presence, wall_clock, counters)
    load_controller = LoadController(
        deployment.open_upstream_control(),
        lease,
        pool,
        routes,
        wall_clock,
        counters,
        settings.vm,
    )
    elector.on_held(load_controller.on_lease)
    return DutyComponents(
        lease,
        elector,
        load_controller,
        WindowReporter(
            presence,
            store.table,
            deployment.open_usage_reports(),
            lease,
            wall_clock,
            counters,
            settings.timings.usage_window,
            settings.timings.usage_report_delay,
        ),
        settings.timings.min_lease_hold,
        settings.duties,
        _build_scaling(
            deployment,
            store,
            lease,
            pool,
            routes,
            directory,
            wall_clock,
            counters,
        ),
    )


def _build_scaling(
    deployment: Deployment,
    store: StoreClients,
    lease: Lease,
    pool: Pool,
    routes: RouteTable,
    directory: BatchDirectory,
    clock: Clock,
    counters: Counters,
) -> ScalingController | None:
    """Build the scaling of upstreams, ``None`` where it is not asked for."""
    settings = deployment.settings
    if not settings.load_control.scaling or SCALING_DUTY not in settings.duties:
        return None
    return ScalingController(
        deployment.open_scaling_orders(),
        ScalingRecords(store.table, lease),
        lease,
        BatchDemandMeter(directory, routes, pool, clock),
        PlaceCapacities(pool, clock),
        routes,
        clock,
        counters,
    )


def _is_predecessor(incarnation: str, holder: str) -> bool:
    """Check whether a holder was an earlier run on the same VM."""
    before = holder.partition(':')[0]
    return before != incarnation and read_vm(before) == read_vm(incarnation)
