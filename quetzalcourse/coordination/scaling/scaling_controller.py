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
    from quetzalcourse.state.routing import ScalingRange, Service
    from quetzalcourse.state.scaling import (
        BatchDemand,
        PlaceCapacity,
        ScalingPlace,
    )

PLAN_INTERVAL = timedelta(milliseconds=250)
# A plan passes over all upstreams; a delay that grows with their number keeps
# it from starving everything else.
PLAN_DELAY_PER_UPSTREAM = timedelta(microseconds=100)
# Hundreds of daemons never hold the lease.
IDLE_INTERVAL = timedelta(seconds=2)
# A failed attempt ejects an upstream for a shorter time, which needs no other
# one in its place.
MIN_SHORTAGE = timedelta(milliseconds=750)
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
        self._upstreams = 0
        self._short_since: dict[str, timedelta] = {}
        self._needed_at: dict[str, timedelta] = {}
        self._reduced_at: dict[str, timedelta] = {}

    async def run(self) -> None:
        """Plan and order upstreams until the task is cancelled."""
        while True:
            delay = PLAN_DELAY_PER_UPSTREAM * self._upstreams
            interval = PLAN_INTERVAL if self._lease.held else IDLE_INTERVAL
            await self._clock.sleep(interval + delay)
            await self.reconcile()

    async def reconcile(self) -> None:
        """Plan once, and order what differs.

        A daemon without the lease only tracks the upstreams: were it to acquire
        the lease during a crash, it would not know how many there were.
        """
        services = self._list_services()
        places = {
            service.name: self._capacities.list_places(service, scaling)
            for service, scaling in services
        }
        self._upstreams = sum(
            place.serving for listed in places.values() for place in listed
        )
        if not self._lease.may_send or not await self._restore():
            for service, _ in services:
                self._counters.set('slots_required', 0, service=service.name)
            return
        demands = self._demand.measure()
        desired = self._capacities.list_unanswered()
        for service, scaling in services:
            demand = demands.get(service.name)
            if demand is not None:
                desired |= self._plan(
                    service.name, scaling, places[service.name], demand
                )
        if desired:
            await self._order(desired)

    def _list_services(self) -> list[tuple[Service, ScalingRange]]:
        manifest = self._routes.manifest
        if manifest is None:
            return []
        return [
            (service, service.scaling)
            for service in manifest.services.values()
            if service.scaling is not None
        ]

    async def _restore(self) -> bool:
        """Read the orders of the last holder, once for each lease.

        :returns: whether they are known.
        """
        if self._restored_token == self._lease.token:
            return True
        records = await self._records.read()
        if records is None:
            return False
        self._capacities.restore(records)
        self._demand.reset()
        self._short_since.clear()
        self._needed_at.clear()
        self._restored_token = self._lease.token
        return True

    def _plan(
        self,
        service: str,
        scaling: ScalingRange,
        places: list[PlaceCapacity],
        demand: BatchDemand,
    ) -> dict[ScalingPlace, int]:
        now = self._clock.elapsed()
        required = count_required_slots(demand)
        slots = sum(one.slots for one in places)
        self._counters.set('slots_required', required, service=service)
        if required >= slots:
            self._needed_at[service] = now
        else:
            self._short_since.pop(service, None)
        desired: dict[ScalingPlace, int] = {}
        if now - self._short_since.setdefault(service, now) >= MIN_SHORTAGE:
            desired = plan_growth(scaling, demand, places)
        since_need = now - self._needed_at.setdefault(service, now)
        since_order = now - self._reduced_at.get(service, now - since_need)
        if not desired and since_order >= REDUCTION_INTERVAL:
            desired = plan_reduction(scaling, demand, places, since_need)
            if desired:
                self._reduced_at[service] = now
        if desired:
            log.info(
                'Number of upstreams is changed.',
                service=service,
                unfinished=demand.unfinished,
                item_seconds=round(demand.item_time.total_seconds(), 3),
                slots_required=required,
                slots=slots,
                booting=sum(one.booting for one in places),
            )
        return desired

    async def _order(self, desired: Mapping[ScalingPlace, int]) -> None:
        for place, count in desired.items():
            self._capacities.on_order(place, count)
        # Stored first: a holder that died after its order would leave the next
        # one without the number to return to.
        stored = await self._records.write(self._capacities.describe())
        withdrawn = False
        for place, count in desired.items():
            if not stored or not self._lease.may_send:
                self._capacities.on_unsent(place)
                continue
            order = ScalingOrder(place, count, self._lease.token)
            outcome = await self._orders.send(order)
            self._apply(place, outcome)
            withdrawn |= outcome in {
                ScalingOutcome.unavailable,
                ScalingOutcome.refused,
            }
            self._counters.add('scaling_orders', outcome=outcome.value)
            log.info(
                'Sent an order for upstreams.',
                service=place.service,
                data_centre=place.data_centre,
                count=count,
                token=order.token,
                outcome=outcome.value,
            )
        if withdrawn:
            await self._records.write(self._capacities.describe())

    def _apply(self, place: ScalingPlace, outcome: ScalingOutcome) -> None:
        if outcome is ScalingOutcome.accepted:
            self._capacities.on_accepted(place)
        elif outcome is ScalingOutcome.unanswered:
            self._capacities.on_unanswered(place)
        elif outcome is ScalingOutcome.unavailable:
            self._capacities.on_unavailable(place)
        else:
            self._capacities.withdraw(place)
