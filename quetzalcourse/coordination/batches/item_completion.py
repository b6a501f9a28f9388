"""Decides which items leave the slots of slow upstreams to shorter ones.

Under steps with more items than slots, a third of the upstreams takes more than
twice as long as the rest, and the fast ones are full first. A long item in a
slow slot ends seconds later than one that waits a moment for a fast slot, or it
has to move, with another connection and prefill. A short item loses little
there. So an item waits if the time that it would lose at the best free upstream
is longer than its wait for a fast slot, which grows with the items that wait
already.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from statistics import median_low
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.token_latencies import (
    find_median_latency,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from quetzalcourse.coordination.forwarding.upstream import Upstream

# Ratio of the latencies of two upstreams that are ranked apart.
RANK_RATIO = 1.25
# Multiple of the expected wait that waiting has to gain: estimates of lengths
# are off by such factors.
GAIN_MARGIN = 1.5
# Shortest gain that is worth a wait, in seconds.
MIN_GAIN = 0.1
# Time without a free fast slot after which no item waits for one, as their
# streams may hang: as a multiple of the time that items take there, and at
# least, in seconds.
STALL_FACTOR = 1.5
MIN_STALL = 0.5
# Time between two events that is assumed before any is measured, in seconds.
DEFAULT_LATENCY = 0.04
# Weight of an item in the running mean of the lengths at fast upstreams.
LENGTH_WEIGHT = 1 / 32


@dataclass(frozen=True, slots=True)
class SlotChoice:
    """Choice between a free slot and a wait for a faster one.

    :param latency: seconds between two events at the best free upstream.
    :param fast_latency: seconds between two events at the fast upstreams.
    :param fast_slots: slots of the fast upstreams, 0 if it is one of them.
    """

    latency: float
    fast_latency: float
    fast_slots: int

    def estimate_gain(self, events: int) -> float:
        """Estimate the seconds that an item gains at a fast upstream."""
        return events * (self.latency - self.fast_latency)


class FastSlotQueue:
    """Items that wait for the slots of fast upstreams."""

    def __init__(self) -> None:
        """Start without items."""
        self._mean_events = 0.0
        self._stalled_since: timedelta | None = None
        self.waiting = 0

    def start_round(self) -> None:
        """Forget the items that waited at the last dispatch."""
        if not self.waiting:
            self._stalled_since = None
        self.waiting = 0

    def on_fast_slot(self, events: int) -> None:
        """Record the length of an item that got a fast slot."""
        self._stalled_since = None
        mean = self._mean_events or events
        self._mean_events = mean + (events - mean) * LENGTH_WEIGHT

    def should_wait(
        self, events: int, choice: SlotChoice, sharers: int, now: timedelta
    ) -> bool:
        """Decide whether an item waits for a fast slot, and count it if so.

        :param events: its expected further events, 0 if unknown.
        :param sharers: daemons that use the fast slots.
        """
        if not events or not choice.fast_slots:
            return False
        slot_time = self._mean_events * choice.fast_latency
        wait = (self.waiting + 1) * sharers * slot_time / choice.fast_slots
        if choice.estimate_gain(events) <= max(GAIN_MARGIN * wait, MIN_GAIN):
            return False
        if self._stalled_since is None:
            self._stalled_since = now
        stall = max(STALL_FACTOR * slot_time, MIN_STALL)
        if now - self._stalled_since > timedelta(seconds=stall):
            return False
        self.waiting += 1
        return True


def estimate_latencies(upstreams: Collection[Upstream]) -> dict[str, float]:
    """Estimate the long-run token latency of each upstream.

    One that has not been measured is as slow as it reports, but not faster than
    the fastest that has, so that a false report draws no more than its share.

    :returns: seconds by name; the median where nothing is known.
    """
    measured = [one for one in upstreams if one.token_latency]
    median = find_median_latency(measured) or DEFAULT_LATENCY
    fastest = min((one.token_latency for one in measured), default=median)
    usual = _find_median_report(measured) or _find_median_report(upstreams)
    return {
        one.name: one.token_latency
        or max(median * (_find_report(one) or usual) / (usual or 1), fastest)
        for one in upstreams
    }


def estimate_duration(
    upstream: Upstream, latency: float, events: int, now: timedelta
) -> float:
    """Estimate how long an item that starts now takes at an upstream.

    :param latency: long-run time between two events, in seconds.
    :param events: expected number of its events.
    :returns: seconds.
    """
    usual = latency * max(events, 1)
    if upstream.pace is None:
        return usual
    duration = timedelta(seconds=usual)
    return usual * upstream.pace.estimate_slowdown(now, duration)


def rank_duration(seconds: float, fastest: float) -> int:
    """Rank an upstream by an item's duration there: 0 is about the fastest."""
    return round(math.log(seconds / fastest, RANK_RATIO))


def find_choice(
    chosen: Upstream,
    usable: Collection[Upstream],
    latencies: Mapping[str, float],
) -> SlotChoice:
    """Compare the best free upstream with the fast ones in the long run.

    :param usable: upstreams that the item may use, full ones included.
    :param latencies: long-run token latency of each, in seconds.
    """
    latency = latencies[chosen.name]
    fast = [
        one
        for one in usable
        if latencies[one.name] * RANK_RATIO < latency
        and not one.consecutive_failures
    ]
    slots = sum(one.member.slots for one in fast)
    total = sum(latencies[one.name] * one.member.slots for one in fast)
    return SlotChoice(latency, total / slots if slots else latency, slots)


def _find_report(upstream: Upstream) -> float:
    return upstream.pace.usual_report if upstream.pace is not None else 0


def _find_median_report(upstreams: Collection[Upstream]) -> float:
    reports = [report for one in upstreams if (report := _find_report(one))]
    return median_low(reports) if reports else 0
