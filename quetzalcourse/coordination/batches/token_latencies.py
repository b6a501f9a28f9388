"""How fast upstreams make the events of a text, against each other."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.forwarding.upstream import Upstream

# An upstream of this latency against the median is one that turned slow;
# the latency of sound ones differs by less than half, as their load
# does.
SLOW_FACTOR = 1.8
# Machines of one kind may differ by a third, and what a long item loses at a
# slower one is lost to its step; so the slower ones are filled after the
# others. Below this the difference is that of their load.
SLOWER_FACTOR = 1.12
# A load of weights stops every stream of an upstream for most of a second,
# which says nothing of its latency: counted in, it made all items leave
# an upstream just when it was as fast as ever again. A second gap of a stream
# counts.
PAUSE = timedelta(milliseconds=400)


@dataclass(slots=True)
class TokenLatencyReader:
    """Reads the token latency of an upstream off one stream.

    :param last_at: when the last events came, ``None`` before the first;
        the time to those is that of the prompt and the queue.
    :param paused: whether one long gap has been left out already.
    """

    last_at: timedelta | None = None
    paused: bool = False

    def read(self, now: timedelta, events: int) -> float | None:
        """Read the time between two events.

        :param events: how many came now.
        :returns: seconds, ``None`` if this says nothing of the token_latency.
        """
        if not events:
            return None
        last_at = self.last_at
        self.last_at = now
        if last_at is None:
            return None
        gap = now - last_at
        if gap > PAUSE and not self.paused:
            self.paused = True
            return None
        return gap.total_seconds() / events


def find_median_latency(upstreams: Iterable[Upstream]) -> float:
    """Find the median time between events, 0 if none is known."""
    latencies = sorted(
        one.token_latency for one in upstreams if one.token_latency
    )
    return latencies[(len(latencies) - 1) // 2] if latencies else 0


def rank_latency(upstream: Upstream, median: float) -> int:
    """Rank an upstream by its latency: 0 usual, 1 slower, 2 far slower."""
    if not median:
        return 0
    bounds = (SLOWER_FACTOR, SLOW_FACTOR)
    return sum(upstream.token_latency > median * bound for bound in bounds)
