"""Items at upstreams that fall quiet, and where they go on."""

from __future__ import annotations

import asyncio
import json
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest_asyncio

from quetzalcourse.coordination.batches.batch_run import build_batch_run
from quetzalcourse.coordination.batches.placement import Placement
from quetzalcourse.coordination.batches.runner import BatchRunner
from quetzalcourse.coordination.batches.scoring import ItemScoring
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.standins.rollout import documents
from quetzalcourse.state.batches import BatchHead, BatchItem, StreamEvent
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from typing import Any

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.item_run import ItemRun
    from quetzalcourse.coordination.forwarding.pool import Upstream

SLOTS = 4
LONG = 40
TICKS = 0.12


class SilentItems:
    """Upstreams that send a few events and then nothing.

    :param attempts: items and the upstreams where they were begun.
    """

    def __init__(self, clock: FakeClock) -> None:
        """Begin without attempts."""
        self.attempts: list[tuple[str, str, str]] = []
        self._clock = clock

    async def run(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
    ) -> None:
        """Take events once, and wait for ever."""
        attempt = (run.item.id, upstream.name, run.resume_after)
        self.attempts.append(attempt)
        if run.last_event is None:
            for number in range(1, LONG + 1):
                run.append(StreamEvent(number, 'x'), 1)
        run.heard_at = self._clock.elapsed()
        await asyncio.Event().wait()


class NoWriter:
    """Store that is never written."""

    async def commit(self, batch: BatchRun) -> bool:
        """Wait for results that never come."""
        await asyncio.Event().wait()
        return True

    async def save(self, batch: BatchRun, partials: Any) -> None:
        """Take texts and forget them."""


class World:
    """A runner, two engines and one item."""

    def __init__(self) -> None:
        """Begin with empty engines."""
        self.clock = FakeClock()
        counters = Counters()
        self.pool = Pool('hall-a', self.clock, counters)
        for name in ('e-1', 'e-2'):
            self.pool.replace(
                PoolMember(
                    name,
                    documents.ENGINES,
                    f'{name}:1',
                    'hall-a',
                    SLOTS,
                    versions={'m': 1},
                )
            )
        routes = RouteTable()
        config = documents.build_config()
        routes.adopt(read_manifest(json.dumps(config).encode()).unwrap())
        self.items = SilentItems(self.clock)
        scorer: Any = None
        writer: Any = NoWriter()
        self.runner = BatchRunner(
            self.items,
            ItemScoring(scorer, self.pool, routes, self.clock, counters),
            writer,
            Placement(self.pool, self.clock),
            self.pool,
            routes,
            self.clock,
            counters,
        )
        head = BatchHead(
            'b', 'desk', 'r-drill', 'h', 1, 0, 7500, 20_000, 'm', min_version=1
        )
        self.batch = build_batch_run(
            head, [BatchItem('i', '/i', {}, b'')], (), 1, self.clock.elapsed()
        )

    def count_running(self) -> dict[str, int]:
        """Count the slots that are taken at each engine."""
        upstreams = self.pool.list_service(documents.ENGINES)
        return {one.name: one.running for one in upstreams}


@pytest_asyncio.fixture
async def world() -> AsyncIterator[World]:
    """Run the item until its engine falls quiet."""
    built = World()
    running = asyncio.ensure_future(built.runner.run())
    built.runner.add(built.batch)
    await asyncio.sleep(TICKS)
    yield built
    built.runner.drop('b', 'test')
    running.cancel()


async def move(world: World, milliseconds: int) -> None:
    """Let time pass as the runner looks after its items."""
    for _ in range(milliseconds // 100):
        world.clock.move(timedelta(milliseconds=100))
        await asyncio.sleep(TICKS / 2)


async def test_long_item_leaves_a_quiet_engine(world: World) -> None:
    # An engine goes dark, or loads weights, in the middle of a long item.
    # After half a second it goes on elsewhere behind its last event; waiting
    # on, its step would be late by another second.
    (first,) = world.items.attempts
    await move(world, 400)
    assert world.items.attempts == [first]
    await move(world, 300)
    assert len(world.items.attempts) == 2
    item, upstream, resumed = world.items.attempts[1]
    assert (item, resumed) == ('i', str(LONG))
    assert upstream != first[1]
    assert sorted(world.count_running().values()) == [0, 1]


async def test_item_stays_where_no_slot_is_to_spare(world: World) -> None:
    # The other engine is as good as full. Its last slot is for an item that
    # waits; one that runs may still hear from its own engine.
    ((_, here, _),) = world.items.attempts
    other = world.pool.find('e-2' if here == 'e-1' else 'e-1')
    assert other is not None
    other.running = SLOTS - 1
    await move(world, 1000)
    assert len(world.items.attempts) == 1
    assert other.running == SLOTS - 1


async def test_daemon_that_was_held_up_keeps_its_items(world: World) -> None:
    # The daemon itself is suspended for two seconds. Its streams look quiet
    # though their events have come; leaving would cut them all at once.
    world.clock.move(timedelta(seconds=2))
    await asyncio.sleep(TICKS / 3)
    world.batch.items[0].heard_at = world.clock.elapsed()
    await move(world, 300)
    assert len(world.items.attempts) == 1


async def test_dropped_batch_leaves_no_slot_taken(world: World) -> None:
    # A batch ends just as its item leaves a quiet engine. A slot that stayed
    # taken would be lost to all later items.
    await move(world, 700)
    world.runner.drop('b', 'ended')
    await asyncio.sleep(TICKS)
    assert set(world.count_running().values()) == {0}
