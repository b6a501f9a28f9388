"""Holder of the duty lease that orders upstreams, with fakes around it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any

import msgspec

from quetzalcourse.coordination.batches.batch_rows import (
    HEAD,
    PROGRESS,
    name_row,
)
from quetzalcourse.coordination.batches.directory import BatchDirectory
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.coordination.scaling.batch_demand import BatchDemandMeter
from quetzalcourse.coordination.scaling.place_capacity import PlaceCapacities
from quetzalcourse.coordination.scaling.scaling_controller import (
    ScalingController,
)
from quetzalcourse.coordination.scaling.scaling_records import ScalingRecords
from quetzalcourse.coordination.scaling.upstream_planner import COOL_DOWN
from quetzalcourse.state.batches import BatchHead
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.state.routing import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingManifest,
    ScalingRange,
    Service,
    Target,
)
from quetzalcourse.state.rows import Condition, Row
from quetzalcourse.state.scaling import ScalingOrder, ScalingOutcome
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.feeds import FakeFeed

TICK = timedelta(milliseconds=250)
START = timedelta(seconds=4)
DRAIN_TIME = timedelta(seconds=3)
FENCE_KEY = 'duties/all/fence'
PLACES = ('a', 'b')
ENGINES = 4


class FakeLease:
    """Lease that a test gives and takes."""

    def __init__(self, version: int) -> None:
        """Hold the lease."""
        self.token = 1
        self.may_send = True
        self.held = True
        self.version = version

    def fence_condition(self) -> Condition:
        """Return the condition that this holder is still in charge."""
        return Condition(FENCE_KEY, self.version)


class FakeFollower:
    """Follower that passes on the rows that a test gives it."""

    def __init__(self) -> None:
        """Start without a listener."""
        self.listener: Callable[[list[Row]], None] = print

    def on_rows(self, listener: Callable[[list[Row]], None]) -> None:
        """Set the listener."""
        self.listener = listener


class FakeOrders:
    """Platform that takes orders, or answers as a test wants."""

    def __init__(self) -> None:
        """Accept every order."""
        self.orders: list[ScalingOrder] = []
        self.outcome = ScalingOutcome.accepted
        self.on_send: Callable[[], object] = bool

    async def send(self, order: ScalingOrder) -> ScalingOutcome:
        """Record an order."""
        self.orders.append(order)
        self.on_send()
        return self.outcome

    def list_counts(self, data_centre: str) -> list[int]:
        """List the numbers that were ordered in a data centre."""
        return [
            order.count
            for order in self.orders
            if order.place.data_centre == data_centre
        ]

    def count(self, data_centre: str) -> int:
        """Find the last number that was ordered in a data centre."""
        return self.list_counts(data_centre)[-1]


def build_head(batch: str, items: int, due_ms: int = 7500) -> BatchHead:
    """Build the head of a batch."""
    return BatchHead(batch, 'acme', 'steps', 'h', items, 0, due_ms, 40000)


def build_manifest(services: tuple[str, ...]) -> RoutingManifest:
    """Build a manifest with services that may be scaled."""
    second = timedelta(seconds=1)
    route = Route(
        'steps',
        'h',
        '/s/',
        RouteKind.batch,
        second,
        second,
        0,
        (Target('retired', 0), Target('engines', 1)),
        3,
    )
    scaled = {
        name: Service(name, scaling=ScalingRange(1, 12, START))
        for name in services
    }
    return RoutingManifest(1, (route,), scaled, CallerLimits(), None)


class Holder:
    """Holder of the duty lease with its view of batches and upstreams."""

    def __init__(
        self,
        table: FakeFeed,
        clock: FakeClock,
        services: tuple[str, ...] = ('engines',),
    ) -> None:
        """Start with idle upstreams in two data centres."""
        self.clock = clock
        self.pool = Pool('a', clock, Counters())
        self.follower = FakeFollower()
        lease: Any = FakeLease(table.put(FENCE_KEY, b''))
        self.lease = lease
        self.orders = FakeOrders()
        rows: Any = table
        routes = RouteTable()
        routes.adopt(build_manifest(services))
        feed: Any = self.follower
        directory = BatchDirectory(feed)
        self.controller = ScalingController(
            self.orders,
            ScalingRecords(rows, self.lease),
            self.lease,
            BatchDemandMeter(directory, routes, self.pool, clock),
            PlaceCapacities(self.pool, clock),
            routes,
            clock,
            Counters(),
        )
        for data_centre in PLACES:
            for number in range(ENGINES):
                self.add_engine(data_centre, number)

    def add_engine(self, data_centre: str, number: int, **changes: Any) -> None:
        """Register an upstream."""
        name = f'{data_centre}-{number}'
        member = PoolMember(name, 'engines', f'{name}:80', data_centre, 8)
        self.pool.replace(replace(member, **changes))

    def grow(self, count: int, first: int = ENGINES) -> None:
        """Register the upstreams that were ordered in both data centres."""
        for data_centre in PLACES:
            for number in range(first, count):
                self.add_engine(data_centre, number)

    async def give_back(self) -> None:
        """Pass the time in which all added upstreams are given back."""
        for _ in range(COOL_DOWN * 4 // DRAIN_TIME):
            carried_out = len(self.orders.orders)
            await self.run(DRAIN_TIME)
            for order in self.orders.orders[carried_out:]:
                for number in range(order.count, 12):
                    self.pool.remove(f'{order.place.data_centre}-{number}')

    def submit(self, batch: str, items: int) -> None:
        """Show a batch that was accepted somewhere."""
        self.show(batch, HEAD, build_head(batch, items))

    def show(self, batch: str, name: str, content: Any) -> None:
        """Show a row of a batch."""
        row = Row(name_row(batch, name), msgspec.json.encode(content), 1)
        self.follower.listener([row])

    async def run(self, duration: timedelta) -> None:
        """Plan in the usual interval for some time."""
        for _ in range(duration // TICK):
            self.clock.move(TICK)
            await self.controller.reconcile()

    async def run_batch(self, batch: str, items: int, per_tick: int) -> None:
        """Run a batch for five seconds that ends items at a steady rate."""
        self.submit(batch, items)
        await self.run(TICK)
        for tick in range(1, 20):
            self.show(batch, PROGRESS, tick * per_tick)
            await self.run(TICK)


async def build_loaded_holder(
    table: FakeFeed | None = None, clock: FakeClock | None = None
) -> Holder:
    """Build a holder while a step waits for more slots than there are."""
    clock = clock or FakeClock()
    holder = Holder(table or FakeFeed(clock), clock)
    await holder.run_batch('step-1', 900, per_tick=20)
    return holder
