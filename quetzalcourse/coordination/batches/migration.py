"""Decides which running items move to a faster upstream.

An upstream turns several times slower while items run there, or a long item
runs at one that is always a third slower than the rest; its step waits for
that item alone while slots elsewhere are free. A migration costs a connection
and another prefill of the prompt and the text, so it has to gain more than
that. It reserves the slot first: items that left their upstream for a slot
that another item got would go back again and again, without progress. And it
assumes no better latency than the median: among many similar upstreams one
always looks faster for a moment, and items that followed it would move dozens
of times, with a new connection each. Where upstreams report how long work takes
there, only their long-run speed counts, and an item with few events left stays.
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

# Minimum gain that is worth another connection and prefill.
MIN_GAIN = timedelta(milliseconds=500)
# Lower bound of the expected further events of an item.
MIN_REMAINING_EVENTS = 12
# The same where upstreams report how long work takes there: the long-run speeds
# are known well, but only a share of the remaining time is worth a move.
MIN_SUSTAINED_GAIN = timedelta(milliseconds=350)
MIN_GAIN_SHARE = 0.3
# Slowdown above which an upstream is no target for now.
MAX_TARGET_SLOWDOWN = 1.5
# Slots that migrations leave to waiting items.
SPARE_SLOTS = 1


def choose_migration_target(
    current: Upstream,
    candidates: Iterable[Upstream],
    remaining_events: int,
    now: timedelta,
) -> Upstream | None:
    """Choose an upstream for a running item to move to.

    :param current: upstream where it runs.
    :param candidates: upstreams that may run it, with or without this one.
    :param remaining_events: expected number of its further events.
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
        and _has_room(one, now)
    ]
    best = min(
        free,
        key=lambda one: (max(one.token_latency, median), one.count_load(now)),
        default=None,
    )
    if best is None:
        return None
    expected = max(best.token_latency, median)
    return best if _is_worth(current, expected, remaining_events) else None


def _is_worth(
    current: Upstream, expected: float, remaining_events: int
) -> bool:
    """Tell whether an item gains enough by a move.

    :param expected: time between two events at the target, in seconds.
    """
    lost = current.token_latency - expected
    if current.pace is None:
        events = max(remaining_events, MIN_REMAINING_EVENTS)
        return timedelta(seconds=lost * events) >= MIN_GAIN
    if lost < MIN_GAIN_SHARE * current.token_latency:
        return False
    return timedelta(seconds=lost * remaining_events) >= MIN_SUSTAINED_GAIN


def _has_room(upstream: Upstream, now: timedelta) -> bool:
    if upstream.count_load(now) + SPARE_SLOTS >= upstream.member.slots:
        return False
    if upstream.pace is None:
        return True
    return upstream.pace.estimate_slowdown(now) <= MAX_TARGET_SLOWDOWN
