"""Upstreams as they are ordered from the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


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
    :param notice_seconds: time that upstreams get to drain before they are
        taken away.
    """

    order_id: str
    token: int
    place: FleetPlace
    count: int
    deadline: float
    notice_seconds: float = 0.0


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


@dataclass(frozen=True, slots=True)
class Demand:
    """What callers ask for.

    :param human_tokens: tokens a second for human callers.
    :param training_tokens: tokens a second for trainers.
    """

    human_tokens: float
    training_tokens: float


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as it is.

    :param counts: upstreams of each place.
    :param unavailable: places that can't be had now.
    :param since_growth: time since each place last grew.
    :param budget_left: money left in the budget's period.
    :param period_left: time left in it.
    """

    counts: dict[FleetPlace, int]
    unavailable: frozenset[FleetPlace] = frozenset()
    since_growth: dict[FleetPlace, timedelta] = field(default_factory=dict)
    budget_left: float = 0.0
    period_left: timedelta = timedelta(hours=24)


@dataclass(frozen=True, slots=True)
class FleetDecision:
    """What the fleet should be.

    :param counts: upstreams of each place.
    :param unmet: tokens a second that the budget or the kinds leave unmet.
    :param over_budget: whether the budget holds back what demand needs.
    """

    counts: dict[FleetPlace, int]
    unmet: float = 0.0
    over_budget: bool = False


@dataclass(frozen=True, slots=True)
class SpendingRecord:
    """Row of what was spent in the budget's period.

    :param started: seconds since the epoch at which the period began.
    :param updated: seconds since the epoch up to which is counted.
    :param spent: money spent in the period so far.
    :param rate: money an hour since ``updated``.
    """

    started: float
    updated: float
    spent: float
    rate: float
