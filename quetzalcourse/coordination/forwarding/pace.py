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

from quetzalcourse.coordination.forwarding.sustained_latency import (
    SustainedLatency,
)

# Time in which a reported slowdown loses most of its weight: it changes
# several times a second.
SLOWDOWN_LIFETIME = timedelta(milliseconds=300)
# Weight of a report in the running mean of an upstream's reports.
REPORT_WEIGHT = 1 / 16
# Weight of a response in the running mean of the response times.
RESPONSE_WEIGHT = 1 / 16
# Bounds of a momentary slowdown relative to the usual one: no report makes an
# upstream look more than this much faster or slower than its own timings.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 10.0


class UpstreamPace:
    """Long-run speed and momentary slowdown of an upstream."""

    def __init__(self) -> None:
        """Start without reports and timings."""
        self._tokens = SustainedLatency()
        self._response_time = 0.0
        self._usual_report = 1.0
        self._slowdown = 1.0
        self._observed_at: timedelta | None = None

    @property
    def token_latency(self) -> float:
        """Sustained time between two events in seconds, 0 if unknown."""
        return self._tokens.median

    @property
    def response_time(self) -> float:
        """Mean time until a response in seconds, 0 if unknown."""
        return self._response_time

    def on_report(self, slowdown: float, now: timedelta) -> None:
        """Record a reported slowdown."""
        self._observe(slowdown / self._usual_report, now)
        self._usual_report += (slowdown - self._usual_report) * REPORT_WEIGHT

    def on_token_latency(self, seconds: float, now: timedelta) -> None:
        """Record the time between two events of a stream."""
        latest = self._tokens.add(seconds, now)
        if latest and self._tokens.median:
            self._observe(latest / self._tokens.median, now)

    def on_response(self, took: timedelta) -> None:
        """Record the time until the response to a forwarded request."""
        seconds = took.total_seconds()
        mean = self._response_time or seconds
        self._response_time = mean + (seconds - mean) * RESPONSE_WEIGHT

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
