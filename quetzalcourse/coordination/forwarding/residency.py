"""In which regions requests and their bodies may be handled.

Operators bind routes and client accounts to regions. A request runs only at
upstreams of those regions, and its body leaves the daemon that took it only
for daemons there: with a batch that is offered, taken over, or written by way
of another daemon while the store is out of reach.
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
    """Knows the regions of data centres, and what is bound to which.

    :param regions: region of each data centre.
    """

    def __init__(self, regions: Mapping[str, str], routes: RouteTable) -> None:
        """Keep the parts."""
        self.routes = routes
        self._regions = regions

    def find_allowed(
        self,
        route: Route | None,
        client_account: str,
    ) -> AllowedRegions:
        """Find the regions of a route's requests, ``None`` if any will do."""
        of_route = route.allowed_regions if route is not None else None
        of_account = self.routes.find_account_regions(client_account)
        if of_route is None or of_account is None:
            return of_account if of_route is None else of_route
        return of_route & of_account

    def find_batch_regions(self, head: BatchHead) -> AllowedRegions:
        """Find the regions of a batch, ``None`` if any will do."""
        route = self.routes.find(head.route)
        return self.find_allowed(route, head.client_account)

    def may_store_items(self, head: BatchHead, member: Member) -> bool:
        """Tell whether a daemon may be sent the items of a batch."""
        allowed = self.find_batch_regions(head)
        return allowed is None or self._find_region(member) in allowed

    def list_takeover_candidates(
        self,
        head: BatchHead | None,
        members: Iterable[Member],
        owner: str,
    ) -> list[Member]:
        """List the daemons that may take a batch over.

        A caller elsewhere has its batch run by a daemon near itself. Where no
        daemon stands in an allowed region, those near that owner follow it.

        :param owner: data centre of the owner, empty if it is not known.
        """
        everyone = list(members)
        if head is None:
            return everyone
        allowed = [one for one in everyone if self.may_store_items(head, one)]
        region = self._regions.get(owner, '')
        return allowed or [
            one for one in everyone if self._find_region(one) == region
        ]

    def may_relay(self, own: Member, member: Member) -> bool:
        """Tell whether a daemon may write for another one to the store."""
        if not self.routes.restricts_regions:
            return True
        return self._find_region(own) == self._find_region(member)

    def _find_region(self, member: Member) -> str:
        return self._regions.get(member.data_centre, '')
