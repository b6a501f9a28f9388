"""Adaptive per-route timeout of an attempt before another upstream is tried.

When an upstream stops answering, or its data centre is partitioned, the other
upstreams still answer within 50 ms; a fixed share of the request's deadline
would make the retry too late. The timeout is therefore derived from the
response times seen on the same route. Each timeout that expires raises it, so
that requests are not sent twice when all upstreams become slow at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

# Smoothed mean and deviation as in TCP's retransmission timer (RFC 6298):
# about one response in a hundred takes longer than mean + 4 deviations.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_FACTOR = 4
# Responses needed before their mean is used.
MIN_RESPONSES = 8
# Well above the jitter of timers.
MIN_TIMEOUT = timedelta(milliseconds=100)
# A timeout counts as a response that took this many times as long.
TIMEOUT_BACKOFF_FACTOR = 2


@dataclass(slots=True)
class ResponseTimeStats:
    """Smoothed response time of one route, in seconds."""

    responses: int = 0
    mean: float = 0
    deviation: float = 0

    def observe(self, seconds: float) -> None:
        """Update the mean and deviation with one response time."""
        if self.responses:
            error = seconds - self.mean
            self.mean += error * MEAN_WEIGHT
            self.deviation += (abs(error) - self.deviation) * DEVIATION_WEIGHT
        else:
            self.mean = seconds
            self.deviation = seconds / 2
        self.responses += 1


class AttemptTimeouts:
    """Computes the attempt timeout of each route from its response times."""

    def __init__(self) -> None:
        self._routes: dict[str, ResponseTimeStats] = {}

    def on_answer(self, route: str, took: timedelta) -> None:
        """Record the response time of an attempt."""
        self._find(route).observe(took.total_seconds())

    def on_timeout(self, route: str, waited: timedelta) -> None:
        """Record that an attempt timed out.

        :param waited: how long the attempt waited for its response.
        """
        self._find(route).observe(
            waited.total_seconds() * TIMEOUT_BACKOFF_FACTOR
        )

    def find_timeout(self, route: str, longest: timedelta) -> timedelta:
        """Return how long to wait for the next response of a route.

        :param longest: upper bound, and the timeout while there are too few
            responses.
        """
        stats = self._routes.get(route)
        if stats is None or stats.responses < MIN_RESPONSES:
            return longest
        usual = timedelta(
            seconds=stats.mean + stats.deviation * DEVIATION_FACTOR
        )
        return min(max(usual, MIN_TIMEOUT), longest)

    def _find(self, route: str) -> ResponseTimeStats:
        return self._routes.setdefault(route, ResponseTimeStats())
