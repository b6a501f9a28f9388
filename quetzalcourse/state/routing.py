"""The routing manifest: routes, services, client accounts and limits."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta


# ``None`` allows every region.
AllowedRegions = frozenset[str] | None


class RouteKind(enum.StrEnum):
    """What may be done again with a request of a route."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    batch = 'batch'


@dataclass(frozen=True, slots=True)
class Target:
    """A service that a route leads to.

    :param weight: share of the route's requests against other targets.
    """

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix, and how they are served.

    :param prefix: begins and ends with a slash.
    :param timeout: longest time that a caller is kept waiting.
    :param target_latency: time within which an answer is on time.
    :param priority: rank, 0 before all others.
    :param max_attempts: most upstreams that one request is sent to.
    :param public: whether requests come without a key.
    :param streaming: whether the answer is a stream of events.
    :param resumable: whether a stream may go on at another upstream.
    :param results_due: age of a batch at which its results are due.
    :param item_lifetime: age of a batch after which its items may be given
        up.
    :param single_version: whether one item must not mix weight versions.
    :param allowed_regions: where its requests may be handled.
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
    """How many upstreams of a service may be ordered in a data centre.

    :param start: time from an order until its upstream serves.
    """

    least: int
    most: int
    start: timedelta


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How gently an upstream is used after its start.

    :param duration: how long it is cold.
    :param requests_per_second: what it bears meanwhile.
    """

    duration: timedelta
    requests_per_second: float


@dataclass(frozen=True, slots=True)
class Service:
    """Upstreams that stand in for one another.

    :param models: models whose weights its upstreams hold.
    """

    name: str
    models: tuple[str, ...] = ()
    scaling: ScalingRange | None = None
    cold_start: ColdStart | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 33_554_432
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class AccountKeys:
    """A client account with the keys that act for it.

    :param key_digests: SHA-256 of each key; the keys themselves are not kept.
    :param priority: rank that goes before the route's, if it has one.
    :param allowed_regions: where its requests may be handled.
    """

    client_account: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    allowed_regions: AllowedRegions = None


@dataclass(frozen=True, slots=True)
class RoutingManifest:
    """Everything that operators decide about routing.

    :param accounts: client accounts; ``None`` where no key is asked for.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: tuple[AccountKeys, ...] | None
