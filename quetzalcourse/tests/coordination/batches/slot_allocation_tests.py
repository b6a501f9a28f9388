"""Tests of the slot allocation between coordinators under bursts."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import timedelta

from quetzalcourse.coordination.batches.placement import (
    PlacementRequest,
    Placement,
)
from quetzalcourse.coordination.batches.slot_allocation import (
    RESERVATION_TTL,
    UPDATE_TTL,
    INITIAL_UPDATE_WAIT,
    SlotDemand,
)
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.upstream_slot import UpstreamSlot
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.coordinators import COORDINATORS, build_allocator
from quetzalcourse.tests.peers import FakeNetwork

UPSTREAMS = 24
SLOTS = 6
# Items of one step; two steps have twice as many as there are slots.
ITEMS = 150
TICK = timedelta(milliseconds=50)
MODELS = ('verse', 'drill')
MESSAGE = timedelta(milliseconds=2)
LATE = timedelta(seconds=4)


class Coordinator:
    """One coordinator with its own view of the upstreams."""

    def __init__(self, world: World, number: int) -> None:
        """Initialise without items and without other coordinators."""
        self.pool = Pool('hall-a', world.clock, Counters())
        for name in world.names:
            self.pool.replace(
                PoolMember(
                    name,
                    'engines',
                    f'{name}:1',
                    'hall-a',
                    SLOTS,
                    versions=dict.fromkeys(MODELS, 1),
                )
            )
        self.allocator, self.updates = build_allocator(
            self.pool, world.clock, number, len(MODELS), world.network
        )
        self.placement = Placement(self.pool, self.allocator, world.clock)
        self.request = PlacementRequest(
            'engines', MODELS[number], 1, latest_start=world.clock.elapsed()
        )
        self.waiting = 0
        self.running: list[UpstreamSlot] = []

    def begin(self, items: int) -> None:
        """Start a batch."""
        self.waiting += items
        self.updates.on_batch_start()

    def place(self) -> None:
        """Place as many items as find a slot, and send an update."""
        while self.waiting:
            upstream = self.placement.choose(self.request)
            if upstream is None:
                break
            self.waiting -= 1
            self.running.append(self.pool.take_slot(upstream))
        short = [SlotDemand(self.request.key, self.request.latest_start)]
        self.updates.send_update(short if self.waiting else [])

    def finish(self, count: int) -> None:
        """Finish some items, spread over the upstreams."""
        spread = max(len(self.running) // count, 1) if count else 1
        ended = set(range(0, spread * count, spread))
        for index, slot in enumerate(self.running):
            if index in ended:
                slot.release()
        self.running = [slot for slot in self.running if slot.held]


class World:
    """Two coordinators that share upstreams."""

    def __init__(self) -> None:
        """Initialise the coordinators, which do not know each other yet."""
        self.clock = FakeClock()
        self.network = FakeNetwork()
        self.names = [f'e-{number}' for number in range(UPSTREAMS)]
        self.coordinators = [
            Coordinator(self, number) for number in range(len(MODELS))
        ]

    async def introduce_coordinators(self) -> None:
        """Let each coordinator run a batch, so that they know each other."""
        for coordinator in self.coordinators:
            coordinator.begin(1)
            coordinator.place()
            await self.pass_time(TICK)
            coordinator.finish(1)
            coordinator.place()
        await self.pass_time(TICK)

    async def pass_time(self, duration: timedelta) -> None:
        """Deliver messages and advance the clock."""
        await settle()
        await self.clock.advance(duration)

    async def run_ticks(self, ticks: int, *, finished: int = 0) -> int:
        """Let both coordinators place their items for some ticks.

        :param finished: items of each coordinator that finish in each tick.
        :returns: largest number of items beyond the slots of the upstreams.
        """
        most = 0
        for _ in range(ticks):
            for coordinator in self.coordinators:
                coordinator.finish(finished)
                coordinator.place()
            most = max(most, self.count_overcommitted())
            await self.pass_time(TICK)
        return most

    def count_used(self) -> Counter[str]:
        """Count the items at each upstream."""
        return Counter(
            slot.upstream.name
            for coordinator in self.coordinators
            for slot in coordinator.running
        )

    def count_overcommitted(self) -> int:
        """Count the items that exceed the slots of their upstreams."""
        taken = self.count_used().values()
        return sum(max(count - SLOTS, 0) for count in taken)


async def test_concurrent_steps_do_not_overcommit_upstreams() -> None:
    # Two trainers submit within the same milliseconds. Items that both
    # coordinators send to the same slots queue in the upstreams for seconds,
    # and a trainer waits for the longest of them.
    world = World()
    await world.introduce_coordinators()
    for coordinator in world.coordinators:
        coordinator.begin(ITEMS)
    assert await world.run_ticks(4) == 0
    assert sum(world.count_used().values()) == UPSTREAMS * SLOTS


async def test_concurrent_steps_progress_evenly() -> None:
    """Neither coordinator takes all slots that the other one releases."""
    world = World()
    await world.introduce_coordinators()
    for coordinator in world.coordinators:
        coordinator.begin(ITEMS)
    assert await world.run_ticks(12, finished=10) <= SLOTS
    left = [coordinator.waiting for coordinator in world.coordinators]
    assert max(left) - min(left) < ITEMS / 4


async def test_later_step_gets_its_share() -> None:
    # One trainer uses all slots when the other one submits. Without shares,
    # released slots would go to the waiting items of the first one.
    world = World()
    await world.introduce_coordinators()
    first, second = world.coordinators
    first.begin(2 * ITEMS)
    await world.run_ticks(3)
    second.begin(ITEMS)
    await world.run_ticks(8, finished=10)
    # Out of the slots of eighty items of the first one that finished meanwhile.
    assert ITEMS - second.waiting > 20


async def test_overdue_step_has_priority_at_all_upstreams() -> None:
    # A trainer is seconds late, and its older step waits at another
    # coordinator than the newer one, as after a takeover. If the newer step
    # kept half of the slots, the trainer would never catch up.
    world = World()
    await world.introduce_coordinators()
    newer, older = world.coordinators
    newer.begin(2 * ITEMS)
    await world.run_ticks(3)
    older.request = replace(
        older.request, latest_start=older.request.latest_start - LATE
    )
    older.begin(ITEMS)
    await world.run_ticks(8, finished=12)
    # Out of the slots of the newer step's items that finished meanwhile,
    # except those that were reused before the older step was known.
    assert ITEMS - older.waiting > 6 * 12


async def test_single_step_uses_every_slot() -> None:
    """Slots are reserved for a coordinator only while it has items."""
    world = World()
    await world.introduce_coordinators()
    world.coordinators[0].begin(ITEMS)
    await world.run_ticks(3)
    assert len(world.coordinators[0].running) == UPSTREAMS * SLOTS


async def test_slots_of_a_dead_coordinator_are_released() -> None:
    # The other coordinator dies with all its items. Slots that stay reserved
    # for it would be idle while steps wait.
    world = World()
    await world.introduce_coordinators()
    first, second = world.coordinators
    second.begin(2 * ITEMS)
    second.place()
    await world.pass_time(TICK)
    second.running.clear()
    first.begin(ITEMS)
    first.place()
    world.network.leave(COORDINATORS[1])
    await world.pass_time(UPDATE_TTL + TICK)
    first.place()
    assert len(first.running) == UPSTREAMS * SLOTS


async def test_reserved_slot_that_stays_unused_is_released() -> None:
    # The upstreams failed for the coordinator with precedence there, which has
    # ejected them. Slots that stay reserved for it would be idle.
    world = World()
    await world.introduce_coordinators()
    first, second = world.coordinators
    for upstream in second.pool.list_service('engines'):
        second.pool.on_failure(upstream, 'reset')
    second.begin(ITEMS)
    first.begin(2 * ITEMS)
    await world.run_ticks(3 + RESERVATION_TTL // TICK)
    assert len(first.running) == UPSTREAMS * SLOTS


async def test_slots_of_others_wait_for_updates_only_at_the_start() -> None:
    """The wait takes milliseconds, and none where it has precedence."""
    world = World()
    await world.introduce_coordinators()
    coordinator = world.coordinators[0]
    coordinator.begin(UPSTREAMS * SLOTS)
    coordinator.place()
    own = len(coordinator.running)
    assert own > 0
    await world.pass_time(INITIAL_UPDATE_WAIT + MESSAGE)
    coordinator.place()
    assert len(coordinator.running) == UPSTREAMS * SLOTS
