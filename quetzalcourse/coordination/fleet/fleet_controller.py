"""Fleet controller: scales upstreams to demand and budget under a lease."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.fleet.fleet_planner import (
    compute_hourly_cost,
    plan_fleet,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.fleet import FleetPlace, FleetView, SpendingRecord
from quetzalcourse.state.manifest import FleetPlan, Manifest

if TYPE_CHECKING:
    from quetzalcourse.coordination.fleet.fleet_demand import DemandAggregator
    from quetzalcourse.coordination.fleet.orders import FleetOrders
    from quetzalcourse.coordination.fleet.spending import SpendingTracker
    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import UpstreamOrders
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.fleet import Demand, FleetCount, FleetDecision

RECONCILE_INTERVAL = timedelta(seconds=15)
log = get_log('fleet')


class FleetController:
    """Plans and orders at a fixed interval while the lease is held.

    A new lease holder waits for the demand reports of all daemons before it
    plans: by the demand of its own callers alone, most upstreams would seem
    idle.
    """

    def __init__(
        self,
        lease: Lease,
        platform: UpstreamOrders,
        orders: FleetOrders,
        spending: SpendingTracker,
        demand: DemandAggregator,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Start with an empty plan, for which nothing is ordered."""
        self._lease = lease
        self._platform = platform
        self._orders = orders
        self._spending = spending
        self._demand = demand
        self._clock = clock
        self._counters = counters
        self._plan = FleetPlan()
        self._last_counts: dict[FleetPlace, int] = {}
        self._grown_at: dict[FleetPlace, timedelta] = {}
        self._held_since: timedelta | None = None

    def on_manifest(self, manifest: Manifest) -> None:
        """Use the fleet plan of a manifest that came into force."""
        self._plan = manifest.fleet

    async def run(self) -> None:
        """Reconcile the fleet until cancelled."""
        while True:
            await self._clock.sleep(RECONCILE_INTERVAL)
            await self.reconcile()

    async def reconcile(self) -> None:
        """Plan once, and order the differences."""
        if not self._plan.kinds or not self._lease.held:
            self._held_since = None
            return
        listed = await self._platform.list_counts()
        if isinstance(listed, Err):
            return
        counts = {
            listed_count.place: listed_count.count
            for listed_count in listed.ok_value
        }
        self._record_growth(counts)
        spending = await self._spending.update(
            compute_hourly_cost(self._plan, counts), self._plan.budget_period
        )
        if isinstance(spending, Err) or not self._has_waited_for_reports():
            return
        view = self._build_view(counts, listed.ok_value, spending.ok_value)
        demand = self._demand.aggregate()
        decision = plan_fleet(self._plan, demand, view)
        self._publish(decision, demand, spending.ok_value)
        await self._orders.reconcile(decision.counts, counts, self._plan.notice)

    def _has_waited_for_reports(self) -> bool:
        now = self._clock.elapsed()
        if self._held_since is None:
            self._held_since = now
        return now - self._held_since >= 2 * RECONCILE_INTERVAL

    def _record_growth(self, counts: dict[FleetPlace, int]) -> None:
        now = self._clock.elapsed()
        for place, count in counts.items():
            if count > self._last_counts.get(place, 0):
                self._grown_at[place] = now
            self._last_counts[place] = count

    def _build_view(
        self,
        counts: dict[FleetPlace, int],
        listed: list[FleetCount],
        spending: SpendingRecord,
    ) -> FleetView:
        now = self._clock.elapsed()
        period = self._plan.budget_period
        budget = self._plan.budget_per_hour * (period / timedelta(hours=1))
        elapsed = timedelta(seconds=spending.updated - spending.started)
        reclaimed = {
            listed_count.place
            for listed_count in listed
            if listed_count.reclaimed
        }
        return FleetView(
            counts=counts,
            unavailable=self._orders.list_refused() | reclaimed,
            since_growth={
                place: now - since for place, since in self._grown_at.items()
            },
            budget_left=budget - spending.spent,
            period_left=period - elapsed,
        )

    def _publish(
        self,
        decision: FleetDecision,
        demand: Demand,
        spending: SpendingRecord,
    ) -> None:
        counters = self._counters
        counters.set('fleet_spent', spending.spent)
        counters.set('fleet_rate_per_hour', spending.rate)
        counters.set('fleet_over_budget', float(decision.over_budget))
        counters.set('fleet_unmet_tokens', decision.unmet)
        if decision.over_budget:
            log.error(
                'Fleet budget limits the number of upstreams.',
                unmet_tokens=round(decision.unmet),
                human_tokens=round(demand.human_tokens),
                training_tokens=round(demand.training_tokens),
                spent=round(spending.spent, 2),
            )
