"""Plans the number of upstreams from demand, prices and budget."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.fleet import FleetDecision, FleetPlace

if TYPE_CHECKING:
    from quetzalcourse.state.fleet import Demand, FleetView
    from quetzalcourse.state.manifest import FleetKind, FleetPlan

Counts = dict[FleetPlace, int]
HOUR = timedelta(hours=1)


def plan_fleet(
    plan: FleetPlan,
    demand: Demand,
    view: FleetView,
) -> FleetDecision:
    """Decide how many upstreams of each kind there should be.

    Requests of human callers go to kinds that can't be reclaimed. Training
    fills their spare capacity and then the kinds with the lowest price per
    token. Scaling up is immediate. Scaling down waits until demand has
    fallen by the slack and the cool-down since the last growth has passed,
    and removes a few upstreams at a time. It doesn't restart the cool-down:
    the upstreams of a burst would be paid for long after its end.
    """
    desired = _compute_desired(plan, demand, view, 1)
    retained = _compute_desired(plan, demand, view, 1 + plan.slack)
    counts = {
        place: _limit_change(plan, view, place, desired[place], retained[place])
        for place in desired
    }
    return _fit_budget(plan, demand, view, counts)


def compute_hourly_cost(plan: FleetPlan, counts: Counts) -> float:
    """Return the cost of upstreams per hour; unknown kinds cost nothing."""
    return sum(
        plan.kinds[place.kind].price_per_hour * count
        for place, count in counts.items()
        if place.kind in plan.kinds
    )


def _sort_by_token_price(plan: FleetPlan) -> list[FleetKind]:
    return sorted(
        plan.kinds.values(),
        key=lambda kind: (
            kind.price_per_hour / kind.tokens_per_second,
            kind.name,
        ),
    )


def _compute_desired(
    plan: FleetPlan,
    demand: Demand,
    view: FleetView,
    scale: float,
) -> Counts:
    headroom = scale / plan.utilisation
    counts = {
        FleetPlace(data_centre, kind.name): 0
        for kind in plan.kinds.values()
        for data_centre in kind.data_centres
    }
    permanent_kinds = [
        kind for kind in _sort_by_token_price(plan) if not kind.cheap
    ]
    human_tokens = demand.human_tokens * headroom
    _add_upstreams(
        plan, view, counts, permanent_kinds, human_tokens, plan.smallest
    )
    human_shortfall = human_tokens - _measure_capacity(
        plan, view, counts, permanent_kinds
    )
    training_tokens = demand.training_tokens * headroom + min(
        human_shortfall, 0
    )
    _add_upstreams(
        plan, view, counts, _sort_by_token_price(plan), training_tokens, 0
    )
    return counts


def _add_upstreams(
    plan: FleetPlan,
    view: FleetView,
    counts: Counts,
    kinds: list[FleetKind],
    tokens: float,
    smallest: int,
) -> None:
    """Add upstreams until their capacity covers a token rate.

    They are spread over the data centres, so that the loss of one costs
    little capacity.

    :param tokens: tokens per second to cover.
    :param smallest: minimum number of upstreams to add.
    """
    uncovered = tokens
    still_required = smallest
    for kind in kinds:
        desired = max(
            still_required, math.ceil(uncovered / kind.tokens_per_second)
        )
        for _ in range(max(0, desired)):
            place = _find_emptiest_place(plan, view, counts, kind)
            if place is None:
                break
            counts[place] += 1
            uncovered -= kind.tokens_per_second
            still_required -= 1


def _is_cooling_down(
    plan: FleetPlan,
    view: FleetView,
    place: FleetPlace,
) -> bool:
    return view.since_growth.get(place, plan.cool_down) < plan.cool_down


def _measure_capacity(
    plan: FleetPlan,
    view: FleetView,
    counts: Counts,
    kinds: list[FleetKind],
) -> float:
    names = {kind.name for kind in kinds}
    return sum(
        plan.kinds[place.kind].tokens_per_second * count
        for place, count in counts.items()
        if place.kind in names and place not in view.unavailable
    )


def _find_emptiest_place(
    plan: FleetPlan,
    view: FleetView,
    counts: Counts,
    kind: FleetKind,
) -> FleetPlace | None:
    if plan.largest and sum(counts.values()) >= plan.largest:
        return None
    places = [FleetPlace(name, kind.name) for name in kind.data_centres]
    available = [
        place
        for place in places
        if place not in view.unavailable and counts[place] < kind.largest
    ]
    return min(
        available, key=lambda place: (counts[place], place), default=None
    )


def _limit_change(
    plan: FleetPlan,
    view: FleetView,
    place: FleetPlace,
    desired: int,
    retained: int,
) -> int:
    current = view.counts.get(place, 0)
    if place in view.unavailable:
        return current
    if desired >= current:
        return min(desired, current + plan.largest_change)
    fallen = min(current, max(desired, retained))
    if _is_cooling_down(plan, view, place):
        return current
    return max(fallen, current - plan.largest_change)


def _fit_budget(
    plan: FleetPlan,
    demand: Demand,
    view: FleetView,
    counts: Counts,
) -> FleetDecision:
    hours = max(view.period_left / HOUR, 1)
    allowed_rate = max(0, view.budget_left) / hours
    over_budget = False
    fitted = dict(counts)
    # Only additions are cancelled, the most expensive tokens first. Existing
    # upstreams stay: an exhausted budget must not end running requests.
    for kind in reversed(_sort_by_token_price(plan)):
        for data_centre in kind.data_centres:
            place = FleetPlace(data_centre, kind.name)
            while compute_hourly_cost(plan, fitted) > allowed_rate:
                if fitted[place] <= view.counts.get(place, 0):
                    break
                fitted[place] -= 1
                over_budget = True
    capacity = _measure_capacity(plan, view, fitted, _sort_by_token_price(plan))
    desired = demand.human_tokens + demand.training_tokens
    unmet = desired - plan.utilisation * capacity
    return FleetDecision(fitted, max(0, unmet), over_budget)
