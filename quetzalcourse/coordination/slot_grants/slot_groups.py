"""Owners of an upstream's slots.

Under a burst, hundreds of daemons ask for the slots of the same few upstreams.
One owner for each upstream would exchange messages with all of them, so large
deployments split an upstream's slots into groups with an owner each.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.ownership import (
    count_fallback_slots,
    find_owner,
    hash_name,
    rank_members,
)

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

MEMBERS_PER_OWNER = 60
# How often the list of live members is read; it changes within seconds.
MEMBERS_TTL = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class SlotGroup:
    """Slots of an upstream that one daemon grants.

    :param key: key that decides the owner.
    :param upstream_slots: all slots of the upstream.
    """

    key: str
    upstream: str
    index: int
    slots: int
    upstream_slots: int


def split_slots(upstream: str, slots: int, members: int) -> list[SlotGroup]:
    """Split the slots of an upstream into groups.

    :param members: number of live daemons of the deployment.
    """
    wanted = math.ceil(members / MEMBERS_PER_OWNER)
    count = max(min(wanted, slots), 1)
    each, rest = divmod(slots, count)
    return [
        SlotGroup(
            f'{upstream}/{index}',
            upstream,
            index,
            each + int(index < rest),
            slots,
        )
        for index in range(count)
    ]


class OwnerDirectory:
    """Groups of each upstream's slots, and their owners among live members.

    Daemons with the same member list agree without a message. The owner is in
    the upstream's data centre, so a data centre that is cut off still shares
    its own upstreams.
    """

    def __init__(self, members: MemberView, clock: Clock) -> None:
        """Create without upstreams."""
        self._members = members
        self._clock = clock
        self._read_at: timedelta | None = None
        self._live: list[Member] = []
        self.changed_at = clock.elapsed()
        self._owners: dict[tuple[str, str], Member | None] = {}
        members.on_change(self._on_change)

    @property
    def own(self) -> Member:
        """This daemon."""
        return self._members.own

    def list_groups(self, upstream: Upstream) -> list[SlotGroup]:
        """List the slot groups of an upstream."""
        live = len(self._list_live())
        return split_slots(upstream.name, upstream.member.slots, live)

    def find_own_group(self, upstream: Upstream) -> SlotGroup:
        """Find the group of an upstream's slots that this daemon uses.

        A daemon uses one group of each upstream, so that its requests there
        need not be told apart.
        """
        groups = self.list_groups(upstream)
        return groups[_find_place(upstream, self.own, len(groups))]

    def list_users(self, upstream: Upstream, index: int) -> set[str]:
        """List the incarnations of the other daemons that use a group."""
        groups = len(self.list_groups(upstream))
        return {
            member.incarnation
            for member in self._list_live()
            if member.incarnation != self.own.incarnation
            and _find_place(upstream, member, groups) == index
        }

    def find_owner(self, group: SlotGroup, upstream: Upstream) -> Member | None:
        """Find the owner of a group, ``None`` if no daemon can own it."""
        live = self._list_live()
        data_centre = upstream.member.data_centre
        key = (group.key, data_centre)
        if key not in self._owners:
            self._owners[key] = find_owner(
                group.key,
                [one for one in live if one.data_centre == data_centre],
            )
        return self._owners[key]

    def find_member(self, incarnation: str) -> Member | None:
        """Find a live member."""
        for member in self._list_live():
            if member.incarnation == incarnation:
                return member
        return None

    def count_fallback(self, upstream: Upstream) -> int:
        """Count the slots that this daemon uses while no owner answers.

        It is never below one, so that no request waits while all is idle.
        """
        ranked = rank_members(upstream.name, self._list_live())
        names = [member.incarnation for member in ranked]
        if self.own.incarnation not in names:
            return 1
        rank = names.index(self.own.incarnation)
        slots = upstream.member.slots
        return max(count_fallback_slots(slots, rank, len(names)), 1)

    def _list_live(self) -> list[Member]:
        now = self._clock.elapsed()
        if self._read_at is None or now - self._read_at >= MEMBERS_TTL:
            live = self._members.list_live()
            if live != self._live:
                self._owners.clear()
            self._live = live
            self._read_at = now
        return self._live

    def _on_change(self) -> None:
        self._read_at = None
        self.changed_at = self._clock.elapsed()


def _find_place(upstream: Upstream, member: Member, groups: int) -> int:
    """Find the index of the group that a daemon uses."""
    return hash_name(f'{upstream.name}/{member.incarnation}') % groups
