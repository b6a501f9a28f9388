"""Implements the interfaces to the platform for a daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from quetzalcourse.platform import documents
from quetzalcourse.platform.callers import READY_PATH, PlatformCallerDialect
from quetzalcourse.platform.duties import (
    ScalingOrderClient,
    ServerControl,
    UsageReportClient,
)
from quetzalcourse.platform.settings import translate_settings
from quetzalcourse.platform.store import StoreClient
from quetzalcourse.platform.upstreams import PlatformUpstreamDialect
from quetzalcourse.transport.channel import Channel

if TYPE_CHECKING:
    from result import Result

    from quetzalcourse.platform.settings import SettingsMessage
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.pool import PoolMember
    from quetzalcourse.state.routing import RoutingManifest


@dataclass(frozen=True, slots=True)
class PlatformStore:
    """Store client in its three roles: rows, change feed and clock."""

    table: StoreClient
    feed: StoreClient
    clock: StoreClient


class PlatformDocuments:
    """Format of rows that operators, trainers and servers write."""

    operator_table = documents.OPERATOR_TABLE
    upstream_table = documents.SERVERS_TABLE
    manifest_key = documents.MANIFEST_KEY
    version_prefix = documents.VERSION_PREFIX
    evacuation_prefix = documents.EVACUATION_PREFIX

    def read_manifest(self, content: bytes) -> Result[RoutingManifest, str]:
        """Parse a desired state."""
        return documents.read_manifest(content)

    def read_member(
        self,
        name: str,
        content: bytes,
    ) -> Result[PoolMember, str]:
        """Parse the registration of a server."""
        return documents.read_member(name, content)

    def read_version(self, content: bytes) -> Result[tuple[str, int], str]:
        """Parse a named version into the model and its version."""
        return documents.read_version(content)


class PlatformDeployment:
    """Opens the platform connections of a daemon.

    :param message: parsed settings file.
    """

    def __init__(self, message: SettingsMessage) -> None:
        """Translate the settings without connecting."""
        self.settings = translate_settings(message)
        self.documents = PlatformDocuments()
        self.callers = PlatformCallerDialect()
        self.upstreams = PlatformUpstreamDialect()
        self.readiness_path = READY_PATH
        self._message = message
        self._connections: list[Channel | ServerControl] = []

    def open_store(self, clock: Clock, counters: Counters) -> PlatformStore:
        """Open connections to the store."""
        channel = Channel(self._message.platform.address)
        self._connections.append(channel)
        client = StoreClient(channel, clock, counters)
        return PlatformStore(client, client, client)

    def open_upstream_control(self) -> ServerControl:
        """Open connections for load orders to servers."""
        control = ServerControl()
        self._connections.append(control)
        return control

    def open_usage_reports(self) -> UsageReportClient:
        """Open connections for usage reports."""
        channel = Channel(self._message.cloud.address)
        self._connections.append(channel)
        return UsageReportClient(channel, self.settings.vm)

    def open_scaling_orders(self) -> ScalingOrderClient:
        """Open connections for orders of servers."""
        channel = Channel(self._message.cloud.address)
        self._connections.append(channel)
        return ScalingOrderClient(channel, self.settings.vm)

    async def close(self) -> None:
        """Close every connection that was opened."""
        for connection in self._connections:
            await connection.close()
