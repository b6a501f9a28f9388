"""Settings of one daemon, read from a TOML file."""

from __future__ import annotations

import ipaddress
import tomllib
from datetime import timedelta
from typing import TYPE_CHECKING, Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from result import Err, Ok, Result

from quetzalcourse.settings.faults import SettingFault, list_faults
from quetzalcourse.state.lease import compute_min_margin

if TYPE_CHECKING:
    from pathlib import Path

MAX_PORT = 65535


def check_address(text: str) -> str:
    """Check that an address is an IP number and a port."""
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError('must be an IP number and a port, as 127.0.0.1:80')
    ipaddress.ip_address(host)
    return text


Address = Annotated[str, AfterValidator(check_address)]


class SettingsModel(BaseModel):
    """Base of settings: unknown keys are faults."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class ListenSettings(SettingsModel):
    """Addresses that the daemon listens on.

    :param callers: address for callers and operators.
    :param peers: address for the other daemons.
    """

    callers: Address
    peers: Address


class PlatformSettings(SettingsModel):
    """The platform's address and patience with it."""

    address: Address
    timeout_seconds: float = Field(default=2.0, gt=0)
    refresh_seconds: float = Field(default=0.5, gt=0)


class LimitSettings(SettingsModel):
    """Bounds on what one caller may cost.

    :param body_bytes: largest body of a request to a model or a step.
    :param service_body_bytes: largest body of a call to a plain service.
    :param sender_seconds: how long a caller may send nothing of a body.
    :param reader_seconds: how long a caller may take nothing of an answer.
    """

    body_bytes: int = Field(default=8_000_000, gt=0)
    service_body_bytes: int = Field(default=64_000_000, gt=0)
    sender_seconds: float = Field(default=20.0, gt=0)
    reader_seconds: float = Field(default=30.0, gt=0)


class LogSettings(SettingsModel):
    """What is logged, and how."""

    level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    format: Literal['console', 'json'] = 'json'


class DrainSettings(SettingsModel):
    """Times of a graceful shutdown.

    :param balancer_seconds: wait after readiness has gone.
    :param deadline_seconds: time after which streams are cut.
    """

    balancer_seconds: float = Field(default=5.0, ge=0)
    deadline_seconds: float = Field(default=900.0, gt=0)

    @model_validator(mode='after')
    def check_order(self) -> DrainSettings:
        """Refuse a wait that outlasts the deadline."""
        if self.balancer_seconds >= self.deadline_seconds:
            raise ValueError('balancer_seconds must be below deadline_seconds')
        return self


class PeeringSettings(SettingsModel):
    """Messages between daemons.

    :param secrets: shared by all daemons; the first one signs what is sent,
        each one is accepted. Without any the daemon stays alone.
    :param refuse_keys_after_seconds: age of the newest word from the store
        above which every key is refused; 0 serves however old it is.
    :param seeds: addresses of daemons to try besides the platform's list.
    :param suspicion_seconds: time that a silent daemon has to answer.
    """

    secrets: list[Annotated[str, Field(min_length=16)]] = Field(
        default=[], repr=False
    )
    seeds: list[Address] = []
    tick_seconds: float = Field(default=0.5, gt=0)
    suspicion_seconds: float = Field(default=4.0, gt=0)
    refuse_keys_after_seconds: float = Field(default=0.0, ge=0)


class OperatorSettings(SettingsModel):
    """Who may change keys through this daemon.

    :param key_hashes: SHA-256 of each operator key, in hexadecimal.
    """

    key_hashes: list[Annotated[str, Field(pattern='^[0-9a-f]{64}$')]] = []


class LeaseSettings(SettingsModel):
    """Times of the leases on orders and usage reports.

    :param term_seconds: how long a confirmed renewal lasts.
    :param margin_seconds: extra wait of the next holder.
    :param order_timeout_seconds: time that an order may take; orders stop so
        long before the term's end, and the next holder waits so much longer.
    :param drift_bound: most that a clock's rate is off, as a share.
    """

    term_seconds: float = Field(default=10.0, gt=0)
    margin_seconds: float = Field(default=2.0, gt=0)
    order_timeout_seconds: float = Field(default=2.0, gt=0)
    drift_bound: float = Field(default=0.05, ge=0, lt=0.5)

    @model_validator(mode='after')
    def check_parts(self) -> LeaseSettings:
        """Refuse a margin that clocks may outrun, and a term too short."""
        term = timedelta(seconds=self.term_seconds)
        min_margin = compute_min_margin(term, self.drift_bound).total_seconds()
        if self.margin_seconds < min_margin:
            raise ValueError(
                f'margin_seconds must be at least {min_margin:g}, which clocks '
                'drift apart in a term'
            )
        if self.order_timeout_seconds * 2 > self.term_seconds:
            raise ValueError(
                'order_timeout_seconds must be at most half of term_seconds'
            )
        return self


class UsageSettings(SettingsModel):
    """Counting and reporting of usage; the same at every daemon.

    :param window_seconds: length of a window.
    :param grace_seconds: time after a window's end until it is frozen.
    :param copy_seconds: time between copies to peers.
    """

    window_seconds: float = Field(default=3600.0, ge=1)
    grace_seconds: float = Field(default=120.0, gt=0)
    copy_seconds: float = Field(default=5.0, gt=0)

    @model_validator(mode='after')
    def check_order(self) -> UsageSettings:
        """Refuse a grace in which no daemon could store its window."""
        if self.grace_seconds < 2 * self.copy_seconds:
            raise ValueError('grace_seconds must be twice copy_seconds')
        return self


class WeightSettings(SettingsModel):
    """How new weights come onto the engines of the data centre.

    :param serving_share: share of the slots that go on serving meanwhile.
    :param loads_per_second: loads that the weight store allows this data
        centre to begin.
    :param swap_seconds: time after which a swap counts as failed; longer
        than a load and the lag of reports together.
    """

    serving_share: float = Field(default=0.75, ge=0, lt=1)
    loads_per_second: float = Field(default=2.0, gt=0)
    swap_seconds: float = Field(default=30.0, gt=0)


class ProcessSettings(SettingsModel):
    """Everything that one daemon is told at its start.

    :param vm: id of the VM.
    :param data_centre: where the VM stands.
    """

    vm: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    listen: ListenSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()
    drain: DrainSettings = DrainSettings()
    peering: PeeringSettings = PeeringSettings()
    operators: OperatorSettings = OperatorSettings()
    lease: LeaseSettings = LeaseSettings()
    usage: UsageSettings = UsageSettings()
    weights: WeightSettings = WeightSettings()


def load_settings(path: Path) -> Result[ProcessSettings, list[SettingFault]]:
    """Read and check the settings of a daemon.

    :param path: the TOML file.
    :returns: the settings, or all faults at once.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        return Err([SettingFault(str(path), '', str(error))])
    try:
        return Ok(ProcessSettings.model_validate(document))
    except ValidationError as error:
        return Err(list_faults(str(path), error))
