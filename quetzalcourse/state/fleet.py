"""Upstreams as they are ordered from the platform."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class FleetPlace:
    """A kind of upstream in a data centre."""

    data_centre: str
    kind: str


@dataclass(frozen=True, slots=True)
class FleetOrder:
    """Order for a number of upstreams.

    :param order_id: idempotency key; the same order again does no harm.
    :param token: fencing token of the sender's lease.
    :param count: how many upstreams of the kind there should be.
    :param deadline: seconds since the epoch, after which a receiver that
        looks at it must not act any more.
    """

    order_id: str
    token: int
    place: FleetPlace
    count: int
    deadline: float


@dataclass(frozen=True, slots=True)
class FleetCount:
    """Upstreams as the platform lists them.

    :param reclaimed: whether they are about to be taken away.
    """

    place: FleetPlace
    count: int
    reclaimed: bool = False


@dataclass(frozen=True, slots=True)
class OrderIntent:
    """Row of what was last decided for a place.

    :param sequence: grows by one with every decision.
    :param settled: whether the platform took the order or refused it.
    """

    place: FleetPlace
    sequence: int
    count: int
    settled: bool
