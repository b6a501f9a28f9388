"""How many upstreams of which kind, from demand, prices and budget."""

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
    """Decide what the fleet should be.

    Human callers' work goes on kinds that stay; training fills what these
    have to spare and then the kinds with the least price for a token.
    Upstreams are added at once and given back late: only once demand has
    fallen by the slack, the cool-down after the last growth, and a few at a
    time. Giving back doesn't start the cool-down anew: a burst's upstreams
    would be paid for long after its end.
    """
    wanted = _find_wanted(plan, demand, view, 1)
    kept = _find_wanted(plan, demand, view, 1 + plan.slack)
    counts = {
        place: _move(plan, view, place, wanted[place], kept[place])
        for place in wanted
    }
    return _fit_budget(plan, demand, view, counts)


def compute_hourly_cost(plan: FleetPlan, counts: Counts) -> float:
    """Tell what upstreams cost an hour; unknown kinds cost nothing."""
    return sum(
        plan.kinds[place.kind].price_per_hour * count
        for place, count in counts.items()
        if place.kind in plan.kinds
    )


def _rank(plan: FleetPlan) -> list[FleetKind]:
    return sorted(
        plan.kinds.values(),
        key=lambda kind: (
            kind.price_per_hour / kind.tokens_per_second,
            kind.name,
        ),
    )


def _find_wanted(
    plan: FleetPlan,
    demand: Demand,
    view: FleetView,
    scale: float,
) -> Counts:
    need = scale / plan.utilisation
    counts = {
        FleetPlace(data_centre, kind.name): 0
        for kind in plan.kinds.values()
        for data_centre in kind.data_centres
    }
    lasting = [kind for kind in _rank(plan) if not kind.cheap]
    human = demand.human_tokens * need
    _fill(plan, view, counts, lasting, human, plan.smallest)
    rest = human - _measure_capacity(plan, view, counts, lasting)
    training = demand.training_tokens * need + min(rest, 0)
    _fill(plan, view, counts, _rank(plan), training, 0)
    return counts


def _fill(
    plan: FleetPlan,
    view: FleetView,
    counts: Counts,
    kinds: list[FleetKind],
    tokens: float,
    smallest: int,
) -> None:
    """Add upstreams until they generate enough.

    They are spread over the data centres, so that losing one loses little.

    :param tokens: tokens a second that are still to be covered.
    :param smallest: fewest upstreams to add.
    """
    left = tokens
    missing = smallest
    for kind in kinds:
        wanted = max(missing, math.ceil(left / kind.tokens_per_second))
        for _ in range(max(0, wanted)):
            place = _find_emptiest(plan, view, counts, kind)
            if place is None:
                break
            counts[place] += 1
            left -= kind.tokens_per_second
            missing -= 1


def _is_fresh(plan: FleetPlan, view: FleetView, place: FleetPlace) -> bool:
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


def _find_emptiest(
    plan: FleetPlan,
    view: FleetView,
    counts: Counts,
    kind: FleetKind,
) -> FleetPlace | None:
    if plan.largest and sum(counts.values()) >= plan.largest:
        return None
    places = [FleetPlace(name, kind.name) for name in kind.data_centres]
    free = [
        place
        for place in places
        if place not in view.unavailable and counts[place] < kind.largest
    ]
    return min(free, key=lambda place: (counts[place], place), default=None)


def _move(
    plan: FleetPlan,
    view: FleetView,
    place: FleetPlace,
    wanted: int,
    kept: int,
) -> int:
    current = view.counts.get(place, 0)
    if place in view.unavailable:
        return current
    if wanted >= current:
        return min(wanted, current + plan.largest_change)
    fallen = min(current, max(wanted, kept))
    if _is_fresh(plan, view, place):
        return current
    return max(fallen, current - plan.largest_change)


def _fit_budget(
    plan: FleetPlan,
    demand: Demand,
    view: FleetView,
    counts: Counts,
) -> FleetDecision:
    hours = max(view.period_left / HOUR, 1)
    allowed = max(0, view.budget_left) / hours
    over_budget = False
    fitted = dict(counts)
    # Additions are taken back, dearest token first, and what there is stays:
    # a budget that ran out must not end requests that are being served.
    for kind in reversed(_rank(plan)):
        for data_centre in kind.data_centres:
            place = FleetPlace(data_centre, kind.name)
            while compute_hourly_cost(plan, fitted) > allowed:
                if fitted[place] <= view.counts.get(place, 0):
                    break
                fitted[place] -= 1
                over_budget = True
    capacity = _measure_capacity(plan, view, fitted, _rank(plan))
    wanted = demand.human_tokens + demand.training_tokens
    unmet = wanted - plan.utilisation * capacity
    return FleetDecision(fitted, max(0, unmet), over_budget)
