"""A daemon by itself, for embedders that run only one."""

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
    """Port ``MemberView`` with this daemon only, in every data centre."""

    def __init__(self) -> None:
        """Begin, and never change."""
        self.own = STANDALONE_MEMBER

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List this daemon."""
        return [self.own]

    def on_change(self, listener: Callable[[], None]) -> None:
        """Take no note: nothing changes."""


class NullSlotLink:
    """Port ``SlotLink`` to nobody."""

    def send_reports(
        self,
        owner: Member,
        reports: tuple[SlotReport, ...],
    ) -> None:
        """Lose reports."""

    def send_allowances(
        self,
        requester: Member,
        allowances: tuple[Allowance, ...],
    ) -> None:
        """Lose allowances."""

    def subscribe(
        self,
        on_reports: Callable[[Member, tuple[SlotReport, ...]], None],
        on_allowances: Callable[[Member, tuple[Allowance, ...]], None],
    ) -> None:
        """Take no note: nothing is ever received."""


def build_standalone_policy(clock: Clock) -> DistributedSlotPolicy:
    """Build the policy of a daemon that owns every upstream."""
    return DistributedSlotPolicy(StandaloneMembers(), NullSlotLink(), clock)
