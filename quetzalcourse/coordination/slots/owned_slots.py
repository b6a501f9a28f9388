"""The upstreams that this daemon owns, and its answers to other daemons."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.ownership import (
    count_fallback_slots,
    find_owner,
    rank_members,
)
from quetzalcourse.coordination.slots.slot_owner import SlotOwner
from quetzalcourse.state.slots import Allowance

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from datetime import timedelta

    from quetzalcourse.state.manifest import Upstream
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.slots import SlotReport, SlotTimings

AllowancesByRequester = dict[str, list[Allowance]]


class OwnedSlots:
    """Manages the slot owners of all upstreams assigned to this daemon.

    :param own: this daemon.
    """

    def __init__(self, own: Member, terms: SlotTimings) -> None:
        """Create without upstreams."""
        self._own = own
        self._terms = terms
        self._upstreams: dict[str, Upstream] = {}
        self._weights: Mapping[int, float] = {}
        self._owners: dict[str, SlotOwner] = {}
        self._live_incarnations: set[str] = set()

    def names(self) -> tuple[str, ...]:
        """Return the names of the upstreams owned here."""
        return tuple(self._owners)

    def find(self, upstream: str) -> SlotOwner | None:
        """Return the owner state of an upstream owned here."""
        return self._owners.get(upstream)

    def on_manifest(
        self,
        upstreams: Mapping[str, Upstream],
        weights: Mapping[int, float],
    ) -> None:
        """Select the upstreams of this data centre, or all if it has no name.

        :param weights: account id to weight.
        """
        self._upstreams = {
            name: upstream
            for name, upstream in upstreams.items()
            if self._own.data_centre in {'', upstream.data_centre}
        }
        self._weights = weights

    def on_members(self, members: list[Member], now: timedelta) -> None:
        """Start and end ownership according to the live members.

        :param members: live members of this daemon's data centre.
        """
        for name, upstream in self._upstreams.items():
            owner = find_owner(name, members)
            if owner is None or owner.incarnation != self._own.incarnation:
                self._owners.pop(name, None)
                continue
            shares = list_fallback_shares(upstream, members)
            if name not in self._owners:
                self._owners[name] = SlotOwner(
                    upstream, self._terms, self._find_takeover_end(now), shares
                )
            self._owners[name].on_manifest(upstream, self._weights)
            self._owners[name].on_members(shares)
        for name in tuple(self._owners):
            if name not in self._upstreams:
                self._owners.pop(name)
        self._live_incarnations = {member.incarnation for member in members}

    def on_reports(
        self,
        sender: str,
        reports: Iterable[SlotReport],
        now: timedelta,
    ) -> AllowancesByRequester:
        """Process the reports of a daemon.

        A report on an upstream that is not owned here gets no answer: its
        sender has a different member list and will ask the right owner once it
        is up to date.

        :returns: allowances to send, by incarnation.
        """
        answers: AllowancesByRequester = defaultdict(list)
        for report in reports:
            owner = self._owners.get(report.upstream)
            if owner is None or not owner.on_report(sender, report, now):
                continue
            sent = owner.decide(now, frozenset((sender,)))
            for name, allowance in sent.items():
                answers[name].append(allowance)
        return answers

    def decide_all(self, now: timedelta) -> AllowancesByRequester:
        """Recompute the division of all upstreams, for allowances that expired.

        :returns: allowances to send, by incarnation.
        """
        answers: AllowancesByRequester = defaultdict(list)
        for owner in self._owners.values():
            for name, allowance in owner.decide(now).items():
                answers[name].append(allowance)
        return answers

    def _find_takeover_end(self, now: timedelta) -> timedelta:
        # No other daemon was ever seen here, so none holds an allowance;
        # waiting would only delay the first request.
        if self._live_incarnations <= {self._own.incarnation}:
            return now
        return now + self._terms.term


def list_fallback_shares(
    upstream: Upstream,
    members: list[Member],
) -> dict[str, int]:
    """Return the fallback shares of the members, by incarnation."""
    ranked = rank_members(upstream.name, members)
    return {
        member.incarnation: count_fallback_slots(
            upstream.slots, rank, len(ranked)
        )
        for rank, member in enumerate(ranked)
    }
