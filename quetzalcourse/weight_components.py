"""Builds the components that roll new weights out to engines."""

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
    """Services of the platform that rolling weight updates need."""


def build_engine_lease_key(data_centre: str) -> str:
    """Build the key of the lease on orders to a data centre's engines."""
    return f'lease/engines/{data_centre}'


@dataclass(frozen=True, slots=True)
class WeightComponents:
    """Lease on the engines of a data centre and their weight updates."""

    elector: LeaderElector
    waves: WaveRunner

    def start(self, lifecycle: Lifecycle) -> None:
        """Run the components in the background."""
        lifecycle.run(self.elector.lease.key, self.elector.run)
        lifecycle.run('waves', self.waves.run)
        lifecycle.on_drain(self.on_drain)
        lifecycle.on_stop(self.on_drain)

    def describe(self) -> dict[str, Any]:
        """Return the lease's state and the progress of each model's update."""
        lease = self.elector.lease.describe()
        waves = {
            model: asdict(status)
            for model, status in self.waves.describe().items()
        }
        return {'lease': asdict(lease), 'waves': waves}

    async def on_drain(self) -> None:
        """Release the lease once no order is in flight."""
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
    """Build the components and connect them.

    :param platform: stores the lease and lists the published versions.
    :param find_report: returns the last report of an engine if it is recent.
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
