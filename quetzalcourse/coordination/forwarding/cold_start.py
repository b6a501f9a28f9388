"""Rate limits for upstreams that have just started (slow start).

When a data centre recovers, or an upstream is replaced during a burst of
batch submissions, every daemon sees an idle upstream and fills it at once.
With cold caches it crashes under more than a few requests a second.

The limit must hold for all daemons together, including daemons that can't
reach each other, so it needs no communication: rendezvous hashing selects a
few sender daemons for each cold upstream, and each sender's share keeps the
total within the limit even while the daemons' membership views differ.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.slots.ownership import rank_members
from quetzalcourse.state.routing import RouteKind

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.settings.rollout import ColdStartTolerance
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.routing import ColdStart, RoutingManifest

# Membership views that may coexist: the two sides of a partition, and a daemon
# that has just restarted. Each view may select different senders.
MAX_DIVERGENT_VIEWS = 3
RATE_WINDOW = timedelta(seconds=1)


class Coordinators(Protocol):
    """The daemons that run batches."""

    def leads(self, upstream: Upstream) -> bool:
        """Return whether this daemon is the leading sender of an upstream."""


class ColdStartPolicy(Protocol):
    """Decides on requests to cold upstreams."""

    def find_duration(self, upstream: Upstream) -> timedelta:
        """Return how long an upstream is cold after its start, 0 if never."""

    def is_cold(self, upstream: Upstream) -> bool:
        """Return whether the rate of an upstream is limited now."""

    def admits(self, upstream: Upstream) -> bool:
        """Return whether this daemon may send an upstream a request now."""


class NoColdStartLimits:
    """Policy without rate limits after a start."""

    def find_duration(self, _: Upstream) -> timedelta:
        """Return zero: no upstream is ever cold."""
        return timedelta(0)

    def is_cold(self, _: Upstream) -> bool:
        """Return ``False``: no upstream is ever cold."""
        return False

    def admits(self, _: Upstream) -> bool:
        """Return ``True``: every request may be sent."""
        return True


class ColdStartLimiter:
    """Decides whether this daemon may send a request to a cold upstream.

    Batch items come from a few coordinators, so one coordinator sends the
    whole budget of an upstream. Requests arrive at every daemon, so for them
    the budget is divided among at most as many daemons as it has requests.
    """

    def __init__(
        self,
        terms: ColdStartTolerance,
        members: MemberView,
        coordinators: Coordinators,
        clock: Clock,
    ) -> None:
        """Start without a service; :meth:`on_manifest` sets them."""
        self._terms = terms
        self._members = members
        self._coordinators = coordinators
        self._clock = clock
        self._cold_starts: dict[str, ColdStart] = {}
        self._batch_services: set[str] = set()

    def on_manifest(self, manifest: RoutingManifest) -> None:
        """Apply the cold-start settings of a new routing manifest."""
        self._cold_starts = {
            service.name: service.cold_start
            for service in manifest.services.values()
            if service.cold_start is not None
        }
        self._batch_services = {
            target.service
            for route in manifest.routes
            if route.kind is RouteKind.batch
            for target in route.targets
        }

    def find_duration(self, upstream: Upstream) -> timedelta:
        """Return how long an upstream is cold after its start, 0 if never."""
        cold_start = self._cold_starts.get(upstream.member.service)
        return cold_start.duration if cold_start else timedelta(0)

    def is_cold(self, upstream: Upstream) -> bool:
        """Return whether the rate of an upstream is limited now."""
        limited = upstream.member.service in self._cold_starts
        return limited and upstream.is_cold(self._clock.elapsed())

    def admits(self, upstream: Upstream) -> bool:
        """Return whether this daemon may send a request now."""
        if not self.is_cold(upstream):
            return True
        share = self._find_share(upstream)
        sent = upstream.count_sent(self._clock.elapsed() - RATE_WINDOW)
        return sent < share

    def _find_share(self, upstream: Upstream) -> int:
        service = upstream.member.service
        budget = compute_sender_budget(self._cold_starts[service], self._terms)
        if service in self._batch_services:
            return budget if self._coordinators.leads(upstream) else 0
        ranked = rank_members(upstream.name, self._members.list_live())
        senders = ranked[:budget]
        if self._members.own.vm not in {member.vm for member in senders}:
            return 0
        return budget // len(senders)


def compute_sender_budget(
    cold_start: ColdStart, terms: ColdStartTolerance
) -> int:
    """Return the requests a second that the senders of one view share."""
    limit = cold_start.requests_per_second * terms.overage + terms.slack
    return int(limit / MAX_DIVERGENT_VIEWS)
