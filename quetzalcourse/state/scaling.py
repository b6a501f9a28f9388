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

    :param count: number that the platform runs there, as far as it is known;
        crashed ones count, spot instances don't.
    :param registered: those of them that are registered and not leaving.
    :param spot: spot instances, which share the limits of the range.
    :param serving: number of all upstreams that accept work now.
    :param slots: slots of those that accept work now.
    :param booting: upstreams that were ordered and don't serve yet.
    :param price: price of an upstream there for some time, relative to other
        data centres.
    :param base: number before the first order, to which it returns.
    :param available: whether more upstreams may be ordered there now.
    """

    place: ScalingPlace
    count: int
    registered: int
    spot: int
    serving: int
    slots: int
    booting: int
    price: float
    base: int
    available: bool = True


@dataclass(frozen=True, slots=True)
class BatchDemand:
    """Items of open batches that a service has to run.

    :param unfinished: number of items without a result.
    :param rate: items a second that have to end for every batch to be done
        when its results are due.
    :param item_time: mean time for which an item uses a slot.
    """

    unfinished: int
    rate: float
    item_time: timedelta


NO_DEMAND = BatchDemand(0, 0, timedelta(0))


class ScalingOutcome(enum.StrEnum):
    """Answer of the platform to an order.

    ``unavailable`` means that no further upstreams are to be had there now,
    ``refused`` that the order was not carried out, and ``unanswered`` that it
    may have been.
    """

    accepted = 'accepted'
    unavailable = 'unavailable'
    refused = 'refused'
    unanswered = 'unanswered'


@dataclass(frozen=True, slots=True)
class ScalingOrder:
    """Order for a number of upstreams.

    :param count: desired number, with those that run already.
    :param token: fencing token of the sender's lease.
    """

    place: ScalingPlace
    count: int
    token: int
