"""Numbers of upstreams by service and data centre, and orders for them."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True, order=True)
class ScalingPlace:
    """A service in one of the data centres where it runs."""

    service: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class PlaceCapacity:
    """Upstreams of a service in one data centre.

    :param count: number of upstreams that the platform runs there, as far as
        it is known.
    :param serving: number of those that accept work now.
    :param slots: slots of those that accept work now.
    :param price: price of an upstream there for some time, relative to other
        data centres.
    :param base: number before the first order, to which it returns.
    :param available: whether more upstreams may be ordered there now.
    """

    place: ScalingPlace
    count: int
    serving: int
    slots: int
    price: float
    base: int
    available: bool = True


@dataclass(frozen=True, slots=True)
class BatchDemand:
    """Items of open batches that a service has to run.

    :param unfinished: number of items without a result.
    :param item_time: mean time for which an item uses a slot.
    :param results_due: time after which the results of a batch are due.
    """

    unfinished: int
    item_time: timedelta
    results_due: timedelta


class ScalingOutcome(enum.StrEnum):
    """Answer of the platform to an order.

    ``unavailable`` means that no further upstreams are to be had there now.
    """

    accepted = 'accepted'
    unavailable = 'unavailable'
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class ScalingOrder:
    """Order for a number of upstreams.

    :param count: desired number, with those that run already.
    :param token: fencing token of the sender's lease.
    """

    place: ScalingPlace
    count: int
    token: int
