"""Routing manifest: routes, services, client accounts and limits."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


# ``None`` allows every region.
AllowedRegions = frozenset[str] | None


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be retried, or are batches."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    batch = 'batch'


@dataclass(frozen=True, slots=True)
class Target:
    """Service that receives requests of a route.

    :param weight: weight of its share of the route's requests.
    """

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Route of the requests with a host and path prefix.

    :param prefix: path prefix that starts and ends with a slash.
    :param timeout: maximum time that a caller waits.
    :param target_latency: response time that is considered on time.
    :param priority: rank, 0 is the highest priority.
    :param max_attempts: maximum number of upstreams that a request is sent to.
    :param public: whether requests need no key.
    :param streaming: whether the response is a stream of events.
    :param resumable: whether a stream may resume at another upstream.
    :param results_due: age of a batch at which its results are due.
    :param item_lifetime: age of a batch after which its items may be
        abandoned.
    :param single_version: whether an item must not mix weight versions.
    :param allowed_regions: regions where its requests may be handled.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: timedelta
    target_latency: timedelta
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    public: bool = False
    streaming: bool = False
    resumable: bool = False
    results_due: timedelta = timedelta(0)
    item_lifetime: timedelta = timedelta(0)
    single_version: bool = False
    allowed_regions: AllowedRegions = None


@dataclass(frozen=True, slots=True)
class ScalingRange:
    """Number of upstreams of a service that may be ordered per data centre.

    :param start: time from an order until its upstream serves requests.
    :param prices: price of an upstream by data centre, relative to others.
    """

    least: int
    most: int
    start: timedelta
    prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Rate limit of an upstream after its start.

    :param duration: time after its start during which the limit applies.
    :param requests_per_second: rate that it can serve during that time.
    """

    duration: timedelta
    requests_per_second: float


@dataclass(frozen=True, slots=True)
class Service:
    """Service with interchangeable upstreams.

    :param models: models whose weights its upstreams hold.
    """

    name: str
    models: tuple[str, ...] = ()
    scaling: ScalingRange | None = None
    cold_start: ColdStart | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' requests: sizes, header timeout and idle timeout."""

    header_bytes: int = 16384
    body_bytes: int = 33_554_432
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class AccountKeys:
    """A client account and the hashes of its API keys.

    :param key_digests: SHA-256 of each key; the keys themselves are not stored.
    :param priority: rank that overrides the route's, if there is one.
    :param allowed_regions: regions where its requests may be handled.
    """

    client_account: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    allowed_regions: AllowedRegions = None


@dataclass(frozen=True, slots=True)
class RoutingManifest:
    """One version of the operators' routing configuration.

    :param accounts: client accounts, ``None`` if no keys are required.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: tuple[AccountKeys, ...] | None
