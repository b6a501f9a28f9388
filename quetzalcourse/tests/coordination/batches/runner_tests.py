"""Tests of the slots of items: migration, leaving upstreams, ended batches."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from quetzalcourse.coordination.batches.batch_run import build_batch_run
from quetzalcourse.coordination.batches.item_run import MAX_RETRY_DELAY
from quetzalcourse.coordination.batches.placement import MEDIAN_TTL, Placement
from quetzalcourse.coordination.batches.runner import BatchRunner
from quetzalcourse.coordination.batches.scoring import ItemScoring
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.upstream import (
    MIN_LATENCY_SAMPLES,
)
from quetzalcourse.coordination.forwarding.residency import Residency
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.records import QuarantineRecords
from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.standins.rollout import documents
from quetzalcourse.state.batches import (
    BatchHead,
    BatchItem,
    ScoringCall,
    StreamEvent,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.coordinators import build_allocator

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from typing import Any

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.item_run import ItemRun
    from quetzalcourse.coordination.forwarding.upstream import Upstream

SLOTS = 4
EVENTS = 40
# Longer than two dispatch intervals of 50 ms.
ROUND_SECONDS = 0.12


class BlockingItemRunner:
    """Item runner whose attempts send some events and then block."""

    def __init__(self) -> None:
        """Initialise without attempts."""
        self.attempts: list[tuple[str, str]] = []
        self.cancelled_attempts = 0
        self.proceed = asyncio.Event()

    async def run(
        self,
        batch: BatchRun,
        run: ItemRun,
        upstream: Upstream,
    ) -> None:
        """Append the events on the first attempt, then wait to proceed."""
        self.attempts.append((upstream.name, run.resume_after))
        if len(self.attempts) <= self.cancelled_attempts:
            raise asyncio.CancelledError
        if run.last_event is None:
            for number in range(1, EVENTS + 1):
                run.append(StreamEvent(number, 'x'), 1)
        await self.proceed.wait()
        self.proceed.clear()


class StubWriter:
    """Batch writer that never writes."""

    async def commit(self, batch: BatchRun) -> bool:
        """Wait for results that never come."""
        await asyncio.Event().wait()
        return True

    async def save_partials(self, batch: BatchRun, partials: Any) -> None:
        """Discard the texts."""


def build_member(name: str, **changes: Any) -> PoolMember:
    """Build an engine."""
    versions = {'m': 1}
    return PoolMember(
        name,
        documents.ENGINES,
        f'{name}:1',
        'hall-a',
        SLOTS,
        versions=versions,
        **changes,
    )


class World:
    """A runner with one item on a slow engine."""

    def __init__(self) -> None:
        """Start with a slow engine only."""
        clock = FakeClock()
        counters = Counters()
        self.pool = Pool('hall-a', clock, counters)
        self.pool.replace(build_member('slow'))
        self.set_token_latency('slow', 0.2)
        routes = RouteTable()
        config = json.dumps(documents.build_config()).encode()
        routes.adopt(read_manifest(config).unwrap())
        residency = Residency({}, routes)
        quarantine = Quarantine(QuarantineRecords(clock), counters)
        self.items = BlockingItemRunner()
        none: Any = None
        writer: Any = StubWriter()
        allocator, _ = build_allocator(self.pool, clock)
        self.scoring = ItemScoring(
            none, self.pool, residency, quarantine, clock, counters
        )
        self.runner = BatchRunner(
            self.items,
            self.scoring,
            writer,
            Placement(self.pool, allocator, clock),
            self.pool,
            residency,
            quarantine,
            clock,
        )
        self.clock = clock
        self.batch = self.build_batch()

    def build_batch(self, scoring: ScoringCall | None = None) -> BatchRun:
        """Build a batch with one item."""
        head = BatchHead(
            'b', 'desk', 'r-drill', 'h', 1, 0, 7500, 20_000, 'm', min_version=1
        )
        item = BatchItem('i', '/i', {}, b'', scoring=scoring)
        return build_batch_run(head, [item], (), 1, self.clock.elapsed())

    def set_token_latency(self, name: str, seconds: float) -> None:
        """Set the measured token latency of an engine."""
        upstream = self.pool.find(name)
        assert upstream is not None
        for _ in range(MIN_LATENCY_SAMPLES * 5):
            self.pool.on_token_latency(upstream, seconds)

    def count_running(self) -> dict[str, int]:
        """Count the used slots of each engine."""
        upstreams = self.pool.list_service(documents.ENGINES)
        return {one.name: one.running for one in upstreams}

    async def add_fast(self) -> None:
        """Add a fast engine, and wait until a dispatch considers it."""
        self.pool.replace(build_member('fast'))
        self.set_token_latency('fast', 0.03)
        self.clock.move(MEDIAN_TTL)
        await asyncio.sleep(ROUND_SECONDS)


@pytest_asyncio.fixture
async def world() -> AsyncIterator[World]:
    """Run the item on the slow engine, then add a fast one."""
    built = World()
    running = asyncio.ensure_future(built.runner.run())
    built.runner.add(built.batch)
    await asyncio.sleep(ROUND_SECONDS)
    await built.add_fast()
    yield built
    built.runner.drop('b', 'test')
    running.cancel()


async def test_migrating_item_reserves_its_slot_first(world: World) -> None:
    # An item leaves a slow engine with its next event. Until then a slot at
    # the other engine is reserved, so that no other item uses it.
    assert world.count_running() == {'slow': 1, 'fast': 1}
    world.items.proceed.set()
    await asyncio.sleep(ROUND_SECONDS)
    assert world.items.attempts == [('slow', ''), ('fast', str(EVENTS))]
    assert world.count_running() == {'slow': 0, 'fast': 1}


@pytest.mark.parametrize('end', ['leaves', 'begins anew', 'is gone'])
async def test_item_does_not_migrate_to_an_engine_that_leaves(
    world: World,
    end: str,
) -> None:
    # The other engine drains, restarts or disappears between the reservation
    # of the slot and the item's next event. If the item were sent there, it
    # would reach an engine that accepts no work; if its slot were released
    # there, the restarted engine would seem to have one slot too many.
    if end == 'leaves':
        world.pool.replace(build_member('fast', leaving=True))
    elif end == 'begins anew':
        world.pool.replace(build_member('fast', started=7))
    else:
        world.pool.remove('fast')
    world.items.proceed.set()
    await asyncio.sleep(ROUND_SECONDS)
    first, second = world.items.attempts
    assert first == ('slow', '')
    if end != 'begins anew':
        assert second == ('slow', str(EVENTS))
    assert sum(world.count_running().values()) == 1
    assert min(world.count_running().values()) >= 0


async def test_dropped_batch_releases_both_slots(world: World) -> None:
    # A batch ends while its item is about to migrate. A slot that is not
    # released would be lost to all later items.
    world.runner.drop('b', 'ended')
    await asyncio.sleep(ROUND_SECONDS)
    assert set(world.count_running().values()) == {0}


@pytest.mark.parametrize('attempts', [1, 3])
async def test_batch_that_ends_as_its_items_start_releases_their_slots(
    attempts: int,
) -> None:
    # Guards against slots lost for good when a batch ends between the dispatch
    # of its items and the first step of their tasks.
    world = World()

    def end_batch(_: object) -> None:
        world.runner.drop('b', 'ended')

    world.runner.on_placed(end_batch)
    running = asyncio.ensure_future(world.runner.run())
    for _ in range(attempts):
        world.runner.add(world.build_batch())
        await asyncio.sleep(ROUND_SECONDS)
    running.cancel()
    assert world.items.attempts == []
    assert world.count_running() == {'slow': 0}


async def test_item_whose_attempt_was_cancelled_by_others_is_retried() -> None:
    # Guards against an item that counts as running for good when a library
    # cancels its attempt, so that no upstream ever gets it again.
    world = World()
    world.items.cancelled_attempts = 1
    running = asyncio.ensure_future(world.runner.run())
    world.runner.add(world.batch)
    await asyncio.sleep(ROUND_SECONDS)
    world.clock.move(MAX_RETRY_DELAY)
    await asyncio.sleep(ROUND_SECONDS)
    attempts = len(world.items.attempts)
    used = world.count_running()
    world.runner.drop('b', 'ended')
    running.cancel()
    assert attempts == 2
    assert used == {'slow': 1}


async def test_batch_that_ends_as_a_scoring_call_starts_releases_its_slot() -> (
    None
):
    # Guards against slots of scoring services that are lost in the same way.
    world = World()
    world.pool.replace(
        PoolMember('app', documents.CATALOGUE, 'app:1', 'hall-a', SLOTS)
    )
    batch = world.build_batch(
        ScoringCall('s', documents.HOST, f'{documents.SCORING_PREFIX}1', b'')
    )
    world.scoring.begin(batch, batch.items[0])
    upstream = world.pool.find('app')
    assert upstream is not None
    assert upstream.running == 1
    batch.stop()
    await asyncio.sleep(0.01)
    assert upstream.running == 0
