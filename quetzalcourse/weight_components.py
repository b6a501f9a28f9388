"""The parts that bring new weights onto engines, built and wired."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.leases.lease import Lease
from quetzalcourse.coordination.leases.leader_elector import LeaderElector
from quetzalcourse.coordination.ports import Table, WeightStore
from quetzalcourse.coordination.steps.staleness import NewestVersions
from quetzalcourse.coordination.weights.wave_runner import WaveRunner
from quetzalcourse.state.lease import LeaseTimings
from quetzalcourse.state.waves import WaveLimits
from quetzalcourse.transport.engine_control import EngineControlClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    import aiohttp

    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.settings.process import ProcessSettings
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.engines import EngineReport


class WeightPlatform(Table, WeightStore, Protocol):
    """Services of the platform that waves need."""


def build_engine_lease_key(data_centre: str) -> str:
    """Name the lease on orders to the engines of a data centre."""
    return f'lease/engines/{data_centre}'


@dataclass(frozen=True, slots=True)
class WeightComponents:
    """The data centre's lease on its engines, and the waves under it."""

    elector: LeaderElector
    waves: WaveRunner

    def start(self, lifecycle: Lifecycle) -> None:
        """Run everything for as long as the daemon does."""
        lifecycle.run(self.elector.lease.key, self.elector.run)
        lifecycle.run('waves', self.waves.run)
        lifecycle.on_drain(self.on_drain)
        lifecycle.on_stop(self.on_drain)

    def describe(self) -> dict[str, Any]:
        """Tell who orders, and how far the newest versions are."""
        lease = self.elector.lease.describe()
        waves = {
            model: asdict(status)
            for model, status in self.waves.describe().items()
        }
        return {'lease': asdict(lease), 'waves': waves}

    async def on_drain(self) -> None:
        """Give the lease up once no order is on its way any more."""
        self.elector.stop_renewing()
        await self.waves.finish()
        await self.elector.release()


def build_weight_components(
    settings: ProcessSettings,
    session: aiohttp.ClientSession,
    platform: WeightPlatform,
    members: MemberView,
    find_report: Callable[[str], EngineReport | None],
    clock: Clock,
    counters: Counters,
) -> WeightComponents:
    """Build the parts and connect them.

    :param platform: keeps the lease and tells the published versions.
    :param find_report: tells an engine's last report, if it is recent.
    """
    incarnation = members.own.incarnation
    data_centre = settings.data_centre
    key = build_engine_lease_key(data_centre)
    lease_settings = settings.lease
    timings = LeaseTimings(
        timedelta(seconds=lease_settings.term_seconds),
        timedelta(seconds=lease_settings.margin_seconds),
        timedelta(seconds=lease_settings.order_timeout_seconds),
    )
    lease = Lease(platform, clock, key, incarnation, timings)
    elector = LeaderElector(lease, members, clock, counters, data_centre)
    weight_settings = settings.weights
    waves = WaveRunner(
        data_centre,
        lease,
        EngineControlClient(
            session, incarnation, lease_settings.order_timeout_seconds
        ),
        NewestVersions(platform, clock),
        find_report,
        clock,
        counters,
        WaveLimits(
            weight_settings.serving_share,
            weight_settings.loads_per_second,
            timedelta(seconds=weight_settings.swap_seconds),
        ),
    )
    return WeightComponents(elector, waves)
