"""Daemons that run batches together, each against doing without a part."""

from __future__ import annotations

from bench.figure import Figure, at_most
from quetzalcourse.coordination.batches.owner_watch import WATCHERS_PER_BATCH
from quetzalcourse.tests.coordination.batches.owner_watch_tests import (
    LARGE,
    MAX_RATIO,
    SMALL,
    WatchWorld,
)
from quetzalcourse.tests.coordination.batches.slot_allocation_tests import (
    ITEMS,
    SLOTS,
    UPSTREAMS,
    World,
)
from quetzalcourse.tests.coordinators import COORDINATORS

FIGURES = ('items_in_upstream_queues', 'owner_end_noticed_ratio')
TICKS = 4


async def measure_queues() -> Figure:
    """Count the items that wait inside upstreams after two steps began."""
    return Figure(
        'items_in_upstream_queues',
        await _play_bursts(cut=False),
        'items',
        at_most(0),
        baseline=await _play_bursts(cut=True),
        detail=f'two steps of {ITEMS} items on {UPSTREAMS * SLOTS} slots;'
        ' baseline: coordinators that hear nothing of each other',
    )


async def _play_bursts(*, cut: bool) -> int:
    world = World()
    if cut:
        first, second = COORDINATORS[:2]
        world.network.cut(first, second)
        world.network.cut(second, first)
    await world.introduce_coordinators()
    for coordinator in world.coordinators:
        coordinator.begin(ITEMS)
    return await world.run_ticks(TICKS)


async def measure_watch() -> Figure:
    """Compare the time until an owner's end is believed with a small size."""
    return Figure(
        'owner_end_noticed_ratio',
        await _compare_sizes(rank=0),
        'ratio',
        at_most(MAX_RATIO),
        baseline=await _compare_sizes(rank=WATCHERS_PER_BATCH),
        detail=f'{LARGE} daemons against {SMALL}; baseline: one that does not'
        ' watch the owner',
    )


async def _compare_sizes(rank: int) -> float:
    took = []
    for count in (LARGE, SMALL):
        world = WatchWorld(count)
        took.append(await world.measure(world.successors[rank]))
    return took[0] / took[1]


async def measure() -> list[Figure]:
    """Measure all of them."""
    return [await measure_queues(), await measure_watch()]
