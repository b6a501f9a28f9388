"""Orders upstreams to load named weight versions, under a lease."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.permit import Permit
from quetzalcourse.coordination.tasks import BackgroundTasks, wait_event
from quetzalcourse.coordination.versions.load_plan import (
    UpstreamVersions,
    plan_loads,
)
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.versions.load_plan import WeightLoad
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.routing import Service

# Named versions and ended loads wake the loop at once; this interval is for
# upstreams that join or leave, and for a lease that was just acquired.
PLAN_INTERVAL = timedelta(milliseconds=250)
# Hundreds of daemons never hold the lease; acquiring it wakes the loop.
IDLE_INTERVAL = timedelta(seconds=2)
# Each load that ends triggers a new plan of all upstreams; a delay that grows
# with their number keeps planning from starving everything else.
PLAN_DELAY_PER_UPSTREAM = timedelta(microseconds=100)
# A load takes 0.9 s; polling sooner costs a request and can't succeed.
LOAD_DURATION = timedelta(milliseconds=850)
POLL_INTERVAL = timedelta(milliseconds=200)
# A load that has not ended by then was refused, or its order was lost.
LOAD_TIMEOUT = timedelta(seconds=4)
# An upstream whose order failed gets no orders for this time, so that others
# load in its place.
FAILED_ORDER_BACKOFF = timedelta(seconds=1)
log = get_log('versions')


class OrderOutcome(enum.StrEnum):
    """Answer of an upstream to a load order."""

    accepted = 'accepted'
    holds = 'holds'
    conflict = 'conflict'
    fenced = 'fenced'
    refused = 'refused'
    not_sent = 'not_sent'
    unanswered = 'unanswered'


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to load a version.

    :param sequence: number of orders that the upstream must have accepted
        before; an order that arrives late fails this check.
    :param token: fencing token of the holder's lease.
    :param carry_over: whether running requests continue under the new version;
        otherwise they finish first.
    """

    load: WeightLoad
    sequence: int
    holder: str
    token: int
    carry_over: bool


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Status of an upstream, some hundred milliseconds old."""

    versions: dict[str, int]
    sequence: int
    busy: bool


class UpstreamControl(Protocol):
    """Control interface of upstreams: load orders and status reports."""

    async def order(self, upstream: Upstream, order: LoadOrder) -> OrderOutcome:
        """Send an order."""

    async def report(self, upstream: Upstream) -> UpstreamReport | None:
        """Read the status of an upstream, ``None`` if it does not answer."""


class LoadListener(Protocol):
    """Listener for weight loads."""

    def on_loads_started(
        self, loads: list[WeightLoad], duration: timedelta
    ) -> None:
        """Handle loads that start now.

        :param duration: expected duration of each load.
        """

    def on_load_done(self, load: WeightLoad) -> None:
        """Handle a load that has succeeded."""


class LoadController:
    """Loads named versions on the upstreams while it holds the lease.

    :param holder: name of this VM.
    """

    def __init__(
        self,
        control: UpstreamControl,
        lease: Lease,
        pool: Pool,
        routes: RouteTable,
        clock: Clock,
        counters: Counters,
        holder: str,
    ) -> None:
        """Initialise without named versions."""
        self.named: dict[str, int] = {}
        self._control = control
        self._lease = lease
        self._pool = pool
        self._routes = routes
        self._clock = clock
        self._counters = counters
        self._holder = holder
        self._tasks = BackgroundTasks('loads')
        self._loading: dict[str, str] = {}
        self._backoff_until: dict[str, timedelta] = {}
        self._sequences: dict[tuple[str, int], int] = {}
        self._planned_upstreams = 0
        self._wake = asyncio.Event()
        self._listeners: list[LoadListener] = []

    def on_loads(self, listener: LoadListener) -> None:
        """Call a listener for loads that start and loads that succeed."""
        self._listeners.append(listener)

    def on_named(self, model: str, version: int) -> None:
        """Record the newest named version of a model."""
        if version > self.named.get(model, 0):
            self.named[model] = version
            log.info('New weight version named.', model=model, version=version)
            self._wake.set()

    def on_lease(self) -> None:
        """Plan at once, since this daemon has just acquired the lease."""
        self._wake.set()

    async def run(self) -> None:
        """Plan and order loads until the task is cancelled."""
        while True:
            self._wake.clear()
            if self._lease.may_send:
                self._plan()
            await self._clock.sleep(
                PLAN_DELAY_PER_UPSTREAM * self._planned_upstreams
            )
            await wait_event(
                self._wake, PLAN_INTERVAL if self._lease.held else IDLE_INTERVAL
            )

    def _plan(self) -> None:
        self._planned_upstreams = 0
        manifest = self._routes.manifest
        if manifest is None:
            return
        for service in manifest.services.values():
            named = {
                model: self.named[model]
                for model in service.models
                if model in self.named
            }
            if named:
                self._plan_service(service, named)

    def _plan_service(self, service: Service, named: dict[str, int]) -> None:
        now = self._clock.elapsed()
        views = [
            UpstreamVersions(
                upstream.name,
                {model: upstream.find_version(model) for model in named},
                self._loading.get(upstream.name, ''),
            )
            for upstream in self._pool.list_service(service.name)
            if upstream.is_available(now)
            and self._backoff_until.get(upstream.name, now) <= now
        ]
        self._planned_upstreams += len(views)
        loads = plan_loads(views, named)
        if loads:
            for listener in self._listeners:
                listener.on_loads_started(loads, LOAD_DURATION + POLL_INTERVAL)
        for load in loads:
            self._start_load(load, service)

    def _start_load(self, load: WeightLoad, service: Service) -> None:
        upstream = self._pool.find(load.upstream)
        if upstream is None:
            return
        self._loading[load.upstream] = load.model
        permit = Permit(partial(self._on_load_end, load))
        permit.assign(self._tasks.start(self._load(load, upstream, service)))

    def _on_load_end(self, load: WeightLoad) -> None:
        self._loading.pop(load.upstream, None)
        self._wake.set()

    async def _load(
        self,
        load: WeightLoad,
        upstream: Upstream,
        service: Service,
    ) -> None:
        if await self._try_load(load, upstream, service):
            for listener in self._listeners:
                listener.on_load_done(load)
        else:
            self._backoff_until[load.upstream] = (
                self._clock.elapsed() + FAILED_ORDER_BACKOFF
            )

    async def _try_load(
        self,
        load: WeightLoad,
        upstream: Upstream,
        service: Service,
    ) -> bool:
        sequence = await self._find_sequence(upstream)
        if sequence is None or not self._lease.may_send:
            return False
        order = LoadOrder(
            load,
            sequence,
            self._holder,
            self._lease.token,
            not self._requires_single_version(service),
        )
        outcome = await self._control.order(upstream, order)
        self._counters.add('load_orders', outcome=outcome.value)
        log.info(
            'Sent a load order.',
            upstream=load.upstream,
            model=load.model,
            version=load.version,
            token=order.token,
            sequence=order.sequence,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.holds:
            self._pool.on_version(upstream, load.model, load.version)
            return True
        if outcome is OrderOutcome.accepted:
            self._sequences[upstream.run_id] = order.sequence + 1
            await self._clock.sleep(LOAD_DURATION)
        elif outcome not in (OrderOutcome.unanswered, OrderOutcome.conflict):
            return False
        return await self._await_version(load, upstream)

    async def _await_version(
        self, load: WeightLoad, upstream: Upstream
    ) -> bool:
        deadline = self._clock.elapsed() + LOAD_TIMEOUT - LOAD_DURATION
        while self._clock.elapsed() < deadline:
            if upstream.find_version(load.model) >= load.version:
                return True
            report = await self._control.report(upstream)
            if report is not None:
                self._sequences[upstream.run_id] = report.sequence
                for model, version in report.versions.items():
                    self._pool.on_version(upstream, model, version)
                held = report.versions.get(load.model, 0)
                if held >= load.version:
                    return True
                if not report.busy:
                    return False
            await self._clock.sleep(POLL_INTERVAL)
        return False

    async def _find_sequence(self, upstream: Upstream) -> int | None:
        known = self._sequences.get(upstream.run_id)
        if known is not None:
            return known
        report = await self._control.report(upstream)
        if report is None:
            return None
        self._sequences[upstream.run_id] = report.sequence
        return report.sequence

    def _requires_single_version(self, service: Service) -> bool:
        """Tell whether a route of the service forbids mixed versions."""
        manifest = self._routes.manifest
        routes = manifest.routes if manifest else ()
        return any(
            route.single_version
            and any(target.service == service.name for target in route.targets)
            for route in routes
        )
