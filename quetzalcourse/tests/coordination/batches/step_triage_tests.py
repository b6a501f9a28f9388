"""Tests of the order of items while slots are short."""

from __future__ import annotations

import json
import random
from collections import defaultdict
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
import pytest

from quetzalcourse.coordination.batches.batch_run import build_batch_run
from quetzalcourse.coordination.batches.duration_predictor import (
    DurationPredictor,
)
from quetzalcourse.coordination.batches.item_order import UrgencyOrder
from quetzalcourse.coordination.batches.item_run import ItemState
from quetzalcourse.coordination.batches.slot_allocation import (
    UPDATE_TTL,
    PlacementKey,
    SlotDemand,
)
from quetzalcourse.coordination.batches.slot_supply import SlotSupply
from quetzalcourse.coordination.batches.step_triage import StepTriage
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.standins.rollout import documents
from quetzalcourse.state.batches import BatchHead, BatchItem
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.coordinators import COORDINATORS, build_allocator

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.item_order import ItemOrder
    from quetzalcourse.coordination.batches.item_run import ItemRun

UPSTREAMS = 6
SLOTS = 8
TICK = timedelta(milliseconds=50)
DUE = 7500
PACE = 0.05
# Tokens of one event, which callers count in.
TOKENS = 46
MODELS = ('verse', 'drill', 'recap', 'gloss')
GROUPS = 8
ITEMS = 12
LONG_SHARE = 0.08
MAX_EVENTS = 125


class World:
    """A coordinator whose upstreams run items at a constant pace."""

    def __init__(self, seed: int = 0) -> None:
        """Start without batches, with durations of other items observed."""
        self.clock = FakeClock()
        self.source = random.Random(seed)
        self.pool = Pool('hall-a', self.clock, Counters())
        for number in range(UPSTREAMS):
            self.pool.replace(
                PoolMember(
                    f'e-{number}',
                    documents.ENGINES,
                    f'e-{number}:1',
                    'hall-a',
                    SLOTS,
                )
            )
        self.allocator, self.updates = build_allocator(
            self.pool, self.clock, count=2
        )
        self.durations = DurationPredictor()
        for model in MODELS:
            for events in (5, 10, 20):
                took = timedelta(seconds=events * PACE)
                self.durations.observe(model, events * TOKENS, events, took)
        self.routes = RouteTable()
        built = documents.build_config()
        for route in built['routes']:
            route['priority'] = 3
        config = json.dumps(built).encode()
        self.routes.adopt(read_manifest(config).unwrap())
        supply = SlotSupply(self.pool, self.allocator, self.clock)
        self.triage = StepTriage(
            self.durations, supply, self.routes, self.clock
        )
        self.batches: list[BatchRun] = []
        self.ends: dict[str, timedelta] = {}

    def submit(self, model: str, step: int = 0, groups: int = GROUPS) -> None:
        """Start a batch whose lengths vary as widely as those of drafts."""
        items = []
        for number in range(groups * ITEMS):
            events = self.source.lognormvariate(2.4, 0.8)
            if self.source.random() < LONG_SHARE:
                events *= 5
            events = min(max(int(events), 1), MAX_EVENTS)
            error = self.source.lognormvariate(0, 0.5)
            name = f'{model}-{step}-{number}'
            items.append(
                BatchItem(
                    name,
                    '/i',
                    {},
                    b'',
                    tokens=events,
                    group=f'{model}-{step}-{number // ITEMS}',
                    length_estimate=max(int(events * TOKENS * error), 1),
                )
            )
        head = BatchHead(
            f'{model}-{step}',
            'desk',
            'r-drill',
            'h',
            len(items),
            0,
            DUE,
            20_000,
            model,
            wanted_groups=groups,
        )
        self.batches.append(
            build_batch_run(head, items, (), 1, self.clock.elapsed())
        )

    async def play(self, order: ItemOrder, seconds: float) -> None:
        """Run items in an order, one tick after the other."""
        end = self.clock.elapsed() + timedelta(seconds=seconds)
        while self.clock.elapsed() < end:
            self._advance_items()
            waiting = self.list_items(ItemState.waiting)
            order.update(self.batches, waiting)
            used = len(self.list_items(ItemState.running))
            free = UPSTREAMS * SLOTS - used
            for _, run in order.sort(waiting)[:free]:
                run.state = ItemState.running
            await self.clock.advance(TICK)

    def count_complete(self) -> dict[str, int]:
        """Count the groups of each model that were complete in time."""
        groups: dict[tuple[str, str], list[bool]] = defaultdict(list)
        for batch in self.batches:
            for run in batch.items:
                ended = self.ends.get(run.item.id, batch.expires_at)
                groups[batch.head.model, run.item.group].append(
                    ended <= batch.due
                )
        return {
            model: sum(
                all(items)
                for (name, _), items in groups.items()
                if name == model
            )
            for model in MODELS
        }

    def _advance_items(self) -> None:
        events = TICK.total_seconds() / PACE
        for _, run in self.list_items(ItemState.running):
            run.texts.extend(['x'] * int(events))
            run.last_event = len(run.texts)
            if len(run.texts) >= run.item.tokens:
                run.state = ItemState.finished
                self.ends[run.item.id] = self.clock.elapsed()

    def list_items(self, state: ItemState) -> list[tuple[BatchRun, ItemRun]]:
        """List the items in a state."""
        return [
            (batch, run)
            for batch in self.batches
            for run in batch.items
            if run.state is state
        ]


async def play_overload(
    seed: int, *, triage: bool
) -> tuple[dict[str, int], int]:
    """Play a first and a second step of all trainers.

    :returns: groups complete in time by model, and the number of all groups.
    """
    world = World(seed)
    order = world.triage if triage else UrgencyOrder(world.durations)
    for step in range(2):
        for model in MODELS:
            world.submit(model, step)
        await world.play(order, 4)
    await world.play(order, 6)
    return world.count_complete(), 2 * GROUPS * len(MODELS)


@pytest.mark.parametrize('seed', range(3))
async def test_whole_groups_are_complete_under_twofold_demand(
    seed: int,
) -> None:
    # Four trainers submit steps of 96 items every four seconds; 48 slots can
    # run about half of them by the time they are due. By urgency alone, the
    # groups advance together and most are late together.
    before, _ = await play_overload(seed, triage=False)
    after, total = await play_overload(seed, triage=True)
    assert sum(after.values()) >= total * 0.4
    assert sum(after.values()) >= 2 * sum(before.values())
    mean = sum(after.values()) / len(MODELS)
    assert min(after.values()) >= 0.8 * mean - 1


async def test_order_is_by_latest_start_without_a_shortage() -> None:
    """With enough slots for all groups nothing changes."""
    world = World()
    world.submit('verse', groups=2)
    world.submit('drill', groups=2)
    waiting = world.list_items(ItemState.waiting)
    world.triage.update(world.batches, waiting)
    assert world.triage.sort(waiting) == world.durations.sort_by_urgency(
        waiting
    )


async def test_overdue_items_claim_to_be_less_urgent_than_any_in_time() -> None:
    # A coordinator with items that are eight seconds late must not get slots
    # before another one whose step can still be in time.
    world = World()
    world.submit('verse')
    await world.clock.advance(timedelta(seconds=8))
    world.submit('drill')
    world.triage.update(world.batches, world.list_items(ItemState.waiting))
    overdue, fresh = (
        world.triage.compute_latest_start(batch, batch.items[0])
        for batch in world.batches
    )
    assert overdue > fresh + timedelta(seconds=10)


async def test_late_groups_run_when_nothing_in_time_waits() -> None:
    """Accepted work is deferred, never dropped."""
    world = World()
    world.submit('verse')
    await world.clock.advance(timedelta(seconds=8))
    await world.play(world.triage, 10)
    assert all(one.done or not one.count_unfinished() for one in world.batches)


async def test_update_without_work_takes_no_share() -> None:
    # During a rolling update another coordinator runs a release that reports
    # no work. It must be understood, and counts as having none.
    world = World()
    key = PlacementKey(documents.ENGINES, 'drill', 0)
    wants = [{'key': msgspec.to_builtins(key), 'seconds': 1.0}]
    content = msgspec.msgpack.encode(
        {'taken': {}, 'wants': wants, 'whole': True}
    )
    world.updates.on_message(COORDINATORS[1], content)
    assert world.allocator.list_others() == [COORDINATORS[1]]
    assert not world.allocator.sum_peer_work(documents.ENGINES)


async def test_priority_of_an_account_goes_before_that_of_its_route() -> None:
    """Ranks decide which trainer's groups are chosen first."""
    routes = World().routes
    route = 'r-drill'
    assert routes.find_rank(route, documents.OTHER_ACCOUNT) == 3
    assert routes.find_rank(route, documents.ACCOUNT) == 1


async def test_dead_coordinator_takes_no_share_of_the_slots() -> None:
    # Another coordinator dies with a backlog. Its last report must not keep
    # half of the slots from being planned here for longer than reports count.
    world = World()
    key = PlacementKey(documents.ENGINES, 'drill', 0)
    peer = COORDINATORS[1]
    demand = SlotDemand(key, world.clock.elapsed(), work=100)
    world.allocator.on_update(peer, {}, [demand], full=True)
    supply = SlotSupply(world.pool, world.allocator, world.clock)
    own = timedelta(seconds=100)
    assert supply.estimate(documents.ENGINES, own) == UPSTREAMS * SLOTS / 2
    await world.clock.advance(UPDATE_TTL + TICK)
    assert supply.estimate(documents.ENGINES, own) == UPSTREAMS * SLOTS
