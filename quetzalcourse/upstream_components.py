"""Builds the components that track upstreams and their availability."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.coordination.forwarding.cold_start import ColdStartLimiter
from quetzalcourse.coordination.forwarding.evacuation import Evacuations
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.registrations import Registrations
from quetzalcourse.coordination.forwarding.residency import Residency
from quetzalcourse.coordination.forwarding.slot_audit import SlotAudit

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.cold_start import Coordinators
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.coordination.forwarding.slot_audit import OpenRequests
    from quetzalcourse.deployment import Documents
    from quetzalcourse.feed_components import FeedComponents
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.settings.rollout import RolloutSettings
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters


@dataclass(frozen=True, slots=True)
class UpstreamComponents:
    """Pool of upstreams, their registrations and evacuations."""

    pool: Pool
    registrations: Registrations
    evacuations: Evacuations
    residency: Residency


def build_upstream_components(
    settings: RolloutSettings,
    feeds: FeedComponents,
    documents: Documents,
    routes: RouteTable,
    clock: Clock,
    counters: Counters,
) -> UpstreamComponents:
    """Build the components and connect them."""
    pool = Pool(
        settings.data_centre,
        clock,
        counters,
        settings.regions,
        measured_pace=settings.load_control.measured_pace,
    )
    residency = Residency(settings.regions, routes)
    feeds.relay_peers.restrict(partial(residency.may_relay, feeds.presence.own))
    return UpstreamComponents(
        pool,
        Registrations(feeds.upstreams, pool, documents.read_member, clock),
        Evacuations(pool, counters),
        residency,
    )


def limit_cold_starts(
    parts: UpstreamComponents,
    settings: RolloutSettings,
    feeds: FeedComponents,
    coordinators: Coordinators,
    routes: RouteTable,
    clock: Clock,
) -> None:
    """Limit the rate of requests to cold upstreams from now on."""
    limiter = ColdStartLimiter(
        settings.cold_start, feeds.presence, coordinators, clock
    )
    parts.pool.cold_starts = limiter
    routes.on_manifest(limiter.on_manifest)


def audit_slots(
    parts: UpstreamComponents,
    requests: OpenRequests,
    lifecycle: Lifecycle,
    clock: Clock,
    counters: Counters,
) -> None:
    """Compare the slots in use with the open requests in the background."""
    audit = SlotAudit(parts.pool, requests, clock, counters)
    lifecycle.run('slot audit', audit.run)
