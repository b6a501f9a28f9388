"""Interface to the platform that a daemon runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from quetzalcourse.coordination.duties.usage_windows import (
        UsageReportSender,
    )
    from quetzalcourse.coordination.feeds.ports import ChangeFeed, StoreClock
    from quetzalcourse.coordination.ports import Table
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
    """The platform's store: rows, changes and a clock."""

    @property
    def table(self) -> Table:
        """Rows."""

    @property
    def feed(self) -> ChangeFeed:
        """Changes of rows."""

    @property
    def clock(self) -> StoreClock:
        """The store's own clock."""


class Documents(Protocol):
    """Rows that operators, trainers and upstreams write into the store."""

    @property
    def operator_table(self) -> str:
        """Table that operators write."""

    @property
    def upstream_table(self) -> str:
        """Table that upstreams register in."""

    @property
    def manifest_key(self) -> str:
        """Row of the routing manifest."""

    @property
    def version_prefix(self) -> str:
        """What the rows of named versions begin with."""

    @property
    def evacuation_prefix(self) -> str:
        """What the rows of evacuated data centres begin with."""

    def read_manifest(self, content: bytes) -> Result[RoutingManifest, str]:
        """Read a routing manifest."""

    def read_member(
        self,
        name: str,
        content: bytes,
    ) -> Result[PoolMember, str]:
        """Read the entry of an upstream."""

    def read_version(self, content: bytes) -> Result[tuple[str, int], str]:
        """Read a named version: the model and its version."""


class Deployment(Protocol):
    """Everything that differs from one platform to another."""

    @property
    def settings(self) -> RolloutSettings:
        """What the daemon is told at its start."""

    @property
    def documents(self) -> Documents:
        """Rows that others write."""

    @property
    def callers(self) -> CallerDialect:
        """Words of callers."""

    @property
    def upstreams(self) -> UpstreamDialect:
        """Words of upstreams."""

    @property
    def readiness_path(self) -> str:
        """Path that the balancer asks."""

    def open_store(self, clock: Clock, counters: Counters) -> StoreClients:
        """Open connections to the store."""

    def open_upstream_control(self) -> UpstreamControl:
        """Open connections for orders to upstreams."""

    def open_usage_reports(self) -> UsageReportSender:
        """Open connections for reports of usage."""

    async def close(self) -> None:
        """Close every connection that was opened."""
