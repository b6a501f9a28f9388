"""Batch coordinators that share upstreams, for tests."""

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
    """Fixed list of coordinators."""

    def __init__(self, *others: Member) -> None:
        """Store the other coordinators."""
        self._others = others

    def list_others(self) -> list[Member]:
        """List the other coordinators."""
        return list(self._others)


def build_allocator(
    pool: Pool,
    clock: FakeClock,
    number: int = 0,
    count: int = 1,
    network: FakeNetwork | None = None,
) -> tuple[SlotAllocator, SlotUsageUpdates]:
    """Build the slot allocator and the usage updates of a coordinator.

    :param number: index of the coordinator in :data:`COORDINATORS`.
    :param count: number of coordinators.
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
