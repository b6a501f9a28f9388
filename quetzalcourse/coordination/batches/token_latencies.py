"""Measures and compares the token latencies of upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.forwarding.upstream import Upstream

# Multiple of the median latency above which an upstream is slow.
SLOW_FACTOR = 1.8
# Multiple of the median latency above which an upstream is filled after others.
SLIGHTLY_SLOW_FACTOR = 1.12
# A longer gap means a load of weights; the first one of a stream is ignored.
WEIGHT_LOAD_GAP = timedelta(milliseconds=400)


@dataclass(slots=True)
class TokenLatencyReader:
    """Measures the token latency of an upstream from one stream.

    :param last_at: time since boot of the last events, ``None`` before the
        first; the time to the first ones is that of prefill and queueing.
    :param gap_skipped: whether one long gap has been ignored already.
    """

    last_at: timedelta | None = None
    gap_skipped: bool = False

    def read(self, now: timedelta, events: int) -> float | None:
        """Measure the time between two events.

        :param events: number of events that arrived now.
        :returns: seconds per event, ``None`` if it can't be told.
        """
        if not events:
            return None
        last_at = self.last_at
        self.last_at = now
        if last_at is None:
            return None
        gap = now - last_at
        if gap > WEIGHT_LOAD_GAP and not self.gap_skipped:
            self.gap_skipped = True
            return None
        return gap.total_seconds() / events


def find_median_latency(upstreams: Iterable[Upstream]) -> float:
    """Compute the median time between events, 0 if none is known."""
    latencies = sorted(
        one.token_latency for one in upstreams if one.token_latency
    )
    return latencies[(len(latencies) - 1) // 2] if latencies else 0


def rank_latency(upstream: Upstream, median: float) -> int:
    """Rank an upstream by its latency: 0 normal, 1 slower, 2 slow."""
    if not median:
        return 0
    bounds = (SLIGHTLY_SLOW_FACTOR, SLOW_FACTOR)
    return sum(upstream.token_latency > median * bound for bound in bounds)
