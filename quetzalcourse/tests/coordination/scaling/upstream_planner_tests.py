"""Tests of the number of upstreams under bursts of items and lost upstreams."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import Any

import pytest

from quetzalcourse.coordination.scaling.upstream_planner import (
    COOL_DOWN,
    count_required_slots,
    plan_growth,
    plan_reduction,
)
from quetzalcourse.state.routing import ScalingRange
from quetzalcourse.state.scaling import (
    NO_DEMAND,
    BatchDemand,
    PlaceCapacity,
    ScalingPlace,
)

SLOTS = 8
ITEM_TIME = timedelta(seconds=0.6)
DUE_SECONDS = 7.5
RANGE = ScalingRange(1, 12, timedelta(seconds=4))


def build_place(
    name: str, count: int = 6, price: float = 1.0, **changes: Any
) -> PlaceCapacity:
    """Build a data centre of which every upstream serves."""
    place = PlaceCapacity(
        ScalingPlace('engines', name),
        count,
        count,
        0,
        count,
        count * SLOTS,
        0,
        price,
        count,
    )
    return replace(place, **changes)


def build_demand(unfinished: int) -> BatchDemand:
    """Build the demand of items that are submitted at once."""
    return BatchDemand(unfinished, unfinished / DUE_SECONDS, ITEM_TIME)


def count_added(
    places: list[PlaceCapacity], unfinished: int, booting: int = 0
) -> int:
    """Count the upstreams that a demand adds."""
    places = [replace(places[0], booting=booting), *places[1:]]
    planned = plan_growth(RANGE, build_demand(unfinished), places)
    counts = {one.place: one.count for one in places}
    return sum(count - counts[place] for place, count in planned.items())


def test_steps_that_fit_order_nothing() -> None:
    places = [build_place(name) for name in 'abcd']
    assert count_added(places, 600) == 0
    assert count_added(places, 0) == 0


def test_steps_of_twice_the_items_get_the_slots_to_start_in_time() -> None:
    # Three trainers submit 1,280 items at once to 24 upstreams.
    places = [build_place(name) for name in 'abcd']
    added = count_added(places, 1280)
    required = count_required_slots(build_demand(1280))
    assert required <= (24 + added) * SLOTS < required + SLOTS


def test_lost_half_of_the_upstreams_is_replaced_once() -> None:
    places = [build_place('a'), build_place('b', serving=0, slots=0)]
    added = count_added(places, 450)
    assert added > 0
    assert count_added(places, 450, booting=added) == 0


def test_growth_is_limited_to_the_range_and_to_doubling() -> None:
    places = [build_place('a', count=10), build_place('b', count=10)]
    assert count_added(places, 9000) == 4
    small = [build_place('a', count=1)]
    assert count_added(small, 9000) == 1
    assert count_added([build_place('a', count=2)], 9000, booting=1) == 0


def test_cheap_data_centres_get_more_but_not_all() -> None:
    places = [build_place('a', price=1.0), build_place('b', price=0.5)]
    planned = plan_growth(RANGE, build_demand(750), places)
    added = {place.data_centre: count - 6 for place, count in planned.items()}
    assert added['b'] > added['a'] > 0


def test_data_centre_without_further_upstreams_gets_no_order() -> None:
    places = [build_place('a', available=False), build_place('b')]
    planned = plan_growth(RANGE, build_demand(750), places)
    assert {place.data_centre for place in planned} == {'b'}


def test_service_without_upstreams_is_left_alone() -> None:
    assert not plan_growth(RANGE, build_demand(750), [])
    assert not plan_reduction(RANGE, NO_DEMAND, [], COOL_DOWN)


@pytest.mark.parametrize(
    ('since_need', 'unfinished', 'reduced'),
    [
        (COOL_DOWN, 0, {'a': 8, 'b': 6}),
        (COOL_DOWN - timedelta(seconds=1), 0, {}),
        (COOL_DOWN, 780, {}),
    ],
)
def test_upstreams_are_given_back_one_by_one_when_not_needed(
    since_need: timedelta, unfinished: int, reduced: dict[str, int]
) -> None:
    places = [build_place('a', count=9, base=6), build_place('b', 7, base=6)]
    planned = plan_reduction(
        RANGE, build_demand(unfinished), places, since_need
    )
    counts = {place.data_centre: count for place, count in planned.items()}
    assert counts == reduced


def test_range_covers_spot_instances_too() -> None:
    places = [build_place('a', count=6, spot=6), build_place('b')]
    planned = plan_growth(RANGE, build_demand(750), places)
    assert {place.data_centre for place in planned} == {'b'}


@pytest.mark.parametrize(('least', 'most', 'reduced'), [(8, 12, 8), (1, 5, 8)])
def test_range_limits_what_is_given_back(
    least: int, most: int, reduced: int
) -> None:
    scaling = ScalingRange(least, most, timedelta(seconds=4))
    places = [build_place('a', count=9, base=6)]
    planned = plan_reduction(scaling, NO_DEMAND, places, COOL_DOWN)
    assert list(planned.values()) == [reduced]
    kept = [build_place('a', count=least, base=1)]
    assert not plan_reduction(scaling, NO_DEMAND, kept, COOL_DOWN)


def test_upstreams_that_never_came_are_not_given_back() -> None:
    # Guards against an order that adds some, where one was not carried out.
    places = [build_place('a', count=9, registered=6, base=6)]
    assert not plan_reduction(RANGE, NO_DEMAND, places, COOL_DOWN)


def test_upstreams_that_operators_started_with_are_kept() -> None:
    places = [build_place('a')]
    assert not plan_reduction(RANGE, NO_DEMAND, places, COOL_DOWN * 10)
