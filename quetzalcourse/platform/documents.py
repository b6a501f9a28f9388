"""Rows that operators, trainers and servers write into the store."""

from __future__ import annotations

import hashlib
from datetime import timedelta
from typing import Literal

import msgspec
from result import Err, Ok, Result

from quetzalcourse.state.decoding import (
    Int64,
    MalformedMessageError,
    Milliseconds,
    Seconds,
    decode_json,
)
from quetzalcourse.state.endpoints import is_endpoint
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.state.routing import (
    AllowedRegions,
    CallerLimits,
    ColdStart,
    AccountKeys,
    Route,
    RouteKind,
    RoutingManifest,
    ScalingRange,
    Service,
    Target,
)
from quetzalcourse.transport.headers import is_header_value

OPERATOR_TABLE = 'op'
MANIFEST_KEY = 'op//config'
VERSION_PREFIX = 'op//version/'
EVACUATION_PREFIX = 'op//evacuate/'
SERVERS_TABLE = 'servers'

ROUTE_KINDS = {
    'idempotent': RouteKind.idempotent,
    'non_idempotent': RouteKind.non_idempotent,
    'rollout': RouteKind.batch,
}


class SplitMessage(msgspec.Struct):
    """Weight of one of the services that share a route."""

    service: str
    weight: Int64


class RouteMessage(msgspec.Struct):
    """A route; a response within ``target_latency_ms`` is on time.

    ``traffic_split`` replaces ``service`` if several services share it.
    """

    name: str
    hostname: str
    path_prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'rollout']
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0
    priority: Int64 = 0
    service: str = ''
    traffic_split: list[SplitMessage] = []
    max_attempts: Int64 = 1
    item_ttl_s: Seconds = 0
    result_due_ms: Milliseconds = 0
    single_version: bool = False
    public: bool = False
    streaming: bool = False
    resumable: bool = False
    allowed_regions: list[str] = []


class ModelMessage(msgspec.Struct):
    """A model that the servers of a service load."""

    name: str


class EngineMessage(msgspec.Struct):
    """Model engine settings of a service's servers."""

    models: list[ModelMessage] = []


class ScalingMessage(msgspec.Struct):
    """Range for the number of servers in each zone."""

    min: Int64
    max: Int64
    boot_s: Seconds = 0
    zone_prices: dict[str, float] = {}


class ServiceMessage(msgspec.Struct):
    """A service.

    A server takes ``cold_per_s`` requests a second at most for
    ``cold_start_s`` after its start; 0 means no limit.
    """

    name: str
    engine: EngineMessage | None = None
    scaling: ScalingMessage | None = None
    cold_start_s: Seconds = 0
    cold_per_s: float = 0


class LimitsMessage(msgspec.Struct):
    """Limits on client requests, in bytes and milliseconds."""

    max_header_bytes: Int64 = 16384
    max_body_bytes: Int64 = 33554432
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15000


class TenantMessage(msgspec.Struct):
    """A tenant and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: Int64 | None = None
    allowed_regions: list[str] = []


class ConfigMessage(msgspec.Struct):
    """Complete desired state of the latest version."""

    version: Int64
    routes: list[RouteMessage] = []
    services: list[ServiceMessage] = []
    limits: LimitsMessage = msgspec.field(default_factory=LimitsMessage)
    tenants: list[TenantMessage] | None = None


class ServerModelMessage(msgspec.Struct):
    """Weight version of one model on a server."""

    name: str
    version: Int64


class ServerMessage(msgspec.Struct):
    """Registration of a server.

    ``born`` is the start time of its run. The ``seq`` of a registration
    counts its writes, whereas ``seq`` of a report counts accepted orders.
    """

    service: str
    address: str
    zone: str
    slots: Int64
    state: Literal['ready', 'draining']
    models: list[ServerModelMessage] = []
    born: Int64 = 0
    spot: bool = False
    leaves_ms: Milliseconds | None = None
    cold_remaining_ms: Milliseconds = 0


class VersionMessage(msgspec.Struct):
    """Weight version that a trainer wants loaded."""

    model: str
    version: Int64


def read_manifest(content: bytes) -> Result[RoutingManifest, str]:
    """Parse a desired state."""
    try:
        message = decode_json(content, ConfigMessage)
    except MalformedMessageError as error:
        return Err(str(error))
    accounts = None
    if message.tenants is not None:
        accounts = tuple(_read_tenant(tenant) for tenant in message.tenants)
    return Ok(
        RoutingManifest(
            version=message.version,
            routes=tuple(_read_route(route) for route in message.routes),
            services={
                service.name: _read_service(service)
                for service in message.services
            },
            limits=_read_limits(message.limits),
            accounts=accounts,
        )
    )


def read_member(name: str, content: bytes) -> Result[PoolMember, str]:
    """Parse the registration of a server."""
    try:
        message = decode_json(content, ServerMessage)
    except MalformedMessageError as error:
        return Err(str(error))
    if not is_header_value(name):
        return Err('name does not fit into a header')
    if not is_endpoint(message.address):
        return Err('address is not an IP address and a port')
    leaves_in = None
    if message.leaves_ms is not None:
        leaves_in = timedelta(milliseconds=message.leaves_ms)
    return Ok(
        PoolMember(
            name=name,
            service=message.service,
            address=message.address,
            data_centre=message.zone,
            slots=max(message.slots, 1),
            leaving=message.state == 'draining',
            versions={model.name: model.version for model in message.models},
            started=message.born,
            spot=message.spot,
            leaves_in=leaves_in,
            cold_for=timedelta(milliseconds=max(message.cold_remaining_ms, 0)),
        )
    )


def read_version(content: bytes) -> Result[tuple[str, int], str]:
    """Parse a named version.

    :returns: the model and its version.
    """
    try:
        message = decode_json(content, VersionMessage)
    except MalformedMessageError as error:
        return Err(str(error))
    return Ok((message.model, message.version))


def _read_route(message: RouteMessage) -> Route:
    targets = tuple(
        Target(split.service, split.weight) for split in message.traffic_split
    )
    return Route(
        name=message.name,
        host=message.hostname,
        prefix=message.path_prefix,
        kind=ROUTE_KINDS[message.kind],
        timeout=timedelta(milliseconds=message.timeout_ms),
        target_latency=timedelta(milliseconds=message.target_latency_ms),
        priority=message.priority,
        targets=targets or (Target(message.service, 1),),
        max_attempts=max(message.max_attempts, 1),
        public=message.public,
        streaming=message.streaming,
        resumable=message.resumable,
        results_due=timedelta(milliseconds=message.result_due_ms),
        item_lifetime=timedelta(seconds=message.item_ttl_s),
        single_version=message.single_version,
        allowed_regions=_read_regions(message.allowed_regions),
    )


def _read_service(message: ServiceMessage) -> Service:
    models: tuple[str, ...] = ()
    if message.engine is not None:
        models = tuple(model.name for model in message.engine.models)
    scaling = None
    if message.scaling is not None:
        scaling = ScalingRange(
            message.scaling.min,
            message.scaling.max,
            timedelta(seconds=message.scaling.boot_s),
            message.scaling.zone_prices,
        )
    cold_start = None
    if message.cold_start_s > 0 and message.cold_per_s > 0:
        cold_start = ColdStart(
            timedelta(seconds=message.cold_start_s), message.cold_per_s
        )
    return Service(message.name, models, scaling, cold_start)


def _read_limits(message: LimitsMessage) -> CallerLimits:
    return CallerLimits(
        header_bytes=message.max_header_bytes,
        body_bytes=message.max_body_bytes,
        header_timeout=timedelta(milliseconds=message.header_timeout_ms),
        idle_timeout=timedelta(milliseconds=message.idle_timeout_ms),
    )


def _read_tenant(message: TenantMessage) -> AccountKeys:
    digests = frozenset(
        hashlib.sha256(key.encode()).digest() for key in message.api_keys
    )
    return AccountKeys(
        message.name,
        digests,
        message.priority,
        _read_regions(message.allowed_regions),
    )


def _read_regions(names: list[str]) -> AllowedRegions:
    """Parse a list of regions; an empty one allows all."""
    return frozenset(names) or None
