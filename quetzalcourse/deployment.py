"""Interfaces to the platform that a daemon runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from quetzalcourse.coordination.duties.usage_windows import (
        UsageReportSender,
    )
    from quetzalcourse.coordination.feeds.ports import ChangeFeed, StoreClock
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.coordination.scaling.scaling_controller import (
        ScalingOrders,
    )
    from quetzalcourse.coordination.versions.load_controller import (
        UpstreamControl,
    )
    from quetzalcourse.settings.rollout import RolloutSettings
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.pool import PoolMember
    from quetzalcourse.state.routing import RoutingManifest
    from quetzalcourse.transport.dialect import CallerDialect, UpstreamDialect


class StoreClients(Protocol):
    """Clients of the platform's store: rows, change feed and clock."""

    @property
    def table(self) -> Table:
        """Reads and writes rows."""

    @property
    def feed(self) -> ChangeFeed:
        """Follows changes of rows."""

    @property
    def clock(self) -> StoreClock:
        """Estimates the store's clock."""


class Documents(Protocol):
    """Format of rows that operators, trainers and upstreams write."""

    @property
    def operator_table(self) -> str:
        """Table that operators and trainers write to."""

    @property
    def upstream_table(self) -> str:
        """Table that upstreams register in."""

    @property
    def manifest_key(self) -> str:
        """Key of the routing manifest's row."""

    @property
    def version_prefix(self) -> str:
        """Key prefix of rows that name a version to load."""

    @property
    def evacuation_prefix(self) -> str:
        """Key prefix of rows that evacuate a data centre."""

    def read_manifest(self, content: bytes) -> Result[RoutingManifest, str]:
        """Parse a routing manifest."""

    def read_member(
        self,
        name: str,
        content: bytes,
    ) -> Result[PoolMember, str]:
        """Parse the registration of an upstream."""

    def read_version(self, content: bytes) -> Result[tuple[str, int], str]:
        """Parse a named version into the model and its version."""


class Deployment(Protocol):
    """Everything that is specific to a platform."""

    @property
    def settings(self) -> RolloutSettings:
        """Settings of the daemon, read at its start."""

    @property
    def documents(self) -> Documents:
        """Format of rows that others write."""

    @property
    def callers(self) -> CallerDialect:
        """Wire format of callers."""

    @property
    def upstreams(self) -> UpstreamDialect:
        """Wire format of upstreams."""

    @property
    def readiness_path(self) -> str:
        """Path of the load balancer's readiness probe."""

    def open_store(self, clock: Clock, counters: Counters) -> StoreClients:
        """Open connections to the store."""

    def open_upstream_control(self) -> UpstreamControl:
        """Open connections for load orders to upstreams."""

    def open_usage_reports(self) -> UsageReportSender:
        """Open connections for usage reports."""

    def open_scaling_orders(self) -> ScalingOrders:
        """Open connections for orders of upstreams."""

    async def close(self) -> None:
        """Close every connection that was opened."""
