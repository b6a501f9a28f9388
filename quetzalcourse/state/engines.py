"""Engines as they report themselves, and the orders they take."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine said of itself, which lags behind what it does.

    :param slots: requests that it runs at once.
    :param queued: requests that wait inside the engine.
    :param weight_version: version that new tokens are made with.
    :param leaving: whether it gave notice that it will go away.
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

    :param sequence: grows by one a change; a gap means lost changes.
    :param stored: whether the prefix came in or went out.
    """

    sequence: int
    stored: bool
    prefix: str


class OrderKind(enum.StrEnum):
    """What an engine can be told to do."""

    load_version = 'load_version'
    load_model = 'load_model'
    load_adapter = 'load_adapter'
    role = 'role'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Order to an engine.

    :param order_id: idempotency key; the same order again does no harm.
    :param token: fencing token of the sender's lease.
    :param name: model, adapter or role, as the kind demands.
    :param version: weight version to load.
    """

    order_id: str
    token: int
    kind: OrderKind
    name: str = ''
    version: int = 0


class OrderProblem(enum.StrEnum):
    """Why an order is not known to have been taken."""

    not_sent = 'not_sent'
    unanswered = 'unanswered'
    stale_token = 'stale_token'
    refused = 'refused'
