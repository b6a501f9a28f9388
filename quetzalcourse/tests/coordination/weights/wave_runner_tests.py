"""New versions are ordered under the lease and confirmed by reports."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from result import Err, Ok, Result

from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.coordination.steps.staleness import NewestVersions
from quetzalcourse.coordination.weights.wave_runner import WaveRunner
from quetzalcourse.standins.virtual_time import VirtualClock, run_virtual
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.engines import (
    EngineOrder,
    EngineReport,
    OrderProblem,
)
from quetzalcourse.state.lease import LeaseTimings
from quetzalcourse.state.manifest import Manifest, Upstream, UpstreamKind
from quetzalcourse.state.waves import WaveLimits
from quetzalcourse.tests.step_simulation import MODEL, FakePlatform

DATA_CENTRE = 'hall'
TERMS = LeaseTimings(timedelta(seconds=10), timedelta(seconds=2))
PLAN = WaveLimits(0.5, 10.0, timedelta(seconds=5))


class FakeEngines:
    """Engines that load at once, refuse, or keep their version."""

    def __init__(self, count: int) -> None:
        self.upstreams = {
            f'engine-{index}': Upstream(
                f'engine-{index}',
                UpstreamKind.engine,
                DATA_CENTRE,
                '127.0.0.1:1',
                slots=8,
                models=(MODEL,),
            )
            for index in range(count)
        }
        self.versions = dict.fromkeys(self.upstreams, 1)
        self.orders: list[EngineOrder] = []
        self.problems: dict[str, list[OrderProblem]] = {}

    def find_report(self, name: str) -> EngineReport | None:
        return EngineReport(8, 0, 0, self.versions[name], (MODEL,), ())

    async def order(
        self,
        upstream: Upstream,
        order: EngineOrder,
    ) -> Result[EngineReport, OrderProblem]:
        self.orders.append(order)
        problems = self.problems.get(upstream.name)
        if problems:
            return Err(problems.pop())
        self.versions[upstream.name] = order.version
        report = self.find_report(upstream.name)
        assert report is not None
        return Ok(report)


class RunnerScenario:
    """A wave runner and its lease in one data centre."""

    def __init__(self, engines: FakeEngines) -> None:
        self.platform = FakePlatform()
        clock = VirtualClock()
        self.lease = Lease(
            self.platform, clock, 'lease/engines/hall', 'holder', TERMS
        )
        self.runner = WaveRunner(
            DATA_CENTRE,
            self.lease,
            engines,  # type: ignore[arg-type]
            NewestVersions(self.platform, clock),
            engines.find_report,
            clock,
            Counters(),
            PLAN,
        )
        self.runner.on_manifest(Manifest(upstreams=engines.upstreams))

    async def run(self, seconds: float) -> None:
        task = asyncio.ensure_future(self.runner.run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def test_failed_swaps_are_retried() -> None:
    # One engine refuses its order; another's answer is lost and its swap
    # fails. Samples generated there would keep the old version and soon be
    # too old to deliver.
    async def run() -> FakeEngines:
        engines = FakeEngines(4)
        engines.problems = {
            'engine-0': [OrderProblem.refused],
            'engine-1': [OrderProblem.unanswered],
        }
        scenario = RunnerScenario(engines)
        scenario.platform.publish()
        await scenario.lease.acquire_or_renew()
        await scenario.run(9)
        return engines

    engines = run_virtual(run())
    assert set(engines.versions.values()) == {2}
    names = [order.order_id for order in engines.orders]
    assert len(names) == len(set(names)) == 6
    assert {order.token for order in engines.orders} == {1}


def test_expired_lease_prevents_orders() -> None:
    # The lease expired while its holder was partitioned. An engine that
    # ignores fencing tokens would obey both the holder and its successor.
    async def run() -> list[EngineOrder]:
        engines = FakeEngines(4)
        scenario = RunnerScenario(engines)
        await scenario.lease.acquire_or_renew()
        await asyncio.sleep(TERMS.term.total_seconds())
        scenario.platform.publish()
        await scenario.run(5)
        return engines.orders

    assert run_virtual(run()) == []
