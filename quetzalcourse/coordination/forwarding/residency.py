"""Data residency: the regions where requests and their bodies may be handled.

Operators bind routes and client accounts to regions. A request runs only at
upstreams of those regions, and the daemon that accepted it passes its body
only to daemons of those regions: when a batch is offered or taken over, or is
written through another daemon while the store is unreachable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.state.batches import BatchHead
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.routing import AllowedRegions, Route


class Residency:
    """Looks up the regions that requests and batches are bound to.

    :param regions: region of each data centre.
    """

    def __init__(self, regions: Mapping[str, str], routes: RouteTable) -> None:
        self.routes = routes
        self._regions = regions

    def find_allowed(
        self,
        route: Route | None,
        client_account: str,
    ) -> AllowedRegions:
        """Find the regions of a route's requests, ``None`` if unrestricted."""
        by_route = route.allowed_regions if route is not None else None
        by_account = self.routes.find_account_regions(client_account)
        if by_route is None or by_account is None:
            return by_account if by_route is None else by_route
        return by_route & by_account

    def find_batch_regions(self, head: BatchHead) -> AllowedRegions:
        """Find the regions of a batch, ``None`` if unrestricted."""
        route = self.routes.find(head.route)
        return self.find_allowed(route, head.client_account)

    def may_store_items(self, head: BatchHead, member: Member) -> bool:
        """Return whether a daemon may receive the items of a batch."""
        allowed = self.find_batch_regions(head)
        return allowed is None or self._find_region(member) in allowed

    def list_takeover_candidates(
        self,
        head: BatchHead | None,
        members: Iterable[Member],
        owner: str,
    ) -> list[Member]:
        """List the daemons that may take over a batch.

        A caller outside the allowed regions has its batch run by a daemon
        near itself. If no daemon is in an allowed region, the daemons of that
        owner's region are the candidates.

        :param owner: data centre of the owner, empty if unknown.
        """
        candidates = list(members)
        if head is None:
            return candidates
        allowed = [
            member
            for member in candidates
            if self.may_store_items(head, member)
        ]
        region = self._regions.get(owner, '')
        return allowed or [
            member
            for member in candidates
            if self._find_region(member) == region
        ]

    def may_relay(self, own: Member, member: Member) -> bool:
        """Return whether a daemon may write to the store for another one."""
        if not self.routes.restricts_regions:
            return True
        return self._find_region(own) == self._find_region(member)

    def _find_region(self, member: Member) -> str:
        return self._regions.get(member.data_centre, '')
