"""Plans the number of upstreams from the items that wait for them.

The trainers of several models submit their steps within the same second, with
more items than the slots finish in time: more work than usual is asked for, or
a data centre's upstreams crashed, slowed down or are being reclaimed. A step
that takes all of its time has none left for a retry, and makes the next one
late. So upstreams are added as soon as the backlog takes more than a part of
that time, and given back when they were not needed for a while.
"""

from __future__ import annotations

import math
from datetime import timedelta
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.state.routing import ScalingRange
    from quetzalcourse.state.scaling import (
        BatchDemand,
        PlaceCapacity,
        ScalingPlace,
    )

# Part of the time until results are due in which the items should be done; the
# rest is for retries and for upstreams that turn slow.
RUN_SHARE = 1 / 2
# Growth of a service until what was ordered serves, relative to the number of
# its upstreams.
MAX_GROWTH = 1.0
# Time without need for the added upstreams after which they are given back.
COOL_DOWN = timedelta(seconds=60)
# Number of upstreams that a data centre gives back in one round.
MAX_REDUCTION = 1


def count_required_slots(demand: BatchDemand) -> int:
    """Count the slots that run all unfinished items in time."""
    seconds = demand.item_time.total_seconds()
    return min(math.ceil(demand.rate * seconds / RUN_SHARE), demand.unfinished)


def plan_growth(
    scaling: ScalingRange,
    demand: BatchDemand,
    places: Sequence[PlaceCapacity],
) -> dict[ScalingPlace, int]:
    """Plan the data centres that get more upstreams.

    :returns: desired number of upstreams by place, without unchanged ones.
    """
    each = _find_slots_per_upstream(places)
    if not each:
        return {}
    slots = sum(one.slots for one in places)
    booting = sum(one.booting for one in places)
    missing = math.ceil((count_required_slots(demand) - slots) / each)
    before = sum(one.count for one in places) - booting
    growth = min(missing, math.ceil(before * MAX_GROWTH)) - booting
    added: dict[ScalingPlace, int] = {}
    for _ in range(growth):
        chosen = _choose_place(scaling, places, added)
        if chosen is None:
            break
        added[chosen.place] = added.get(chosen.place, 0) + 1
    return {
        one.place: one.count + added[one.place]
        for one in places
        if one.place in added
    }


def plan_reduction(
    scaling: ScalingRange,
    demand: BatchDemand,
    places: Sequence[PlaceCapacity],
    since_need: timedelta,
) -> dict[ScalingPlace, int]:
    """Plan the data centres that give upstreams back.

    Only registered upstreams are given back: an order that was not carried out
    would otherwise add some.

    :param since_need: time since all upstreams were needed.
    :returns: desired number of upstreams by place, without unchanged ones.
    """
    if since_need < COOL_DOWN:
        return {}
    spare = sum(one.slots for one in places) - count_required_slots(demand)
    each = math.ceil(_find_slots_per_upstream(places))
    reduced: dict[ScalingPlace, int] = {}
    for one in sorted(places, key=attrgetter('price'), reverse=True):
        least = min(max(one.base, scaling.least), scaling.most)
        fewer = min(one.registered - least, MAX_REDUCTION)
        if fewer > 0 and spare >= fewer * each:
            reduced[one.place] = one.registered - fewer
            spare -= fewer * each
    return reduced


def _choose_place(
    scaling: ScalingRange,
    places: Sequence[PlaceCapacity],
    added: dict[ScalingPlace, int],
) -> PlaceCapacity | None:
    """Choose the next place, cheap ones more often.

    They are spread, so that the loss of a data centre costs little capacity.
    """
    candidates = [
        one
        for one in places
        if one.available
        and one.count + one.spot + added.get(one.place, 0) < scaling.most
    ]
    return min(
        candidates,
        key=lambda one: (
            (added.get(one.place, 0) + 1) * one.price,
            one.place,
        ),
        default=None,
    )


def _find_slots_per_upstream(places: Sequence[PlaceCapacity]) -> float:
    serving = sum(one.serving for one in places)
    return sum(one.slots for one in places) / serving if serving else 0
