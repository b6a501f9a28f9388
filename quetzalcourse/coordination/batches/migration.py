"""Which running items go on at a faster upstream, and where.

The load that this answers: an upstream turns several times slower while items
run there, or a long item runs at one that is always a third slower than the
rest; its step waits for that item alone while slots elsewhere are free. A move
costs a connection and the reading of the prompt and the text, so it has to
gain more than that. It takes the slot first: items that left their upstream
for a slot that another one got would go back to where they were, over and
over, and stand still meanwhile. And it counts on the usual token_latency only:
of many upstreams that are alike, one always looks faster than the rest for a
moment, and items that followed it went from one to the next dozens of times, a
connection each.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.token_latencies import (
    find_median_latency,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.forwarding.upstream import Upstream

# Time that a migration must gain to be worth its connection and prompt.
MIN_GAIN = timedelta(milliseconds=500)
# Lower bound of the events that an item still has before it.
MIN_REMAINING_EVENTS = 12
# Slots that a migration leaves to waiting items.
SPARE_SLOTS = 1


def choose_migration_target(
    current: Upstream,
    candidates: Iterable[Upstream],
    remaining_events: int,
    now: timedelta,
) -> Upstream | None:
    """Choose where an item should go on.

    :param current: upstream where it runs.
    :param candidates: upstreams that may run it, this one among them or not.
    :param remaining_events: events that it is expected to have still before it.
    :returns: ``None`` if it should stay.
    """
    if not current.token_latency:
        return None
    considered = list(candidates)
    median = find_median_latency(considered)
    free = [
        one
        for one in considered
        if one.name != current.name
        and one.token_latency
        and not one.consecutive_failures
        and one.count_load(now) + SPARE_SLOTS < one.member.slots
    ]
    best = min(
        free,
        key=lambda one: (max(one.token_latency, median), one.count_load(now)),
        default=None,
    )
    if best is None:
        return None
    events = max(remaining_events, MIN_REMAINING_EVENTS)
    expected = max(best.token_latency, median)
    gain = timedelta(seconds=(current.token_latency - expected) * events)
    return best if gain >= MIN_GAIN else None
