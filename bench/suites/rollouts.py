"""Decisions of daemons on a platform, each against doing without it."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from bench.figure import Figure, at_least, at_most
from quetzalcourse.coordination.batches.placement import (
    PlacementRequest,
    Placement,
)
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.upstream import (
    MIN_LATENCY_SAMPLES,
    Upstream,
)
from quetzalcourse.coordination.versions.load_plan import (
    WeightLoad,
    UpstreamVersions,
    count_usable_models,
    plan_loads,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.tests.coordinators import build_allocator
from quetzalcourse.tests.coordination.batches.duration_predictor_tests import (
    BURST_SLOTS,
    build_burst,
    order_burst,
    replay,
)
from quetzalcourse.tests.coordination.feeds.readiness_tests import (
    NEIGHBOUR,
    OUTSIDER,
    ReadinessWorld,
)
from quetzalcourse.tests.coordination.versions.load_plan_tests import (
    build_views,
    apply_loads,
)

FIGURES = (
    'items_on_slow_upstream',
    'placements_per_second',
    'weight_loads_per_version',
    'cut_noticed_seconds',
    'burst_beyond_longest_item',
    'upstreams_without_use',
)
UPSTREAMS = 23
DESIGN_UPSTREAMS = 890
SLOTS = 8
SOUND_PACE = 0.04
SLOW_FACTOR = 0.16
# Four batches of the larger kind; all slots would hold 184 items.
ITEMS = 120
MODELS = 4
VERSIONS = 12
NEED = PlacementRequest('engines', 'verse', 1)
TICK = timedelta(milliseconds=100)
BURSTS = 20
LoadPlan = Callable[
    [Sequence[UpstreamVersions], Mapping[str, int]], list[WeightLoad]
]
# Length of the cuts of a data centre in the trials.
CUT = timedelta(seconds=5.5)


async def measure() -> list[Figure]:
    """Measure every decision."""
    return [
        measure_slow(),
        measure_speed(),
        measure_loads(),
        measure_cut(),
        measure_burst(),
        measure_idle(),
    ]


def build_pool(
    clock: FakeClock,
    count: int = UPSTREAMS,
    kind: type[Pool] = Pool,
) -> Pool:
    """Build upstreams of which the first turned slow."""
    pool = kind('hall-a', clock, Counters())
    for number in range(count):
        name = f'e-{number:02d}'
        pool.replace(
            PoolMember(
                name,
                'engines',
                f'10.0.{number // 250}.{number % 250}:80',
                'hall-a',
                SLOTS,
                versions={'verse': 1},
            )
        )
        upstream = pool.find(name)
        assert upstream is not None
        token_latency = SOUND_PACE if number else SLOW_FACTOR
        for _ in range(MIN_LATENCY_SAMPLES * 5):
            pool.on_token_latency(upstream, token_latency)
    return pool


def measure_slow() -> Figure:
    """Count the items that a slow upstream gets while others have room."""
    clock = FakeClock()
    pool = build_pool(clock)
    allocator, _ = build_allocator(pool, clock)
    placement = Placement(pool, allocator, clock)
    for _ in range(ITEMS):
        upstream = placement.choose(NEED)
        if upstream is not None:
            pool.take_slot(upstream)
    slow = pool.find('e-00')
    assert slow is not None
    return Figure(
        'items_on_slow_upstream',
        slow.running,
        'items',
        at_most(0),
        baseline=_count_by_load(clock),
        detail=f'{ITEMS} items on {UPSTREAMS} upstreams',
    )


def _count_by_load(clock: FakeClock) -> float:
    """Count them where the least loaded upstream is chosen."""
    pool = build_pool(clock)
    for _ in range(ITEMS):
        upstream = pool.choose('engines')
        assert upstream is not None
        pool.take_slot(upstream)
    slow = pool.find('e-00')
    assert slow is not None
    return slow.running


class WholePool(Pool):
    """Pool of which every upstream is weighed."""

    def sample_service(self, service: str) -> list[Upstream]:
        """List all upstreams."""
        return self.list_service(service)


def measure_speed() -> Figure:
    """Count the placements that one core decides in a second."""
    # Three trainers with 1,024 samples each begin within seconds.
    return Figure(
        'placements_per_second',
        _find_rate(Pool),
        '1/s',
        at_least(500),
        baseline=_find_rate(WholePool),
        detail=f'{DESIGN_UPSTREAMS} upstreams',
    )


def _find_rate(kind: type[Pool]) -> float:
    clock = FakeClock()
    pool = build_pool(clock, DESIGN_UPSTREAMS, kind)
    allocator, _ = build_allocator(pool, clock)
    placement = Placement(pool, allocator, clock)
    began = time.perf_counter()
    for _ in range(ITEMS):
        placement.choose(NEED)
    return ITEMS / (time.perf_counter() - began)


def measure_loads() -> Figure:
    """Count the loads for each named version of a model."""
    names = tuple(f'm-{number}' for number in range(MODELS))
    views = build_views(UPSTREAMS, names)
    count = 0
    for version in range(2, VERSIONS):
        named = dict.fromkeys(names, version)
        while loads := plan_loads(views, named):
            count += len(loads)
            views = apply_loads(views, loads)
    each = count / (MODELS * (VERSIONS - 2))
    return Figure(
        'weight_loads_per_version',
        each,
        'loads',
        at_most(-(-UPSTREAMS // MODELS)),
        baseline=UPSTREAMS,
        detail=f'{MODELS} models on {UPSTREAMS} upstreams',
    )


def measure_cut() -> Figure:
    """Measure how long a data centre that is cut off takes new callers."""
    world = ReadinessWorld(NEIGHBOUR, OUTSIDER)
    seconds = 0.0
    while world.readiness.is_ready() and seconds < CUT.total_seconds():
        world.pass_time(TICK, NEIGHBOUR)
        seconds = world.follower.time_since_answer.total_seconds()
    return Figure(
        'cut_noticed_seconds',
        seconds,
        's',
        at_most(2.5),
        baseline=CUT.total_seconds(),
        detail='the balancer takes two more seconds to act on it',
    )


def measure_burst() -> Figure:
    """Measure how long a burst goes on behind its longest item."""
    ordered = 0.0
    submitted = 0.0
    for seed in range(BURSTS):
        items = build_burst(seed)
        longest = max(item.seconds for item in items)
        ordered += replay(BURST_SLOTS, order_burst(items)) - longest
        submitted += replay(BURST_SLOTS, items) - longest
    return Figure(
        'burst_beyond_longest_item',
        ordered / BURSTS,
        's',
        at_most(0.35),
        baseline=submitted / BURSTS,
        detail=f'{len(items)} items on {BURST_SLOTS} slots, {BURSTS} bursts',
    )


def measure_idle() -> Figure:
    """Count the upstreams that no model's newest step may use."""
    return Figure(
        'upstreams_without_use',
        _count_idle(plan_loads),
        'upstreams',
        at_most(0),
        baseline=_count_idle(_plan_behind),
        detail=f'{MODELS} models on {UPSTREAMS} upstreams; baseline: furthest'
        ' behind first, without a limit on loads at once',
    )


def _count_idle(plan: LoadPlan) -> float:
    names = tuple(f'm-{number}' for number in range(MODELS))
    views = build_views(UPSTREAMS, names)
    named = dict.fromkeys(names, 1)
    idle = 0
    for version in range(2, VERSIONS):
        for name in names:
            named[name] = version
            while loads := plan(views, named):
                views = apply_loads(views, loads)
        idle += sum(not count_usable_models(view, named) for view in views)
    return idle / (VERSIONS - 2)


def _plan_behind(
    views: Sequence[UpstreamVersions],
    named: Mapping[str, int],
) -> list[WeightLoad]:
    """Load each version where its model is furthest behind."""
    share = -(-len(views) // len(named))
    loads = []
    for model, version in named.items():
        held = sum(view.versions[model] >= version for view in views)
        behind = sorted(
            (view for view in views if view.versions[model] < version),
            key=lambda view: view.versions[model],  # noqa: B023
        )
        loads += [
            WeightLoad(view.name, model, version)
            for view in behind[: max(share - held, 0)]
        ]
    return loads
