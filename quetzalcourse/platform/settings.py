"""Settings file that the platform writes."""

from __future__ import annotations

import hashlib
import os
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING, Annotated

import msgspec
from result import Err, Ok, Result

from quetzalcourse.settings.rollout import (
    ColdStartTolerance,
    ListenAddresses,
    LoadControl,
    RolloutSettings,
    ServiceTimings,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

FILE_VARIABLE = 'QUETZALCOURSE_NODE_FILE'
# Port for metrics in ``deploy/system.toml``. The platform's settings file has
# none, but a second daemon on the same IP address needs another.
METRICS_PORT = 9464
# Duties that the daemon knows by another name.
DUTY_NAMES: Mapping[str, str] = MappingProxyType({'autoscale': 'scaling'})


class ListenMessage(msgspec.Struct):
    """Listen addresses; ``front`` is for clients."""

    front: str
    ready: str


class BoundsMessage(msgspec.Struct):
    """Limits of the deployment; each name ends with its unit."""

    grace_s: float = 8
    lease_ms: float = 3000
    report_window_s: float = 5
    usage_late_s: float = 10
    status_s: float = 120
    settle_ms: float = 1000
    cold_overage: Annotated[float, msgspec.Meta(ge=0)] = 1
    cold_slack: Annotated[int, msgspec.Meta(ge=0)] = 0


class LimitsMessage(msgspec.Struct):
    """CPU limits; ``cpu_share`` is the share of a core of speed ``cores``."""

    cpu_share: float = 1
    cores: float = 1


class StoreMessage(msgspec.Struct):
    """Address of the store and its maximum row size."""

    address: str
    row_bytes: int = 65536


class CloudMessage(msgspec.Struct):
    """Address of the API that takes the calls of duties."""

    address: str = ''
    duties: list[str] = []


class LoadControlMessage(msgspec.Struct, forbid_unknown_fields=True):
    """Parts of the load control that operators switch on."""

    queueing: bool = False
    shared_slots: bool = False
    step_triage: bool = False
    carried_texts: bool = False
    measured_pace: bool = False
    scaling: bool = False


class SettingsMessage(msgspec.Struct):
    """Fields of the settings that the adapter reads.

    ``zones`` maps each zone to its region. ``load_control`` is no field of
    the platform; operators add it in ``deploy/settings.json``.
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
    load_control: LoadControlMessage = msgspec.field(
        default_factory=LoadControlMessage
    )


class ExtendedSettingsMessage(msgspec.Struct):
    """The platform's settings, and those that operators add."""

    platform_settings: SettingsMessage | None = None
    load_control: LoadControlMessage = msgspec.field(
        default_factory=LoadControlMessage
    )


def find_file() -> Path | None:
    """Find the settings file, ``None`` outside a platform."""
    named = os.environ.get(FILE_VARIABLE)
    return Path(named) if named else None


def load_file(path: Path) -> Result[SettingsMessage, str]:
    """Read and validate the settings file.

    It holds the platform's settings, alone or together with an operator's.

    :returns: the fields, or the first error.
    """
    try:
        return Ok(_decode_settings(path.read_bytes()))
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(f'{path}: {error}')


def translate_settings(message: SettingsMessage) -> RolloutSettings:
    """Translate the platform's settings into those of the daemon."""
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
        duties=frozenset(
            DUTY_NAMES.get(name, name) for name in message.cloud.duties
        ),
        peer_secret=derive_secret(message),
        cores=message.limits.cpu_share * message.limits.cores,
        load_control=LoadControl(
            **msgspec.structs.asdict(message.load_control)
        ),
    )


def derive_secret(message: SettingsMessage) -> bytes:
    """Derive the secret that the daemons of one deployment share.

    It keeps deployments apart whose daemons reach each other by mistake. All
    daemons call the duties at the same address, whereas each may have an
    address of its own for the store.
    """
    shared = message.cloud.address or message.platform.address
    return hashlib.sha256(shared.encode()).digest()


def _decode_settings(content: bytes) -> SettingsMessage:
    extended = msgspec.json.decode(content, type=ExtendedSettingsMessage)
    if extended.platform_settings is None:
        return msgspec.json.decode(content, type=SettingsMessage)
    return msgspec.structs.replace(
        extended.platform_settings, load_control=extended.load_control
    )
