"""Builds the components that forward callers' requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from quetzalcourse.coordination.admission.drain_estimate import ServiceTimes
from quetzalcourse.coordination.admission.local_slot_limits import (
    LocalSlotLimits,
)
from quetzalcourse.coordination.admission.queueing_selection import (
    QueueingSelection,
)
from quetzalcourse.coordination.forwarding.forwarding import Forwarder
from quetzalcourse.coordination.forwarding.selection import DirectSelection
from quetzalcourse.transport.request_proxy import RequestProxy

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.admission.slot_limits import SlotLimits
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.deployment import Deployment
    from quetzalcourse.quarantine_components import QuarantineComponents
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.transport.upstream_client import UpstreamClient
    from quetzalcourse.upstream_components import UpstreamComponents


@dataclass(frozen=True, slots=True)
class ForwardingComponents:
    """Proxy of callers' requests, and their queue.

    :param queueing: queue of waiting requests, ``None`` if none ever wait.
    """

    proxy: RequestProxy
    queueing: QueueingSelection | None

    def on_drain(self) -> None:
        """Reject the requests that wait; other daemons can serve them."""
        if self.queueing is not None:
            self.queueing.on_drain()

    async def stop(self) -> None:
        """Stop looking after waiting requests."""
        if self.queueing is not None:
            self.queueing.stop()


def build_forwarding_components(
    deployment: Deployment,
    upstreams: UpstreamComponents,
    calls: UpstreamClient,
    quarantine: QuarantineComponents,
    on_run: Callable[[str], None],
    share_limits: Callable[[SlotLimits], SlotLimits],
    clock: Clock,
    counters: Counters,
) -> ForwardingComponents:
    """Build the components by the settings of the load control.

    :param on_run: called with the client account of each request that ran.
    :param share_limits: makes limits by own knowledge ones that all daemons
        agree on, or returns them as they are.
    """
    pool = upstreams.pool
    forwarder = Forwarder(pool, quarantine.quarantine, clock)
    queueing = None
    if deployment.settings.load_control.queueing:
        queueing = build_admission(
            forwarder,
            pool,
            upstreams.residency.routes,
            share_limits,
            clock,
            counters,
        )
    proxy = RequestProxy(
        forwarder,
        queueing or DirectSelection(forwarder, pool),
        pool,
        calls,
        deployment.upstreams,
        quarantine.ends,
        quarantine.quarantine,
        on_run,
    )
    return ForwardingComponents(proxy, queueing)


def build_admission(
    forwarder: Forwarder,
    pool: Pool,
    routes: RouteTable,
    share_limits: Callable[[SlotLimits], SlotLimits],
    clock: Clock,
    counters: Counters,
) -> QueueingSelection:
    """Build the queue of waiting requests and the limits of its slots."""
    times = ServiceTimes()
    local = LocalSlotLimits(times.find_slot_time, clock)
    limits = share_limits(local)
    return QueueingSelection(
        forwarder,
        pool,
        limits,
        times,
        routes,
        clock,
        counters,
        strict=limits is not local,
    )
