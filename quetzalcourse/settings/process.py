"""Validation of the settings that a daemon reads from a TOML file."""

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
    """Check that an address is an IP address and a port."""
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError('must be an IP address and a port, as 127.0.0.1:80')
    ipaddress.ip_address(host)
    return text


Address = Annotated[str, AfterValidator(check_address)]


class SettingsModel(BaseModel):
    """Base model of settings, which rejects unknown keys."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class ListenSettings(SettingsModel):
    """Addresses that the daemon listens on.

    :param callers: address for callers and operators.
    :param peers: address for the other daemons.
    """

    callers: Address
    peers: Address


class PlatformSettings(SettingsModel):
    """Address of the platform's services and how to poll them."""

    address: Address
    timeout_seconds: float = Field(default=2.0, gt=0)
    refresh_seconds: float = Field(default=0.5, gt=0)


class LimitSettings(SettingsModel):
    """Limits on the requests of one caller.

    :param body_bytes: largest body of a request to a model or a step.
    :param service_body_bytes: largest body of a call to a plain service.
    :param sender_seconds: longest pause while a caller sends a body.
    :param reader_seconds: longest pause while a caller reads a response.
    """

    body_bytes: int = Field(default=8_000_000, gt=0)
    service_body_bytes: int = Field(default=64_000_000, gt=0)
    sender_seconds: float = Field(default=20.0, gt=0)
    reader_seconds: float = Field(default=30.0, gt=0)


class LogSettings(SettingsModel):
    """Level and format of the log."""

    level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    format: Literal['console', 'json'] = 'json'


class DrainSettings(SettingsModel):
    """Times of a graceful shutdown.

    :param balancer_seconds: time for the load balancer to notice that the
        daemon is not ready.
    :param deadline_seconds: time after which running requests are cut off.
    """

    balancer_seconds: float = Field(default=5.0, ge=0)
    deadline_seconds: float = Field(default=900.0, gt=0)

    @model_validator(mode='after')
    def check_order(self) -> DrainSettings:
        """Reject a wait that outlasts the deadline."""
        if self.balancer_seconds >= self.deadline_seconds:
            raise ValueError('balancer_seconds must be below deadline_seconds')
        return self


class PeeringSettings(SettingsModel):
    """Messages between daemons.

    :param secrets: shared by all daemons; the first one signs messages, and
        every one is accepted. A daemon without secrets has no peers.
    :param refuse_keys_after_seconds: age of the last update from the store
        above which every key is refused; 0 means no limit.
    :param seeds: addresses of daemons to try besides the platform's list.
    :param suspicion_seconds: time that a suspected daemon has to respond.
    """

    secrets: list[Annotated[str, Field(min_length=16)]] = Field(
        default=[], repr=False
    )
    seeds: list[Address] = []
    tick_seconds: float = Field(default=0.5, gt=0)
    suspicion_seconds: float = Field(default=4.0, gt=0)
    refuse_keys_after_seconds: float = Field(default=0.0, ge=0)


class OperatorSettings(SettingsModel):
    """Operators who may change keys through this daemon.

    :param key_hashes: SHA-256 of each operator key, in hexadecimal.
    """

    key_hashes: list[Annotated[str, Field(pattern='^[0-9a-f]{64}$')]] = []


class LeaseSettings(SettingsModel):
    """Timings of the leases on orders and usage reports.

    :param term_seconds: duration of a lease after a confirmed renewal.
    :param margin_seconds: extra wait of the next holder.
    :param order_timeout_seconds: timeout of an order. A holder sends no orders
        that long before its lease ends, and the next one waits that much
        longer.
    :param drift_bound: largest error of a clock's rate, as a share.
    """

    term_seconds: float = Field(default=10.0, gt=0)
    margin_seconds: float = Field(default=2.0, gt=0)
    order_timeout_seconds: float = Field(default=2.0, gt=0)
    drift_bound: float = Field(default=0.05, ge=0, lt=0.5)

    @model_validator(mode='after')
    def check_parts(self) -> LeaseSettings:
        """Reject a margin below the clock drift, and too short a term."""
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
    """Counting and reporting of usage; the same for every daemon.

    :param window_seconds: length of a window.
    :param grace_seconds: time after a window's end until it is frozen.
    :param copy_seconds: interval at which counts are replicated to peers.
    """

    window_seconds: float = Field(default=3600.0, ge=1)
    grace_seconds: float = Field(default=120.0, gt=0)
    copy_seconds: float = Field(default=5.0, gt=0)

    @model_validator(mode='after')
    def check_order(self) -> UsageSettings:
        """Reject a grace period too short for daemons to store a window."""
        if self.grace_seconds < 2 * self.copy_seconds:
            raise ValueError('grace_seconds must be twice copy_seconds')
        return self


class WeightSettings(SettingsModel):
    """Rolling updates of the weights on the data centre's engines.

    :param serving_share: share of the slots that stay in service meanwhile.
    :param loads_per_second: rate at which the weight store allows this data
        centre to start loads.
    :param swap_seconds: timeout of a swap; longer than a load and the delay
        of reports together.
    """

    serving_share: float = Field(default=0.75, ge=0, lt=1)
    loads_per_second: float = Field(default=2.0, gt=0)
    swap_seconds: float = Field(default=30.0, gt=0)


class ProcessSettings(SettingsModel):
    """All settings of one daemon.

    :param vm: id of the VM.
    :param data_centre: data centre of the VM.
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
    """Read and validate the settings of a daemon.

    :param path: the TOML file.
    :returns: the settings, or all errors.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        return Err([SettingFault(str(path), '', str(error))])
    try:
        return Ok(ProcessSettings.model_validate(document))
    except ValidationError as error:
        return Err(list_faults(str(path), error))
