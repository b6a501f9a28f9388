"""How long an attempt may take before another upstream is tried.

The load that this answers: an upstream falls silent, or its data centre is
cut, while the others answer within 50 ms as ever. A request that waits there
for a fixed share of its time comes late, though its answer was to be had
elsewhere. So the wait follows from the answers seen on the same route. When
all upstreams turn slow together the waits grow with each one that was in
vain, and requests are not sent twice as often just then.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

# Running mean and deviation as in TCP's retransmission timer (RFC 6298): an
# answer later than mean + 4 deviations is one in some hundred.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# Answers before their mean is used.
MIN_ANSWERS = 8
# Lower bound of a timeout, well above the jitter of timers.
MIN_WAIT = timedelta(milliseconds=100)
# A timeout counts as an answer that took this many times as long.
TIMEOUT_BACKOFF_FACTOR = 2


@dataclass(slots=True)
class ResponseTimeStats:
    """What is known of the answers on one route, in seconds."""

    answers: int = 0
    mean: float = 0
    deviation: float = 0

    def observe(self, seconds: float) -> None:
        """Take the time of one answer."""
        if self.answers:
            error = seconds - self.mean
            self.mean += error * MEAN_WEIGHT
            self.deviation += (abs(error) - self.deviation) * DEVIATION_WEIGHT
        else:
            self.mean = seconds
            self.deviation = seconds / 2
        self.answers += 1


class AttemptTimeouts:
    """Learns from answers how long to wait for the next one."""

    def __init__(self) -> None:
        """Begin without answers."""
        self._routes: dict[str, ResponseTimeStats] = {}

    def on_answer(self, route: str, took: timedelta) -> None:
        """Learn how long an answer took."""
        self._find(route).observe(took.total_seconds())

    def on_timeout(self, route: str, waited: timedelta) -> None:
        """Learn that no answer came in a time."""
        self._find(route).observe(
            waited.total_seconds() * TIMEOUT_BACKOFF_FACTOR
        )

    def find_timeout(self, route: str, longest: timedelta) -> timedelta:
        """Tell how long to wait.

        :param longest: wait while nothing is known, and in any case.
        """
        known = self._routes.get(route)
        if known is None or known.answers < MIN_ANSWERS:
            return longest
        usual = timedelta(seconds=known.mean + known.deviation * DEVIATIONS)
        return min(max(usual, MIN_WAIT), longest)

    def _find(self, route: str) -> ResponseTimeStats:
        return self._routes.setdefault(route, ResponseTimeStats())
