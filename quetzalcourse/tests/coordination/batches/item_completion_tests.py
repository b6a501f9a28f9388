"""Items of a step on upstreams of which a third is much slower."""

from __future__ import annotations

import heapq
import itertools
import random
from datetime import timedelta

import pytest

from quetzalcourse.coordination.batches.item_completion import (
    estimate_latencies,
)
from quetzalcourse.coordination.batches.migration import (
    choose_migration_target,
)
from quetzalcourse.coordination.batches.placement import (
    Placement,
    PlacementRequest,
)
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.upstream import Upstream
from quetzalcourse.coordination.forwarding.upstream_slot import UpstreamSlot
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import LoadReport, PoolMember
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.coordinators import build_allocator

SLOTS = 8
FAST = 0.03
SLOW = 0.075
UPSTREAMS = 9
LONG = 120
DISPATCH = timedelta(milliseconds=10)
WINDOW = timedelta(milliseconds=110)
# End of an item, its number and its slot.
RunningItem = tuple[timedelta, int, UpstreamSlot]


class World:
    """Upstreams that report their pace, each third of them a slow one."""

    def __init__(self, *, measured: bool = True) -> None:
        """Start with idle upstreams whose latencies are known."""
        self.clock = FakeClock()
        self._numbers = itertools.count()
        self.pool = Pool(
            'hall-a', self.clock, Counters(), measured_pace=measured
        )
        allocator, _ = build_allocator(self.pool, self.clock)
        self.placement = Placement(self.pool, allocator, self.clock)
        for number in range(UPSTREAMS):
            member = PoolMember(
                f'e-{number}',
                'engines',
                f'10.0.0.{number}:80',
                'hall-a',
                SLOTS,
                versions={'verse': 1},
            )
            self.pool.replace(member)
        for upstream in self.pool.list_service('engines'):
            self.pool.on_load(upstream, LoadReport(0, 0, SLOTS, 1.0))
        self.stream(timedelta(seconds=2))

    def find(self, number: int) -> Upstream:
        """Find an upstream."""
        upstream = self.pool.find(f'e-{number}')
        assert upstream is not None
        return upstream

    def stream(self, duration: timedelta, slowed: int = -1) -> None:
        """Let all upstreams bring events for some time.

        :param slowed: number of one that takes 2.5 times longer.
        """
        end = self.clock.elapsed() + duration
        while self.clock.elapsed() < end:
            for number in range(UPSTREAMS):
                seconds = find_latency(f'e-{number}')
                seconds *= 2.5 if number == slowed else 1
                self.pool.on_token_latency(self.find(number), seconds)
            self.clock.move(timedelta(milliseconds=25))

    def place(self, events: int) -> None:
        """Fill the fast upstreams with items of a length."""
        request = PlacementRequest(
            'engines', 'verse', 1, remaining_events=events
        )
        while True:
            upstream = self.placement.choose(request)
            if upstream is None:
                return
            self.pool.take_slot(upstream)

    def run_step(self, lengths: list[int]) -> float:
        """Run a step, the longest items first, and return its duration."""
        waiting = sorted(lengths, reverse=True)
        running: list[RunningItem] = []
        start = self.clock.elapsed()
        while waiting or running:
            now = self.clock.elapsed()
            while running and running[0][0] <= now:
                heapq.heappop(running)[-1].release()
            waiting = self._dispatch(waiting, running)
            self.clock.move(DISPATCH)
        return (self.clock.elapsed() - start).total_seconds()

    def _dispatch(
        self, waiting: list[int], running: list[RunningItem]
    ) -> list[int]:
        self.placement.start_round()
        left: list[int] = []
        for events in waiting:
            request = PlacementRequest(
                'engines', 'verse', 1, remaining_events=events
            )
            upstream = self.placement.choose(request)
            if upstream is None:
                left.append(events)
                continue
            slot = self.pool.take_slot(upstream)
            seconds = events * find_latency(upstream.name)
            end = self.clock.elapsed() + timedelta(seconds=seconds)
            heapq.heappush(running, (end, next(self._numbers), slot))
        return left


def find_latency(name: str) -> float:
    """Return the time between two events at an upstream."""
    return SLOW if int(name.removeprefix('e-')) % 3 == 2 else FAST


def test_step_ends_sooner_if_long_items_wait_for_fast_upstreams() -> None:
    # A step arrives with twice as many items as slots, every other one long.
    # Placed by speed class alone, long items run at slow upstreams as soon as
    # the fast ones are full, while short ones wait.
    source = random.Random(3)
    lengths = [
        int(source.uniform(LONG - 20, LONG + 20))
        if number % 2 == 0
        else int(source.uniform(3, 20))
        for number in range(2 * SLOTS * UPSTREAMS)
    ]
    by_class, by_time = (
        World(measured=measured).run_step(lengths) for measured in (False, True)
    )
    assert by_time < 0.85 * by_class


def test_long_items_do_not_wait_for_fast_upstreams_that_hang() -> None:
    # The streams of all fast upstreams hang, so that none of their slots
    # becomes free.
    world = World()
    world.place(10)
    request = PlacementRequest('engines', 'verse', 1, remaining_events=LONG)
    assert world.placement.choose(request) is None
    assert world.placement.holds(request)
    for _ in range(6):
        world.clock.move(timedelta(milliseconds=100))
        world.placement.start_round()
        chosen = world.placement.choose(request)
    assert chosen is not None
    assert find_latency(chosen.name) == SLOW


@pytest.mark.parametrize(
    ('events', 'moves'), [(5, False), (7, False), (100, True)]
)
def test_short_rest_of_an_item_stays_at_a_slow_upstream(
    events: int, moves: bool
) -> None:
    """Moving costs a connection and another prefill."""
    world = World()
    target = choose_migration_target(
        world.find(2),
        world.pool.list_service('engines'),
        events,
        world.clock.elapsed(),
    )
    assert (target is not None) == moves


@pytest.mark.parametrize(('duration', 'moves'), [(0.6, False), (1.2, True)])
def test_items_leave_only_an_upstream_that_is_slow_for_longer(
    duration: float, moves: bool
) -> None:
    # A neighbour slows an upstream for half a second at a time. Items that
    # left would cost a new connection each, and find the next one slowed.
    world = World()
    world.stream(timedelta(seconds=duration), slowed=0)
    target = choose_migration_target(
        world.find(0),
        world.pool.list_service('engines'),
        LONG,
        world.clock.elapsed(),
    )
    assert (target is not None) == moves


def test_new_items_avoid_an_upstream_that_is_slowed_now() -> None:
    # An upstream reports 250 %, and items of half a second start.
    world = World()
    world.clock.move(WINDOW)
    world.pool.on_load(world.find(0), LoadReport(0, 0, SLOTS, 2.5))
    request = PlacementRequest('engines', 'verse', 1, remaining_events=16)
    chosen = world.placement.choose(request)
    assert chosen is not None
    assert chosen is not world.find(0)
    assert find_latency(chosen.name) == FAST


@pytest.mark.parametrize(
    ('report', 'expected'), [(1.7, 1.7 * FAST), (0.01, FAST)]
)
def test_unknown_upstream_is_as_slow_as_it_reports_but_never_faster(
    report: float, expected: float
) -> None:
    # An upstream that has just started reports its pace; it may be false.
    world = World()
    world.pool.replace(
        PoolMember('e-99', 'engines', '10.0.0.99:80', 'hall-a', SLOTS)
    )
    upstream = world.find(99)
    world.pool.on_load(upstream, LoadReport(0, 0, SLOTS, report))
    latencies = estimate_latencies(world.pool.list_service('engines'))
    assert latencies['e-99'] == pytest.approx(expected)
