"""The manifest as the decisions see it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import datetime, timedelta


class UpstreamKind(enum.StrEnum):
    """What an upstream runs."""

    engine = 'engine'
    service = 'service'


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account and its limits.

    :param weight: share of the engines' tokens against other accounts.
    :param requests_per_second: rate above which requests are refused.
    :param concurrent: requests that may run at once.
    :param queued: requests that may wait at once.
    """

    name: str
    weight: float
    requests_per_second: float
    concurrent: int
    queued: int


@dataclass(frozen=True, slots=True)
class KeyHash:
    """A key as the manifest names it.

    :param key_id: public part of the key.
    :param client_account: account that the key acts for.
    :param digest: SHA-256 of the secret part, in hexadecimal.
    """

    key_id: str
    client_account: str
    digest: str


@dataclass(frozen=True, slots=True)
class Trainer:
    """A trainer that may ask for steps.

    :param staleness_bound: how many weight versions a sample may lag.
    :param scored: whether samples are scored before delivery.
    :param scoring_repeatable: whether a scoring call may be sent again
        under the same idempotency key.
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

    :param address: IP number and port.
    :param slots: requests that it runs at once.
    :param human_headroom: slots that training leaves free.
    :param cheap: may be reclaimed at short notice.
    :param checks_fencing: refuses orders with an old fencing token.
    :param price_per_hour: cost of the upstream, in the manifest's currency.
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
    """A plain service.

    :param upstreams: names of the upstreams that run it.
    :param repeatable_methods: HTTP methods that may be sent twice.
    """

    name: str
    upstreams: tuple[str, ...]
    repeatable_methods: frozenset[str]


@dataclass(frozen=True, slots=True)
class MaintenanceWindow:
    """Time in which an upstream gets no work."""

    upstream: str
    starts: datetime
    ends: datetime


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """A promise with its error budget.

    :param indicator: what is counted, such as ``human_latency``.
    :param objective: share that must be good, between 0 and 1.
    :param threshold: bound that makes an event good, if there is one.
    :param period: time over which the budget is counted.
    """

    name: str
    indicator: str
    objective: float
    threshold: timedelta | None
    period: timedelta


@dataclass(frozen=True, slots=True)
class FleetKind:
    """A kind of upstream that can be ordered.

    :param price_per_hour: cost of one, in the manifest's currency.
    :param tokens_per_second: what one of them generates at full load.
    :param cheap: may be reclaimed at short notice.
    :param data_centres: where it can be had.
    :param largest: most of them in one data centre.
    """

    name: str
    price_per_hour: float
    tokens_per_second: float
    cheap: bool
    data_centres: tuple[str, ...]
    largest: int


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Bounds and money for ordering upstreams.

    :param budget_per_hour: spending that must not be exceeded.
    :param smallest: fewest upstreams to keep.
    :param largest: most upstreams to order.
    :param kinds: what can be ordered; without any nothing is ordered.
    :param utilisation: share of the capacity that demand should fill.
    :param slack: share by which demand must have fallen before upstreams
        are given back.
    :param cool_down: time between a change and giving upstreams back.
    :param largest_change: most upstreams of a place to change at once.
    :param notice: time that the platform gives upstreams to drain.
    :param budget_period: time over which the budget is kept.
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
    """Everything that operators decide, in one version.

    :param version: grows by one with every accepted manifest.
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
