"""Lists the daemons that run batches or may start one at any time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.coordinators import find_coordinator

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.directory import BatchDirectory
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.members import Member


class CoordinatorList:
    """Lists the daemons that need slot and load updates immediately.

    If all daemons sent such updates to all others, the number of messages
    would grow with the square of the number of daemons.
    """

    def __init__(
        self,
        directory: BatchDirectory,
        routes: RouteTable,
        members: MemberView,
    ) -> None:
        """Store the dependencies."""
        self._directory = directory
        self._routes = routes
        self._members = members

    def list_others(self) -> list[Member]:
        """List the other coordinators and owners of open batches."""
        live = self._members.list_live()
        owners = {
            view.owner.vm
            for view in self._directory.batches.values()
            if view.open and view.owner is not None
        }
        found = {member.vm: member for member in live if member.vm in owners}
        for data_centre in sorted({member.data_centre for member in live}):
            local_members = [
                one for one in live if one.data_centre == data_centre
            ]
            for model in self._routes.models:
                coordinator = find_coordinator(
                    model, local_members[0], local_members
                )
                found[coordinator.vm] = coordinator
        found.pop(self._members.own.vm, None)
        return list(found.values())
