"""Slot policy of a standalone daemon, for embedders that run only one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.distributed_slot_policy import (
    DistributedSlotPolicy,
)
from quetzalcourse.state.members import Member

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.slots import Allowance, SlotReport

STANDALONE_MEMBER = Member('lone', 'lone', '', '')


class StandaloneMembers:
    """``MemberView`` that lists only this daemon, in every data centre."""

    def __init__(self) -> None:
        """Create the constant view."""
        self.own = STANDALONE_MEMBER

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List this daemon."""
        return [self.own]

    def on_change(self, listener: Callable[[], None]) -> None:
        """Ignore the listener, since the members never change."""


class NullSlotLink:
    """``SlotLink`` without peers."""

    def send_reports(
        self,
        owner: Member,
        reports: tuple[SlotReport, ...],
    ) -> None:
        """Discard reports."""

    def send_allowances(
        self,
        requester: Member,
        allowances: tuple[Allowance, ...],
    ) -> None:
        """Discard allowances."""

    def subscribe(
        self,
        on_reports: Callable[[Member, tuple[SlotReport, ...]], None],
        on_allowances: Callable[[Member, tuple[Allowance, ...]], None],
    ) -> None:
        """Ignore the handlers, since no message ever arrives."""


def build_standalone_policy(clock: Clock) -> DistributedSlotPolicy:
    """Build the policy of a daemon that owns every upstream."""
    return DistributedSlotPolicy(StandaloneMembers(), NullSlotLink(), clock)
