"""Daemons that run batches and share upstreams, for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.slot_usage_updates import (
    SlotUsageUpdates,
)
from quetzalcourse.coordination.batches.slot_allocation import SlotAllocator
from quetzalcourse.state.members import Member
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.tests.clocks import FakeClock

COORDINATORS = tuple(
    Member(
        f'coordinator-{name}',
        f'coordinator-{name}-run',
        'hall-a',
        f'coordinator-{name}:1',
    )
    for name in 'abc'
)


class FixedCoordinators:
    """Coordinators that a test decides."""

    def __init__(self, *others: Member) -> None:
        """Keep the others."""
        self._others = others

    def list_others(self) -> list[Member]:
        """List the others."""
        return list(self._others)


def build_allocator(
    pool: Pool,
    clock: FakeClock,
    number: int = 0,
    count: int = 1,
    network: FakeNetwork | None = None,
) -> tuple[SlotAllocator, SlotUsageUpdates]:
    """Build what one coordinator knows of the others' slots.

    :param number: which of the coordinators it is.
    :param count: how many coordinators there are.
    """
    own = COORDINATORS[number]
    everyone = COORDINATORS[:count]
    peers = (network or FakeNetwork()).join(own)
    allocator = SlotAllocator(FakeMembers(own, list(everyone)), pool, clock)
    others = FixedCoordinators(*(one for one in everyone if one != own))
    updates = SlotUsageUpdates(
        allocator,
        pool,
        others,  # type: ignore
        peers,
        clock,
    )
    return allocator, updates
