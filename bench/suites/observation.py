"""How often a daemon asks the engines of a whole deployment."""

from __future__ import annotations

from result import Ok

from bench.figure import Figure
from bench.slopes import fit_slope
from quetzalcourse.coordination.routing.drain_tracker import DrainTracker
from quetzalcourse.coordination.routing.engine_poller import (
    POLL_INTERVAL,
    REMOTE_POLL_ROUNDS,
    EnginePoller,
)
from quetzalcourse.coordination.routing.prefixes import PrefixCacheHints
from quetzalcourse.coordination.routing.reports import EngineReports
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.engines import EngineReport
from quetzalcourse.state.manifest import Manifest, Upstream, UpstreamKind
from quetzalcourse.transport.clock import SystemClock

FIGURES = ('engine_requests_per_s',)
SIZES = (8, 127, 890)
DATA_CENTRES = 7


class CountingControl:
    """Counts the requests to engines and answers as an idle engine does."""

    def __init__(self) -> None:
        """Begin at none."""
        self.requests = 0

    async def observe(self, _: Upstream) -> Ok[EngineReport]:
        """Count a report."""
        self.requests += 1
        return Ok(EngineReport(64, 0, 0, 1, ('verse',), ()))

    async def list_changes(self, _: Upstream, after: int) -> Ok[list]:
        """Count a look at the cache's changes."""
        self.requests += 1
        return Ok([])


async def measure() -> list[Figure]:
    """Run whole cycles of rounds at each size."""
    rates = [await count_requests(size) for size in SIZES]
    slope = fit_slope(SIZES, rates)
    points = ', '.join(
        f'{size} engines {rate:.0f}'
        for size, rate in zip(SIZES, rates, strict=True)
    )
    return [
        Figure(
            'engine_requests_per_s',
            rates[-1],
            'requests/s a daemon',
            baseline=rates[0],
            detail=f'{points}; {slope.each:.2f} for each further engine',
        )
    ]


async def count_requests(engines: int) -> float:
    """Count a daemon's requests to engines, a second."""
    clock = SystemClock()
    control = CountingControl()
    observer = EnginePoller(
        'centre-0',
        control,  # type: ignore[arg-type]
        DrainTracker(clock),
        EngineReports(),
        PrefixCacheHints(),
        clock,
        Counters(),
        lambda _: 0,
    )
    upstreams = {
        f'engine-{number}': Upstream(
            f'engine-{number}',
            UpstreamKind.engine,
            f'centre-{number % DATA_CENTRES}',
            '127.0.0.1:1',
            64,
            ('verse',),
        )
        for number in range(engines)
    }
    observer.on_manifest(Manifest(upstreams=upstreams))
    for turn in range(REMOTE_POLL_ROUNDS):
        await observer.poll_all(include_remote=turn == 0)
    return control.requests / (
        REMOTE_POLL_ROUNDS * POLL_INTERVAL.total_seconds()
    )
