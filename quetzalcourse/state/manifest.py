"""Data classes of the manifest, in which operators configure the service."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta


class UpstreamKind(enum.StrEnum):
    """Type of an upstream."""

    engine = 'engine'
    service = 'service'


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account and its limits.

    :param weight: weight of its share of the engines' tokens.
    :param requests_per_second: rate above which requests are refused.
    :param concurrent: maximum of running requests.
    :param queued: maximum of waiting requests.
    """

    name: str
    weight: float
    requests_per_second: float
    concurrent: int
    queued: int


@dataclass(frozen=True, slots=True)
class KeyHash:
    """A key with the hash of its secret.

    :param key_id: public part of the key.
    :param client_account: account of the key.
    :param digest: SHA-256 of the secret part, in hexadecimal.
    """

    key_id: str
    client_account: str
    digest: str


@dataclass(frozen=True, slots=True)
class Trainer:
    """A trainer that may create steps.

    :param staleness_bound: how many weight versions a sample may lag behind.
    :param scored: whether samples are scored before delivery.
    :param scoring_repeatable: whether a scoring call may be repeated with
        the same idempotency key.
    """

    name: str
    client_account: str
    model: str
    staleness_bound: int
    scored: bool = False
    scoring_repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Upstream:
    """A server that runs requests.

    :param address: IP address and port.
    :param slots: maximum of concurrent requests.
    :param human_headroom: slots that training leaves free for humans.
    :param cheap: whether it may be reclaimed at short notice.
    :param checks_fencing: whether it refuses orders with an old fencing token.
    :param price_per_hour: price in the manifest's currency.
    """

    name: str
    kind: UpstreamKind
    data_centre: str
    address: str
    slots: int
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    human_headroom: int = 0
    cheap: bool = False
    checks_fencing: bool = True
    price_per_hour: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A service that is not an engine.

    :param upstreams: names of the upstreams that run it.
    :param repeatable_methods: HTTP methods that may be retried.
    """

    name: str
    upstreams: tuple[str, ...]
    repeatable_methods: frozenset[str]


@dataclass(frozen=True, slots=True)
class MaintenanceWindow:
    """Period in which an upstream gets no work."""

    upstream: str
    starts: datetime
    ends: datetime


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """A service level objective with its error budget.

    :param indicator: what is measured, such as ``human_latency``.
    :param objective: share of good events, between 0 and 1.
    :param threshold: upper bound of a good event, if there is one.
    :param period: period of the error budget.
    """

    name: str
    indicator: str
    objective: float
    threshold: timedelta | None
    period: timedelta


@dataclass(frozen=True, slots=True)
class FleetKind:
    """A kind of upstream that can be ordered.

    :param price_per_hour: price of one, in the manifest's currency.
    :param tokens_per_second: throughput of one at full load.
    :param cheap: whether it may be reclaimed at short notice.
    :param data_centres: where it can be ordered.
    :param largest: maximum number in one data centre.
    """

    name: str
    price_per_hour: float
    tokens_per_second: float
    cheap: bool
    data_centres: tuple[str, ...]
    largest: int


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Limits and budget of autoscaling.

    :param budget_per_hour: spending that must not be exceeded.
    :param smallest: minimum number of upstreams.
    :param largest: maximum number of upstreams.
    :param kinds: kinds that can be ordered; nothing is ordered without one.
    :param utilisation: target utilisation of the capacity.
    :param slack: share by which demand must have fallen before scaling down.
    :param cool_down: time between a change and scaling down.
    :param largest_change: maximum change of a kind in a data centre at once.
    :param notice: time that the platform gives upstreams to drain.
    :param budget_period: period over which the budget applies.
    """

    budget_per_hour: float = 0.0
    smallest: int = 0
    largest: int = 0
    kinds: dict[str, FleetKind] = field(default_factory=dict)
    utilisation: float = 0.8
    slack: float = 0.15
    cool_down: timedelta = timedelta(minutes=10)
    largest_change: int = 4
    notice: timedelta = timedelta(minutes=5)
    budget_period: timedelta = timedelta(hours=24)


@dataclass(frozen=True, slots=True)
class Manifest:
    """One version of the operators' configuration.

    :param version: incremented with every accepted manifest.
    """

    version: int = 0
    client_accounts: dict[str, ClientAccount] = field(default_factory=dict)
    keys: dict[str, KeyHash] = field(default_factory=dict)
    trainers: dict[str, Trainer] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    maintenance: tuple[MaintenanceWindow, ...] = ()
    service_levels: dict[str, ServiceLevel] = field(default_factory=dict)
    fleet: FleetPlan = field(default_factory=FleetPlan)
