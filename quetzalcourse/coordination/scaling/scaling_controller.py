"""Orders upstreams as the items of open batches need them, under a lease."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.scaling.upstream_planner import (
    count_required_slots,
    plan_growth,
    plan_reduction,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.scaling import ScalingOrder, ScalingOutcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.scaling.batch_demand import (
        BatchDemandMeter,
    )
    from quetzalcourse.coordination.scaling.place_capacity import (
        PlaceCapacities,
    )
    from quetzalcourse.coordination.scaling.scaling_records import (
        ScalingRecords,
    )
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.routing import Service
    from quetzalcourse.state.scaling import (
        BatchDemand,
        PlaceCapacity,
        ScalingPlace,
    )

PLAN_INTERVAL = timedelta(milliseconds=250)
# Hundreds of daemons never hold the lease.
IDLE_INTERVAL = timedelta(seconds=2)
# Upstreams that were given back drain before they are gone; until then their
# number is not known.
REDUCTION_INTERVAL = timedelta(seconds=20)
log = get_log('scaling')


class ScalingOrders(Protocol):
    """Orders for upstreams to the platform."""

    async def send(self, order: ScalingOrder) -> ScalingOutcome:
        """Send an order; repeating it has no further effect."""


class ScalingController:
    """Orders upstreams while it holds the lease."""

    def __init__(
        self,
        orders: ScalingOrders,
        records: ScalingRecords,
        lease: Lease,
        demand: BatchDemandMeter,
        capacities: PlaceCapacities,
        routes: RouteTable,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Start without orders."""
        self._orders = orders
        self._records = records
        self._lease = lease
        self._demand = demand
        self._capacities = capacities
        self._routes = routes
        self._clock = clock
        self._counters = counters
        self._restored_token: int | None = None
        self._needed_at: dict[str, timedelta] = {}
        self._reduced_at = clock.elapsed()

    async def run(self) -> None:
        """Plan and order upstreams until the task is cancelled."""
        while True:
            await self._clock.sleep(
                PLAN_INTERVAL if self._lease.held else IDLE_INTERVAL
            )
            if self._lease.may_send and await self.restore():
                await self.reconcile()

    async def reconcile(self) -> None:
        """Plan once, and order what differs."""
        demands = self._demand.measure()
        manifest = self._routes.manifest
        if manifest is None:
            return
        for service in manifest.services.values():
            if service.scaling is None:
                continue
            # Also without a demand, so that the numbers before a crash are
            # known after it.
            places = self._capacities.list_places(service)
            demand = demands.get(service.name)
            if demand is not None:
                await self._reconcile_service(service, places, demand)

    async def restore(self) -> bool:
        """Read the orders of the last holder, once for each lease.

        :returns: whether they are known.
        """
        if self._restored_token == self._lease.token:
            return True
        records = await self._records.read()
        if records is None:
            return False
        self._capacities.restore(records)
        self._restored_token = self._lease.token
        return True

    async def _reconcile_service(
        self,
        service: Service,
        places: list[PlaceCapacity],
        demand: BatchDemand,
    ) -> None:
        assert service.scaling is not None  # noqa: S101
        now = self._clock.elapsed()
        required = count_required_slots(demand)
        slots = sum(one.slots for one in places)
        self._counters.set('slots_required', required, service=service.name)
        if required >= slots or service.name not in self._needed_at:
            self._needed_at[service.name] = now
        booting = self._capacities.count_booting(service)
        desired = plan_growth(service.scaling, demand, places, booting)
        if not desired and now - self._reduced_at >= REDUCTION_INTERVAL:
            self._reduced_at = now
            since_need = now - self._needed_at[service.name]
            desired = plan_reduction(
                service.scaling, demand, places, since_need
            )
        if desired:
            log.info(
                'Number of upstreams is changed.',
                service=service.name,
                unfinished=demand.unfinished,
                item_seconds=round(demand.item_time.total_seconds(), 3),
                slots_required=required,
                slots=slots,
                booting=booting,
            )
            await self._order(desired)

    async def _order(self, desired: Mapping[ScalingPlace, int]) -> None:
        for place, count in desired.items():
            self._capacities.on_order(place, count)
        # Stored first: a holder that died after its order would leave the next
        # one without the number to return to.
        if not await self._records.write(self._capacities.describe()):
            return
        for place, count in desired.items():
            if not self._lease.may_send:
                return
            order = ScalingOrder(place, count, self._lease.token)
            outcome = await self._orders.send(order)
            if outcome is ScalingOutcome.unavailable:
                self._capacities.on_unavailable(place)
            self._counters.add('scaling_orders', outcome=outcome.value)
            log.info(
                'Sent an order for upstreams.',
                service=place.service,
                data_centre=place.data_centre,
                count=count,
                token=order.token,
                outcome=outcome.value,
            )
