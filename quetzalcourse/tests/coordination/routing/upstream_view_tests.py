"""What is believed of upstreams, and who gets work because of it."""

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
from quetzalcourse.upstreams import REPORT_SECONDS

SECOND = timedelta(seconds=1)
NAMES = ('a', 'b', 'c', 'd')
REPORT = EngineReport(4, 0, 0, 3, ('verse',), ('ode',))


def make_manifest(*windows: MaintenanceWindow) -> Manifest:
    """Make four engines, the last in another data centre."""
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
    """A router, its sources and the observer that fills them."""

    def __init__(self, *windows: MaintenanceWindow) -> None:
        """Build the parts around four engines."""
        self.clock = FakeClock()
        self.reports = EngineReports()
        self.prefixes = PrefixCacheHints()
        self.leaving = DrainTracker(self.clock)
        self.running = dict.fromkeys(NAMES, 0)
        self.answers: dict[str, EngineReport] = dict.fromkeys(NAMES, REPORT)
        self.changes: dict[str, list[CacheChange]] = {}
        self.departures: list[DrainNotice] = []
        self.slow = ''
        self.problem = OrderProblem.unanswered
        self.router = Router('hall', self.leaving, self.reports, self.prefixes)
        self.observer = EnginePoller(
            'hall',
            self,
            self.leaving,
            self.reports,
            self.prefixes,
            self.clock,
            Counters(),
            self.running.__getitem__,
        )
        self.observer.on_drain(self.departures.append)
        self.adopt(make_manifest(*windows))

    def adopt(self, manifest: Manifest) -> None:
        """Bring a manifest into force."""
        self.router.on_manifest(manifest)
        self.observer.on_manifest(manifest)

    async def observe(
        self,
        upstream: Upstream,
    ) -> Result[EngineReport, OrderProblem]:
        """Answer as the engine does."""
        if upstream.name == self.slow:
            await self.clock.sleep(timedelta(seconds=REPORT_SECONDS))
            return Err(OrderProblem.unanswered)
        report = self.answers.get(upstream.name)
        return Ok(report) if report else Err(self.problem)

    async def order(
        self,
        upstream: Upstream,
        order: EngineOrder,
    ) -> Result[EngineReport, OrderProblem]:
        """Take no orders."""
        raise NotImplementedError

    async def list_changes(
        self,
        upstream: Upstream,
        after: int,
    ) -> Result[list[CacheChange], OrderProblem]:
        """Tell the changes that a test set."""
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
async def test_engine_has_what_is_asked_for(
    reported: dict[str, int],
    wanted: dict[str, object],
    expected: set[str],
) -> None:
    # New weights reach the engines one by one. A sample of old weights that
    # went to an engine with newer ones would be refused or made twice.
    view = View()
    for name, version in reported.items():
        view.answers[name] = replace(REPORT, weight_version=version)
    await view.observer.poll_all(include_remote=True)
    assert set(view.rank(**wanted)) == expected


async def test_own_work_corrects_the_report() -> None:
    # Reports are a second old. All work of that second would go to the one
    # engine that was idle in its last report.
    view = View()
    view.answers['a'] = replace(REPORT, running=2, queued=1)
    await view.observer.poll_all(include_remote=True)
    assert view.reports.estimate_running('a', 0) == 3
    view.running['a'] = 1
    await view.observer.poll_all(include_remote=True)
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
async def test_cache_hints(
    sent: str,
    changes: list[CacheChange],
    warm: bool,
) -> None:
    # Cache events come late and with gaps. Believed after a gap, they would
    # send prompts to engines that hold them no longer.
    view = View()
    if sent:
        view.router.on_sent(sent, make_request())
    view.changes['b'] = changes
    await view.observer.poll_all(include_remote=True)
    assert view.prefixes.holds('b', hash_prefix('prompt')) is warm
    if warm:
        assert view.rank()[0] == 'b'
        view.running['b'] = 4
        assert view.rank()[0] != 'b'


@pytest.mark.parametrize(
    ('problem', 'rounds', 'believed', 'warm'),
    [
        (OrderProblem.unanswered, 2, True, True),
        (OrderProblem.unanswered, 3, False, False),
        (OrderProblem.not_sent, 1, True, False),
    ],
)
async def test_silent_engine_is_not_believed(
    problem: OrderProblem,
    rounds: int,
    believed: bool,
    warm: bool,
) -> None:
    # An engine that answers no more may have been replaced by an empty one,
    # and one that nobody listens for has lost its cache.
    view = View()
    await view.observer.poll_all(include_remote=True)
    view.router.on_sent('a', make_request())
    del view.answers['a']
    view.problem = problem
    for _ in range(rounds):
        await view.observer.poll_all(include_remote=True)
    assert (view.reports.find('a') is not None) is believed
    assert view.prefixes.holds('a', hash_prefix('prompt')) is warm


async def test_leaving_engine_gets_no_work() -> None:
    # An engine gives notice of a minute. What is sent to it afterwards is
    # cut, and a reader's answer with it.
    view = View()
    view.answers['a'] = replace(REPORT, leaving=True)
    await view.observer.poll_all(include_remote=False)
    assert 'a' not in view.rank()
    assert view.departures == [DrainNotice('a', humans=False)]
    view.answers['a'] = REPORT
    await view.observer.poll_all(include_remote=False)
    assert 'a' in view.rank()


@pytest.mark.parametrize('name', ['a', 'd'])
@pytest.mark.parametrize('phase', [0.2, 0.8, 1.2, 1.8, 2.2, 3.2, 4.2])
async def test_notice_is_heard_within_three_seconds(
    name: str,
    phase: float,
) -> None:
    # Another engine hangs and answers no report before its time is up. The
    # notice of the one that leaves must not wait for it too long.
    view = View()
    view.slow = 'b'
    task = asyncio.create_task(view.observer.run())
    await view.clock.advance(SECOND * (5 + phase))
    assert name in view.rank()
    view.answers[name] = replace(REPORT, leaving=True)
    await view.clock.advance(3 * SECOND)
    assert name not in view.rank()
    task.cancel()


async def test_listed_vm_gets_no_work() -> None:
    view = View()
    view.leaving.on_vms(
        [
            Vm('b', 'hall', '10.0.0.1:1', leaving=True),
            Vm('x', 'hall', '127.0.0.1:3', leaving=True),
            Vm('a', 'hall', '127.0.0.1:1'),
        ]
    )
    await view.observer.poll_all(include_remote=False)
    assert set(view.rank()) == {'a', 'd'}


@pytest.mark.parametrize(
    ('seconds', 'is_open', 'departures'),
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
async def test_maintenance_window(
    seconds: int,
    is_open: bool,
    departures: list[DrainNotice],
) -> None:
    # The landlord switches a cage off. Work that was sent there a moment
    # before would be cut, so it goes elsewhere a minute ahead; at the start
    # whatever is left moves.
    probe = FakeClock().now()
    window = MaintenanceWindow('a', probe + 120 * SECOND, probe + 180 * SECOND)
    view = View(window)
    for _ in range(seconds):
        view.clock.move(SECOND)
        await view.observer.poll_all(include_remote=False)
    assert ('a' in view.rank()) is is_open
    if departures:
        assert view.departures == departures


class Ward:
    """Health of the four engines, with a clock."""

    def __init__(self) -> None:
        """Begin with all of them well."""
        self.clock = FakeClock()
        self.health = OutlierDetector(self.clock, Counters(), Random(7))
        self.health.on_manifest(make_manifest())

    def fail(self, name: str, times: int, *, connected: bool) -> None:
        """Let attempts fail."""
        for _ in range(times):
            self.health.on_failure(name, connected=connected)

    def list_admitted(self) -> list[str]:
        """Name the engines that may get an attempt."""
        return [name for name in NAMES if self.health.admits(name)]


def test_dead_engines_come_back_one_by_one() -> None:
    # A data centre is lost within seconds. Were all its engines tried again
    # at once, every retry would meet a dead one and each caller would wait.
    ward = Ward()
    for name in NAMES:
        ward.fail(name, 3, connected=False)
    assert ward.list_admitted() == []
    assert timedelta(0) < ward.health.find_retry_delay(NAMES) <= SECOND
    ward.clock.move(SECOND)
    assert ward.list_admitted() == list(NAMES)
    ward.health.on_start('a')
    assert ward.list_admitted() == []
    ward.health.on_end('a')
    ward.health.on_success('a')
    ward.health.on_start('a')
    assert 'a' in ward.list_admitted()
    ward.health.on_start('a')
    assert 'a' not in ward.list_admitted()
    for _ in range(3):
        ward.health.on_success('a')
    assert 'a' in ward.list_admitted()
    assert 'a' not in ward.health.list_ejected()


def test_failed_probe_waits_longer() -> None:
    ward = Ward()
    ward.fail('a', 3, connected=False)
    for seconds in (1, 2, 4, 8):
        ward.clock.move(seconds * SECOND)
        assert ward.health.admits('a')
        ward.fail('a', 1, connected=False)
        ward.clock.move(seconds * SECOND * 0.9)
        assert not ward.health.admits('a')


def test_poisonous_request_takes_out_half_at_most() -> None:
    # One request breaks every engine it comes to. Were all taken out, it
    # would stop everyone else's requests as well.
    ward = Ward()
    for name in NAMES:
        ward.fail(name, 9, connected=True)
    assert len(ward.list_admitted()) == 2


def test_slow_engine_is_taken_out() -> None:
    # An engine answers, but ten times slower than its peers.
    ward = Ward()
    for _ in range(6):
        for name in NAMES:
            waited = 3 * SECOND if name == 'b' else 0.3 * SECOND
            ward.health.on_first_token(name, waited)
    assert ward.list_admitted() == ['a', 'c', 'd']
