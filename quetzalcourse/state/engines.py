"""Reports of engines and the orders that are sent to them."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Status report of an engine, which lags behind its actual state.

    :param slots: maximum of concurrent requests.
    :param running: requests that it runs.
    :param queued: requests that wait inside the engine.
    :param weight_version: weight version that generates new tokens.
    :param leaving: whether it announced that it is draining.
    """

    slots: int
    running: int
    queued: int
    weight_version: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str = ''
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Change of an engine's prefix cache.

    :param sequence: incremented with each change; a gap means lost changes.
    :param stored: whether the prefix was stored or evicted.
    """

    sequence: int
    stored: bool
    prefix: str


class OrderKind(enum.StrEnum):
    """Operation that an engine is ordered to perform."""

    load_version = 'load_version'
    load_model = 'load_model'
    load_adapter = 'load_adapter'
    role = 'role'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Order to an engine.

    :param order_id: idempotency key; repeating an order has no effect.
    :param token: fencing token of the sender's lease.
    :param name: name of the model, adapter or role, depending on the kind.
    :param version: weight version to load.
    """

    order_id: str
    token: int
    kind: OrderKind
    name: str = ''
    version: int = 0


class OrderProblem(enum.StrEnum):
    """Reason why an order is not known to have been accepted."""

    not_sent = 'not_sent'
    unanswered = 'unanswered'
    stale_token = 'stale_token'
    refused = 'refused'
