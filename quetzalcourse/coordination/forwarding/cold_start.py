"""Rate limits for upstreams that have just started.

When a data centre returns, or an upstream is replaced during a burst of
batch submissions, every daemon sees an upstream without load and fills it
at once. With cold caches it crashes under more than a few requests a second.
The limit holds for all daemons together, also for those that can't reach each
other, so no daemon asks another one: a few of them are chosen for each cold
upstream by hashing, and each keeps to a share that stays within the limit
while the daemons' views of each other differ.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.slots.ownership import rank_members
from quetzalcourse.state.routing import RouteKind

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.settings.rollout import ColdStartTerms
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.routing import ColdStart, RoutingManifest

# Views that may differ at once: two sides of a partition, and a daemon that
# has just restarted. Each may choose other senders.
MAX_DIVERGENT_VIEWS = 3
WINDOW = timedelta(seconds=1)


class Coordinators(Protocol):
    """The daemons that run batches."""

    def leads(self, upstream: Upstream) -> bool:
        """Tell whether this daemon goes first at an upstream."""


class ColdStartPolicy(Protocol):
    """Decides on requests to cold upstreams."""

    def find_duration(self, upstream: Upstream) -> timedelta:
        """Tell how long an upstream is cold after its start, 0 if never."""

    def is_cold(self, upstream: Upstream) -> bool:
        """Tell whether an upstream takes few requests now."""

    def admits(self, upstream: Upstream) -> bool:
        """Tell whether this daemon may send an upstream a request now."""


class NoColdStartLimits:
    """Upstreams that take any number of requests from their start on."""

    def find_duration(self, _: Upstream) -> timedelta:
        """Tell that no upstream is cold for any time."""
        return timedelta(0)

    def is_cold(self, _: Upstream) -> bool:
        """Tell that no upstream is cold."""
        return False

    def admits(self, _: Upstream) -> bool:
        """Let every request go."""
        return True


class ColdStartLimiter:
    """Decides whether this daemon may send a request to a cold upstream.

    Items of batches come from a few coordinators, so one of these sends all
    that an upstream may get. Requests come in at every daemon; there the
    share is spread over as many daemons as may send one each.
    """

    def __init__(
        self,
        terms: ColdStartTerms,
        members: MemberView,
        coordinators: Coordinators,
        clock: Clock,
    ) -> None:
        """Begin without a service."""
        self._terms = terms
        self._members = members
        self._coordinators = coordinators
        self._clock = clock
        self._cold_starts: dict[str, ColdStart] = {}
        self._batch_services: set[str] = set()

    def on_manifest(self, manifest: RoutingManifest) -> None:
        """Take the services of a manifest that came into force."""
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
        """Tell how long an upstream is cold after its start, 0 if never."""
        cold_start = self._cold_starts.get(upstream.member.service)
        return cold_start.duration if cold_start else timedelta(0)

    def is_cold(self, upstream: Upstream) -> bool:
        """Tell whether an upstream takes few requests now."""
        limited = upstream.member.service in self._cold_starts
        return limited and upstream.is_cold(self._clock.elapsed())

    def admits(self, upstream: Upstream) -> bool:
        """Tell whether this daemon may send a request now."""
        if not self.is_cold(upstream):
            return True
        share = self._find_share(upstream)
        sent = upstream.count_sent(self._clock.elapsed() - WINDOW)
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


def compute_sender_budget(cold_start: ColdStart, terms: ColdStartTerms) -> int:
    """Tell how many requests the senders of one view share in a second."""
    limit = cold_start.requests_per_second * terms.overage + terms.slack
    return int(limit / MAX_DIVERGENT_VIEWS)
