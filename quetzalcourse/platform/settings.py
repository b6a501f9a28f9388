"""Settings file as the platform writes it."""

from __future__ import annotations

import hashlib
import os
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from quetzalcourse.settings.rollout import (
    ColdStartTolerance,
    ListenAddresses,
    RolloutSettings,
    ServiceTimings,
)

FILE_VARIABLE = 'QUETZALCOURSE_NODE_FILE'
# The port that ``deploy/system.toml`` names for metrics; the settings file
# names none, but a second daemon on one IP number needs another.
METRICS_PORT = 9464


class ListenMessage(msgspec.Struct):
    """Addresses; ``front`` is where clients connect."""

    front: str
    ready: str


class BoundsMessage(msgspec.Struct):
    """Bounds of the deployment; each name ends with its unit."""

    grace_s: float = 8
    lease_ms: float = 3000
    report_window_s: float = 5
    usage_late_s: float = 10
    status_s: float = 120
    settle_ms: float = 1000
    cold_overage: Annotated[float, msgspec.Meta(ge=0)] = 1
    cold_slack: Annotated[int, msgspec.Meta(ge=0)] = 0


class LimitsMessage(msgspec.Struct):
    """What a process may use; ``cpu_share`` is of a core ``cores`` fast."""

    cpu_share: float = 1
    cores: float = 1


class StoreMessage(msgspec.Struct):
    """The store: where it is and how large a row may be."""

    address: str
    row_bytes: int = 65536


class CloudMessage(msgspec.Struct):
    """The interface that takes duty calls."""

    address: str = ''
    duties: list[str] = []


class SettingsMessage(msgspec.Struct):
    """The fields of the settings that the adapter reads.

    ``zones`` names the region of each zone.
    """

    node_name: str
    ip: str
    zone: str
    listen: ListenMessage
    internal_ports: list[int]
    platform: StoreMessage
    zones: dict[str, str] = {}
    metrics_port: int = METRICS_PORT
    limits: LimitsMessage = msgspec.field(default_factory=LimitsMessage)
    bounds: BoundsMessage = msgspec.field(default_factory=BoundsMessage)
    cloud: CloudMessage = msgspec.field(default_factory=CloudMessage)


def find_file() -> Path | None:
    """Find the settings file, ``None`` outside the platform."""
    named = os.environ.get(FILE_VARIABLE)
    return Path(named) if named else None


def load_file(path: Path) -> Result[SettingsMessage, str]:
    """Read and check the settings file.

    :returns: the fields, or what is wrong with them.
    """
    try:
        return Ok(msgspec.json.decode(path.read_bytes(), type=SettingsMessage))
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(f'{path}: {error}')


def translate_settings(message: SettingsMessage) -> RolloutSettings:
    """Put the platform's settings into the daemon's terms."""
    bounds = message.bounds
    peers = f'{message.ip}:{message.internal_ports[0]}'
    return RolloutSettings(
        vm=message.node_name,
        data_centre=message.zone,
        listen=ListenAddresses(
            callers=message.listen.front,
            readiness=message.listen.ready,
            peers=peers,
            metrics=f'{message.ip}:{message.metrics_port}',
        ),
        timings=ServiceTimings(
            stop_deadline=timedelta(seconds=bounds.grace_s),
            min_lease_hold=timedelta(milliseconds=bounds.lease_ms),
            usage_window=timedelta(seconds=bounds.report_window_s),
            usage_report_delay=timedelta(seconds=bounds.usage_late_s),
            batch_retention=timedelta(seconds=bounds.status_s),
            propagation_delay=timedelta(milliseconds=bounds.settle_ms),
        ),
        regions=message.zones,
        cold_start=ColdStartTolerance(bounds.cold_overage, bounds.cold_slack),
        duties=frozenset(message.cloud.duties),
        peer_secret=derive_secret(message),
        cores=message.limits.cpu_share * message.limits.cores,
    )


def derive_secret(message: SettingsMessage) -> bytes:
    """Derive what the daemons of one deployment share.

    It keeps apart deployments whose daemons reach each other by mistake.
    Duties are called at one address by all daemons; the store may be reached
    by a way of their own.
    """
    shared = message.cloud.address or message.platform.address
    return hashlib.sha256(shared.encode()).digest()
