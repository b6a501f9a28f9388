"""Request rates of cold upstreams under bursts of items and requests."""

from __future__ import annotations

from collections import defaultdict
from datetime import timedelta

import pytest

from quetzalcourse.coordination.batches.placement import (
    Placement,
    PlacementRequest,
)
from quetzalcourse.coordination.batches.slot_allocation import UPDATE_TTL
from quetzalcourse.coordination.forwarding.cold_start import (
    MAX_DIVERGENT_VIEWS,
    ColdStartLimiter,
    compute_sender_budget,
)
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.upstream_slot import UpstreamSlot
from quetzalcourse.settings.rollout import ColdStartTolerance
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.state.routing import (
    CallerLimits,
    ColdStart,
    Route,
    RouteKind,
    RoutingManifest,
    Service,
    Target,
)
from quetzalcourse.tests.clocks import FakeClock, settle
from quetzalcourse.tests.coordinators import COORDINATORS, build_allocator
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork

SLOTS = 8
UPSTREAMS = 6
TERMS = ColdStartTolerance(overage=1.5, slack=5)
COLD = ColdStart(timedelta(seconds=3), 9.5)
LIMIT = int(COLD.requests_per_second * TERMS.overage) + TERMS.slack
WINDOW = timedelta(seconds=1)
TICK = timedelta(milliseconds=20)
# Duration of an item whose text is a few tokens long.
ITEM_TICKS = 5


def build_manifest(kind: RouteKind) -> RoutingManifest:
    """Build a manifest with one service and a route to it."""
    second = timedelta(seconds=1)
    route = Route(
        'r', 'h', '/r/', kind, second, second, 1, (Target('engines', 1),), 3
    )
    service = Service('engines', ('verse',), cold_start=COLD)
    return RoutingManifest(
        1, (route,), {'engines': service}, CallerLimits(), None
    )


class Arrivals:
    """Requests that reached the upstreams, from all daemons."""

    def __init__(self) -> None:
        """Start without requests."""
        self._times: dict[str, list[timedelta]] = defaultdict(list)

    def add(self, upstream: str, now: timedelta) -> None:
        """Record the arrival of a request."""
        self._times[upstream].append(now)

    def count(self, upstream: str) -> int:
        """Count all requests to an upstream."""
        return len(self._times[upstream])

    def find_peak(self) -> int:
        """Find the highest number of requests to an upstream in a second."""
        return max(
            sum(start <= arrival < start + WINDOW for arrival in times)
            for times in self._times.values()
            for start in times
        )


class Daemon:
    """A daemon that sends items or requests to the upstreams."""

    def __init__(
        self,
        clock: FakeClock,
        kind: RouteKind,
        member: Member,
        members: list[Member],
        network: FakeNetwork,
    ) -> None:
        """Start with warm upstreams."""
        self.clock = clock
        self.pool = Pool('hall-a', clock, Counters())
        number = COORDINATORS.index(member) if member in COORDINATORS else 0
        self.allocator, self.updates = build_allocator(
            self.pool, clock, number, len(COORDINATORS), network
        )
        limiter = ColdStartLimiter(
            TERMS, FakeMembers(member, members), self.allocator, clock
        )
        limiter.on_manifest(build_manifest(kind))
        self.pool.cold_starts = limiter
        self.placement = Placement(self.pool, self.allocator, clock)
        self.running: list[tuple[UpstreamSlot, int]] = []
        self.announce(timedelta(0), started=1)

    def announce(self, cold_for: timedelta, *, started: int) -> None:
        """Register every upstream as a new run."""
        self.running = []
        for number in range(UPSTREAMS):
            self.pool.replace(
                PoolMember(
                    f'e-{number}',
                    'engines',
                    f'10.0.0.{number}:80',
                    'hall-a',
                    SLOTS,
                    versions={'verse': 1},
                    started=started,
                    cold_for=cold_for,
                )
            )

    def place_items(self, arrivals: Arrivals) -> None:
        """Finish the oldest items, then send as many as find a slot."""
        ended = [slot for slot, ticks in self.running if ticks == 1]
        self.running = [
            (slot, ticks - 1) for slot, ticks in self.running if ticks > 1
        ]
        for slot in ended:
            slot.release()
        request = PlacementRequest('engines', 'verse', 1)
        while (chosen := self.placement.choose(request)) is not None:
            self.pool.on_send(chosen)
            self.running.append((self.pool.take_slot(chosen), ITEM_TICKS))
            arrivals.add(chosen.name, self.clock.elapsed())
        self.updates.send_update([])

    def send_request(self, arrivals: Arrivals) -> bool:
        """Send a request, unless no upstream may take it."""
        chosen = self.pool.choose('engines')
        if chosen is not None:
            self.pool.on_send(chosen)
            arrivals.add(chosen.name, self.clock.elapsed())
        return chosen is not None


async def run_step(clock: FakeClock, daemons: list[Daemon]) -> Arrivals:
    """Start a step at all daemons just after all upstreams restarted."""
    for daemon in daemons:
        daemon.updates.on_batch_start()
        daemon.updates.send_update([])
    await settle()
    await clock.advance(UPDATE_TTL + TICK)
    arrivals = Arrivals()
    for daemon in daemons:
        daemon.announce(COLD.duration, started=2)
        daemon.updates.on_batch_start()
    for _ in range(COLD.duration // TICK):
        for daemon in daemons:
            daemon.place_items(arrivals)
        await settle()
        await clock.advance(TICK)
    return arrivals


def build_coordinators(clock: FakeClock, *, partitioned: bool) -> list[Daemon]:
    """Build the coordinators.

    :param partitioned: whether they can't reach each other.
    """
    shared = FakeNetwork()
    return [
        Daemon(
            clock,
            RouteKind.batch,
            member,
            list(COORDINATORS),
            FakeNetwork() if partitioned else shared,
        )
        for member in COORDINATORS
    ]


@pytest.mark.parametrize('partitioned', [False, True])
async def test_burst_of_items_stays_below_rate_limit(
    *, partitioned: bool
) -> None:
    """Guards against a data centre that crashes again on recovery."""
    clock = FakeClock()
    daemons = build_coordinators(clock, partitioned=partitioned)
    arrivals = await run_step(clock, daemons)
    assert arrivals.find_peak() <= LIMIT
    used = [arrivals.count(f'e-{number}') for number in range(UPSTREAMS)]
    assert min(used) >= COLD.duration.total_seconds()


async def test_warm_upstream_has_no_rate_limit() -> None:
    """Guards against a limit that outlives the cold start."""
    clock = FakeClock()
    daemons = build_coordinators(clock, partitioned=False)
    await run_step(clock, daemons)
    arrivals = Arrivals()
    for _ in range(WINDOW // TICK):
        for daemon in daemons:
            daemon.place_items(arrivals)
        await clock.advance(TICK)
    assert arrivals.count('e-0') > LIMIT


async def test_newly_started_coordinator_does_not_lead() -> None:
    """Guards against restarted coordinators that all fill a cold upstream."""
    clock = FakeClock()
    daemon = build_coordinators(clock, partitioned=False)[0]
    daemon.announce(COLD.duration, started=2)
    daemon.updates.on_batch_start()
    arrivals = Arrivals()
    daemon.place_items(arrivals)
    assert not daemon.running


@pytest.mark.parametrize('count', [1, 4, 66])
async def test_requests_of_all_daemons_stay_below_rate_limit(
    count: int,
) -> None:
    """Guards against every daemon choosing the idle upstream at once."""
    clock = FakeClock()
    members = [
        Member(f'vm-{number}', f'vm-{number}-run', 'hall-a', f'{number}:1')
        for number in range(count)
    ]
    daemons = [
        Daemon(clock, RouteKind.idempotent, member, members, FakeNetwork())
        for member in members
    ]
    arrivals = Arrivals()
    for daemon in daemons:
        daemon.announce(COLD.duration, started=2)
    served = 0
    for _ in range(2 * WINDOW // TICK):
        served += sum(daemon.send_request(arrivals) for daemon in daemons)
        clock.move(TICK)
    assert arrivals.find_peak() <= LIMIT / MAX_DIVERGENT_VIEWS
    assert served >= UPSTREAMS * 2


def test_unreachable_upstream_counts_as_restarted_during_store_outage() -> None:
    """Guards against a burst at an upstream that restarted without an entry."""
    clock = FakeClock()
    daemon = build_coordinators(clock, partitioned=False)[0]
    upstream = daemon.pool.find('e-0')
    assert upstream is not None
    daemon.pool.on_failure(upstream, 'not_sent')
    assert not daemon.pool.cold_starts.is_cold(upstream)
    daemon.pool.set_entry_check(lambda: False)
    daemon.pool.on_failure(upstream, 'late')
    assert not daemon.pool.cold_starts.is_cold(upstream)
    daemon.pool.on_failure(upstream, 'not_sent')
    assert daemon.pool.cold_starts.is_cold(upstream)
    clock.move(upstream.ejected_until - clock.elapsed() + COLD.duration / 2)
    assert daemon.pool.cold_starts.is_cold(upstream)
    clock.move(COLD.duration)
    assert not daemon.pool.cold_starts.is_cold(upstream)


@pytest.mark.parametrize(
    ('rate', 'overage', 'slack', 'budget'),
    [(9.5, 1.5, 5, 6), (2, 1, 0, 0), (3, 1, 0, 1), (100, 1, 0, 33)],
)
def test_budget_leaves_room_for_divergent_views(
    rate: float,
    overage: float,
    slack: int,
    budget: int,
) -> None:
    """Guards against a limit that holds only if all membership views agree."""
    terms = ColdStartTolerance(overage, slack)
    assert compute_sender_budget(ColdStart(WINDOW, rate), terms) == budget
