"""Tests that the daemons that run batches follow weight loads."""

from __future__ import annotations

from datetime import timedelta

from quetzalcourse.coordination.batches.placement import (
    PlacementRequest,
    Placement,
)
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.versions.load_updates import LoadUpdates
from quetzalcourse.coordination.versions.load_plan import WeightLoad
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.coordinators import (
    COORDINATORS,
    FixedCoordinators,
    build_allocator,
)
from quetzalcourse.tests.peers import FakeNetwork

UPSTREAMS = 8
LOADING = 4
SLOTS = 6
LOAD_TIME = timedelta(seconds=1)
HOLDER, COORDINATOR = COORDINATORS[:2]
NEWEST = PlacementRequest('engines', 'verse', 2)
EARLIER = PlacementRequest('engines', 'verse', 1)


class World:
    """The daemon that orders loads, and one that runs batches."""

    def __init__(self) -> None:
        """Start with upstreams that hold the first version."""
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.pool = Pool('hall-a', self.clock, Counters())
        for number in range(UPSTREAMS):
            self.pool.replace(
                PoolMember(
                    f'e-{number}',
                    'engines',
                    f'e-{number}:1',
                    'hall-a',
                    SLOTS,
                    versions={'verse': 1, 'drill': 1},
                )
            )
        allocator, _ = build_allocator(self.pool, self.clock)
        self.placement = Placement(self.pool, allocator, self.clock)
        self.loads = [
            WeightLoad(f'e-{number}', 'verse', 2) for number in range(LOADING)
        ]
        elsewhere = Pool('hall-a', self.clock, Counters())
        none = FixedCoordinators()
        own = self.network.join(COORDINATOR)
        LoadUpdates(none, self.pool, own)  # type: ignore
        coordinators = FixedCoordinators(COORDINATOR)
        peers = self.network.join(HOLDER)
        self.holder = LoadUpdates(
            coordinators,  # type: ignore
            elsewhere,
            peers,
        )

    def list_eligible(self, need: PlacementRequest) -> set[str]:
        """Return the names of the upstreams where an item may run."""
        return {
            upstream.name for upstream in self.placement.list_eligible(need)
        }


async def test_loading_upstreams_are_not_eligible() -> None:
    # A version is named when its step is submitted, and half of the upstreams
    # start to load it. Each item that is sent there is refused, and the
    # longest item of the step starts seconds late.
    world = World()
    world.holder.on_loads_started(world.loads, LOAD_TIME)
    await settle()
    loading = {load.upstream for load in world.loads}
    assert not world.list_eligible(EARLIER) & loading
    assert len(world.list_eligible(EARLIER)) == UPSTREAMS - LOADING
    assert (
        len(world.list_eligible(PlacementRequest('engines', 'drill', 1)))
        == UPSTREAMS
    )


async def test_loaded_weights_are_eligible_at_once() -> None:
    # The upstream's own registration shows its new weights up to a second
    # after they could be used; until then its slots would be idle.
    world = World()
    world.holder.on_loads_started(world.loads, LOAD_TIME)
    await settle()
    assert not world.list_eligible(NEWEST)
    world.holder.on_load_done(world.loads[0])
    await settle()
    assert world.list_eligible(NEWEST) == {world.loads[0].upstream}


async def test_load_without_an_end_update_expires() -> None:
    # The daemon that sent the order dies. Without expiry its upstreams would
    # count as loading forever.
    world = World()
    world.holder.on_loads_started(world.loads, LOAD_TIME)
    await settle()
    world.clock.move(LOAD_TIME)
    assert len(world.list_eligible(EARLIER)) == UPSTREAMS
