"""Ranking of engines by reports, cache hints, draining and ejection."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest
from result import Err, Ok, Result

from quetzalcourse.coordination.routing.outlier_detection import OutlierDetector
from quetzalcourse.coordination.routing.drain_tracker import (
    DrainNotice,
    DrainTracker,
)
from quetzalcourse.coordination.routing.engine_poller import EnginePoller
from quetzalcourse.coordination.routing.prefixes import (
    PrefixCacheHints,
    hash_prefix,
)
from quetzalcourse.coordination.routing.reports import EngineReports
from quetzalcourse.coordination.routing.routing import Router
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.engines import (
    CacheChange,
    EngineOrder,
    EngineReport,
    OrderProblem,
)
from quetzalcourse.state.generation import GenerationRequest, TrafficClass
from quetzalcourse.state.manifest import (
    MaintenanceWindow,
    Manifest,
    Upstream,
    UpstreamKind,
)
from quetzalcourse.state.members import Vm
from quetzalcourse.tests.clocks import FakeClock
from quetzalcourse.request_components import REPORT_TIMEOUT_SECONDS

SECOND = timedelta(seconds=1)
NAMES = ('a', 'b', 'c', 'd')
REPORT = EngineReport(4, 0, 0, 3, ('verse',), ('ode',))


def make_manifest(*windows: MaintenanceWindow) -> Manifest:
    """Build four engines, the last one in another data centre."""
    upstreams = {
        name: Upstream(
            name,
            UpstreamKind.engine,
            'far' if name == 'd' else 'hall',
            f'127.0.0.1:{port}',
            4,
            ('verse',),
            ('ode', 'elegy'),
        )
        for port, name in enumerate(NAMES, start=1)
    }
    return Manifest(upstreams=upstreams, maintenance=windows)


def make_request(**changes: object) -> GenerationRequest:
    request = GenerationRequest(
        'one', 'readers', TrafficClass.human, 'verse', 'prompt', 9, SECOND
    )
    return replace(request, **changes)  # type: ignore[arg-type]


class View:
    """A router, its sources and the poller that fills them."""

    def __init__(self, *windows: MaintenanceWindow) -> None:
        """Build the parts for four engines."""
        self.clock = FakeClock()
        self.reports = EngineReports()
        self.prefixes = PrefixCacheHints()
        self.leaving = DrainTracker(self.clock)
        self.running = dict.fromkeys(NAMES, 0)
        self.answers: dict[str, EngineReport] = dict.fromkeys(NAMES, REPORT)
        self.changes: dict[str, list[CacheChange]] = {}
        self.drain_notices: list[DrainNotice] = []
        self.slow = ''
        self.problem = OrderProblem.unanswered
        self.router = Router('hall', self.leaving, self.reports, self.prefixes)
        self.poller = EnginePoller(
            'hall',
            self,
            self.leaving,
            self.reports,
            self.prefixes,
            self.clock,
            Counters(),
            self.running.__getitem__,
        )
        self.poller.on_drain(self.drain_notices.append)
        self.adopt(make_manifest(*windows))

    def adopt(self, manifest: Manifest) -> None:
        """Apply a manifest to the router and the poller."""
        self.router.on_manifest(manifest)
        self.poller.on_manifest(manifest)

    async def observe(
        self,
        upstream: Upstream,
    ) -> Result[EngineReport, OrderProblem]:
        """Return the engine's report, or fail as the test set."""
        if upstream.name == self.slow:
            await self.clock.sleep(timedelta(seconds=REPORT_TIMEOUT_SECONDS))
            return Err(OrderProblem.unanswered)
        report = self.answers.get(upstream.name)
        return Ok(report) if report else Err(self.problem)

    async def order(
        self,
        upstream: Upstream,
        order: EngineOrder,
    ) -> Result[EngineReport, OrderProblem]:
        """Fail: the poller sends no orders."""
        raise NotImplementedError

    async def list_changes(
        self,
        upstream: Upstream,
        after: int,
    ) -> Result[list[CacheChange], OrderProblem]:
        """Return the changes that the test set."""
        return Ok(self.changes.get(upstream.name, []))

    def rank(self, **changes: object) -> tuple[str, ...]:
        """Rank the engines for a request."""
        request = make_request(**changes)
        return self.router.rank_engines(request, self.running.__getitem__)


def change(sequence: int, prompt: str, *, stored: bool = True) -> CacheChange:
    return CacheChange(sequence, stored, prompt)


@pytest.mark.parametrize(
    ('reported', 'wanted', 'expected'),
    [
        ({'b': 5}, {'weight_version': 5}, {'b'}),
        ({'b': 5}, {'oldest_version': 4}, {'b'}),
        ({}, {'weight_version': 9}, set(NAMES)),
        ({}, {'adapter': 'elegy'}, set(NAMES)),
        ({}, {'adapter': 'sonnet'}, set()),
        ({}, {'model': 'prose'}, set()),
    ],
)
async def test_engines_with_requested_version_and_adapter_are_ranked(
    reported: dict[str, int],
    wanted: dict[str, object],
    expected: set[str],
) -> None:
    # New weights reach the engines one by one. A sample that needs the old
    # weights would be refused or generated twice at an engine with newer ones.
    view = View()
    for name, version in reported.items():
        view.answers[name] = replace(REPORT, weight_version=version)
    await view.poller.poll_all(include_remote=True)
    assert set(view.rank(**wanted)) == expected


async def test_own_requests_correct_the_report() -> None:
    # Reports are up to a second old. Uncorrected, all requests of that second
    # would go to the engine that was idle in its last report.
    view = View()
    view.answers['a'] = replace(REPORT, running=2, queued=1)
    await view.poller.poll_all(include_remote=True)
    assert view.reports.estimate_running('a', 0) == 3
    view.running['a'] = 1
    await view.poller.poll_all(include_remote=True)
    assert view.reports.estimate_running('a', 1) == 3
    assert view.reports.estimate_running('a', 0) == 2
    for name in ('b', 'c'):
        view.running[name] = 4
    assert view.rank()[0] == 'a'
    view.running['a'] = 4
    assert view.rank()[-1] == 'd'


@pytest.mark.parametrize(
    ('sent', 'changes', 'warm'),
    [
        ('b', [], True),
        ('', [change(1, 'prompt')], True),
        ('', [change(2, 'other'), change(1, 'prompt')], True),
        ('', [change(1, 'prompt'), change(2, 'prompt', stored=False)], False),
        ('', [change(1, 'prompt'), change(3, 'other')], False),
        ('b', [change(1, 'other'), change(3, 'other')], True),
        ('b', [change(1, 'prompt', stored=False)], False),
    ],
)
async def test_cache_changes_update_prefix_hints(
    sent: str,
    changes: list[CacheChange],
    warm: bool,
) -> None:
    # Cache changes arrive late and with gaps. Reported prefixes that are
    # trusted after a gap send prompts to engines that have evicted them.
    view = View()
    if sent:
        view.router.on_sent(sent, make_request())
    view.changes['b'] = changes
    await view.poller.poll_all(include_remote=True)
    assert view.prefixes.holds('b', hash_prefix('prompt')) is warm
    if warm:
        assert view.rank()[0] == 'b'
        view.running['b'] = 4
        assert view.rank()[0] != 'b'


@pytest.mark.parametrize(
    ('problem', 'rounds', 'has_report', 'warm'),
    [
        (OrderProblem.unanswered, 2, True, True),
        (OrderProblem.unanswered, 3, False, False),
        (OrderProblem.not_sent, 1, True, False),
    ],
)
async def test_report_and_hints_of_unresponsive_engine_are_discarded(
    problem: OrderProblem,
    rounds: int,
    has_report: bool,
    warm: bool,
) -> None:
    # An engine that no longer responds may have been replaced by an empty
    # one, and an engine that refuses connections has lost its cache.
    view = View()
    await view.poller.poll_all(include_remote=True)
    view.router.on_sent('a', make_request())
    del view.answers['a']
    view.problem = problem
    for _ in range(rounds):
        await view.poller.poll_all(include_remote=True)
    assert (view.reports.find('a') is not None) is has_report
    assert view.prefixes.holds('a', hash_prefix('prompt')) is warm


async def test_draining_engine_gets_no_work() -> None:
    # An engine announces one minute ahead that it will stop. Requests sent to
    # it afterwards are cut off, and readers' responses with them.
    view = View()
    view.answers['a'] = replace(REPORT, leaving=True)
    await view.poller.poll_all(include_remote=False)
    assert 'a' not in view.rank()
    assert view.drain_notices == [DrainNotice('a', humans=False)]
    view.answers['a'] = REPORT
    await view.poller.poll_all(include_remote=False)
    assert 'a' in view.rank()


@pytest.mark.parametrize('name', ['a', 'd'])
@pytest.mark.parametrize('phase', [0.2, 0.8, 1.2, 1.8, 2.2, 3.2, 4.2])
async def test_drain_notice_is_detected_within_three_seconds(
    name: str,
    phase: float,
) -> None:
    # Another engine hangs until its report times out. This must not delay the
    # drain notice of this engine too long.
    view = View()
    view.slow = 'b'
    task = asyncio.create_task(view.poller.run())
    await view.clock.advance(SECOND * (5 + phase))
    assert name in view.rank()
    view.answers[name] = replace(REPORT, leaving=True)
    await view.clock.advance(3 * SECOND)
    assert name not in view.rank()
    task.cancel()


async def test_engine_on_draining_vm_gets_no_work() -> None:
    view = View()
    view.leaving.on_vms(
        [
            Vm('b', 'hall', '10.0.0.1:1', leaving=True),
            Vm('x', 'hall', '127.0.0.1:3', leaving=True),
            Vm('a', 'hall', '127.0.0.1:1'),
        ]
    )
    await view.poller.poll_all(include_remote=False)
    assert set(view.rank()) == {'a', 'd'}


@pytest.mark.parametrize(
    ('seconds', 'is_available', 'drain_notices'),
    [
        (0, True, []),
        (62, False, [DrainNotice('a', humans=False)]),
        (
            123,
            False,
            [DrainNotice('a', humans=False), DrainNotice('a', humans=True)],
        ),
        (183, True, []),
    ],
)
async def test_maintenance_window_drains_upstream(
    seconds: int,
    is_available: bool,
    drain_notices: list[DrainNotice],
) -> None:
    # Racks lose power at the start of the window. Requests sent just before
    # would be cut off, so they go elsewhere from a minute ahead; at the start
    # the remaining streams migrate.
    start = FakeClock().now()
    window = MaintenanceWindow('a', start + 120 * SECOND, start + 180 * SECOND)
    view = View(window)
    for _ in range(seconds):
        view.clock.move(SECOND)
        await view.poller.poll_all(include_remote=False)
    assert ('a' in view.rank()) is is_available
    if drain_notices:
        assert view.drain_notices == drain_notices


class OutlierBench:
    """Outlier detection of the four engines, with a clock."""

    def __init__(self) -> None:
        """Start with all engines healthy."""
        self.clock = FakeClock()
        self.detector = OutlierDetector(self.clock, Counters(), Random(7))
        self.detector.on_manifest(make_manifest())

    def fail(self, name: str, times: int, *, connected: bool) -> None:
        """Record failed attempts."""
        for _ in range(times):
            self.detector.on_failure(name, connected=connected)

    def list_admitted(self) -> list[str]:
        """List the engines that may get another attempt."""
        return [name for name in NAMES if self.detector.admits(name)]


def test_ejected_engines_are_probed_one_by_one() -> None:
    # A data centre fails within seconds. If all its engines were retried at
    # once, every retry would reach a dead engine and delay its caller.
    bench = OutlierBench()
    for name in NAMES:
        bench.fail(name, 3, connected=False)
    assert bench.list_admitted() == []
    assert timedelta(0) < bench.detector.find_retry_delay(NAMES) <= SECOND
    bench.clock.move(SECOND)
    assert bench.list_admitted() == list(NAMES)
    bench.detector.on_start('a')
    assert bench.list_admitted() == []
    bench.detector.on_end('a')
    bench.detector.on_success('a')
    bench.detector.on_start('a')
    assert 'a' in bench.list_admitted()
    bench.detector.on_start('a')
    assert 'a' not in bench.list_admitted()
    for _ in range(3):
        bench.detector.on_success('a')
    assert 'a' in bench.list_admitted()
    assert 'a' not in bench.detector.list_ejected()


def test_ejection_time_doubles_after_failed_probe() -> None:
    bench = OutlierBench()
    bench.fail('a', 3, connected=False)
    for seconds in (1, 2, 4, 8):
        bench.clock.move(seconds * SECOND)
        assert bench.detector.admits('a')
        bench.fail('a', 1, connected=False)
        bench.clock.move(seconds * SECOND * 0.9)
        assert not bench.detector.admits('a')


def test_failing_request_ejects_at_most_half_of_the_engines() -> None:
    # One request fails at every engine that runs it. Ejecting all engines
    # would stop all other requests too.
    bench = OutlierBench()
    for name in NAMES:
        bench.fail(name, 9, connected=True)
    assert len(bench.list_admitted()) == 2


def test_slow_engine_is_ejected() -> None:
    # An engine responds, but ten times slower than its peers.
    bench = OutlierBench()
    for _ in range(6):
        for name in NAMES:
            waited = 3 * SECOND if name == 'b' else 0.3 * SECOND
            bench.detector.on_first_token(name, waited)
    assert bench.list_admitted() == ['a', 'c', 'd']
