"""Estimates how long work takes at an upstream, now and in the long run.

Under steady load on shared machines, some upstreams are twice as slow for
good, and each is slowed several times over for some hundred milliseconds.
Daemons that follow the last figure chase slowness that has passed, and all of
them send to the upstream that was idle when it last told. So the long-run
speed comes from own timings, and a reported slowdown counts only against what
that upstream usually reports, and only while it is likely to last.
"""

from __future__ import annotations

import math
from datetime import timedelta

from quetzalcourse.coordination.forwarding.windowed_median import (
    WindowedMedian,
)

# Time in which a reported slowdown loses most of its weight: it changes
# several times a second.
SLOWDOWN_LIFETIME = timedelta(milliseconds=300)
# Windows of token latencies needed before their median is used.
MIN_LATENCY_WINDOWS = 4
# Responses that the expected response time counts for.
EXPECTED_WEIGHT = 8
# Time in which a response loses most of its weight, as upstreams recover.
RESPONSE_LIFETIME = timedelta(seconds=10)
# Bounds of a momentary slowdown relative to the usual one: no report makes an
# upstream look more than this much faster or slower than its own timings.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 10.0


class FadingMean:
    """Mean of readings that lose their weight with time."""

    def __init__(self) -> None:
        """Start without readings."""
        self._total = 0.0
        self._weight = 0.0
        self._added_at = timedelta(0)

    @property
    def mean(self) -> float:
        """Mean of the readings, 0 without any."""
        return self._total / self._weight if self._weight else 0

    def add(self, reading: float, now: timedelta) -> None:
        """Add a reading."""
        left = self._find_share(now)
        self._total = self._total * left + reading
        self._weight = self._weight * left + 1
        self._added_at = now

    def estimate(self, expected: float, now: timedelta) -> float:
        """Return the mean of the readings and of what was expected."""
        left = self._find_share(now)
        total = self._total * left + expected * EXPECTED_WEIGHT
        return total / (self._weight * left + EXPECTED_WEIGHT)

    def _find_share(self, now: timedelta) -> float:
        return math.exp(-((now - self._added_at) / RESPONSE_LIFETIME))


class UpstreamPace:
    """Long-run speed and momentary slowdown of an upstream."""

    def __init__(self) -> None:
        """Start without reports and timings."""
        self._tokens = WindowedMedian(MIN_LATENCY_WINDOWS)
        self._reports = WindowedMedian(1)
        self._last_report = 0.0
        self._responses = FadingMean()
        self._slowdown = 1.0
        self._observed_at: timedelta | None = None

    @property
    def token_latency(self) -> float:
        """Sustained time between two events in seconds, 0 if unknown."""
        return self._tokens.median

    @property
    def response_time(self) -> float:
        """Mean time until a response in seconds, 0 if unknown."""
        return self._responses.mean

    @property
    def usual_report(self) -> float:
        """Slowdown that it usually reports, 0 if it has reported none."""
        return self._reports.median or self._last_report

    def on_report(self, slowdown: float, now: timedelta) -> None:
        """Record a reported slowdown."""
        self._reports.add(slowdown, now)
        self._last_report = slowdown
        self._observe(slowdown / self.usual_report, now)

    def on_token_latency(self, seconds: float, now: timedelta) -> None:
        """Record the time between two events of a stream."""
        latest = self._tokens.add(seconds, now)
        if latest and self._tokens.median:
            self._observe(latest / self._tokens.median, now)

    def on_response(self, took: timedelta, now: timedelta) -> None:
        """Record the time until the response to a forwarded request."""
        self._responses.add(took.total_seconds(), now)

    def estimate_response_time(self, expected: float, now: timedelta) -> float:
        """Estimate the long-run time until a response.

        :param expected: seconds that are expected without own timings; a few
            long requests do not make an upstream a slow one.
        :returns: seconds.
        """
        return self._responses.estimate(expected, now)

    def estimate_slowdown(
        self, now: timedelta, duration: timedelta = timedelta(0)
    ) -> float:
        """Estimate the slowdown of work that starts now.

        :param duration: how long the work takes.
        :returns: factor on the long-run time, averaged over the duration.
        """
        if self._observed_at is None:
            return 1
        age = (now - self._observed_at) / SLOWDOWN_LIFETIME
        length = duration / SLOWDOWN_LIFETIME
        weight = math.exp(-age)
        if length > 0:
            weight *= -math.expm1(-length) / length
        return 1 + (self._slowdown - 1) * weight

    def _observe(self, slowdown: float, now: timedelta) -> None:
        self._slowdown = min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        self._observed_at = now
