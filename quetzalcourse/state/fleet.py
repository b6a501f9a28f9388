"""Fleet of upstreams: orders to the platform, demand and spending."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True, order=True)
class FleetPlace:
    """Upstreams of one kind in one data centre."""

    data_centre: str
    kind: str


@dataclass(frozen=True, slots=True)
class FleetOrder:
    """Order for a number of upstreams.

    :param order_id: idempotency key; repeating an order has no effect.
    :param token: fencing token of the sender's lease.
    :param count: desired number of upstreams of the kind.
    :param deadline: seconds since the epoch, after which a receiver that
        honours deadlines must not act on the order.
    :param notice_seconds: time that upstreams get to drain before they are
        removed.
    """

    order_id: str
    token: int
    place: FleetPlace
    count: int
    deadline: float
    notice_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetCount:
    """Number of upstreams that the platform lists.

    :param reclaimed: whether the platform is about to reclaim them.
    """

    place: FleetPlace
    count: int
    reclaimed: bool = False


@dataclass(frozen=True, slots=True)
class OrderIntent:
    """Row with the last scaling decision for a kind in a data centre.

    :param sequence: incremented with every decision.
    :param settled: whether the platform has accepted or refused the order.
    """

    place: FleetPlace
    sequence: int
    count: int
    settled: bool


@dataclass(frozen=True, slots=True)
class Demand:
    """Token demand of callers.

    :param human_tokens: tokens per second for human callers.
    :param training_tokens: tokens per second for trainers.
    """

    human_tokens: float
    training_tokens: float


@dataclass(frozen=True, slots=True)
class FleetView:
    """Current state of the fleet.

    :param counts: upstreams of each kind in each data centre.
    :param unavailable: where no further upstreams can be ordered now.
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
    """Desired state of the fleet.

    :param counts: upstreams of each kind in each data centre.
    :param unmet: tokens per second that can't be served within the budget
        and the available kinds.
    :param over_budget: whether the demand exceeds what the budget allows.
    """

    counts: dict[FleetPlace, int]
    unmet: float = 0.0
    over_budget: bool = False


@dataclass(frozen=True, slots=True)
class SpendingRecord:
    """Row with the spending of the current budget period.

    :param started: start of the period, in seconds since the epoch.
    :param updated: time up to which spending is counted, in seconds since
        the epoch.
    :param spent: money spent in the period until ``updated``.
    :param rate: money per hour since ``updated``.
    """

    started: float
    updated: float
    spent: float
    rate: float
