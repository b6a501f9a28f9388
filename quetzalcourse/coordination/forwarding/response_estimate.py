"""Estimates when an upstream would respond to a forwarded request.

Under bursts, dozens of daemons choose among a few upstreams and know each of
them only from the last response that they got from it. Those that all compare
the same old figures send to the same upstream. So what was reported turns into
the mean of the service as it ages: upstreams that are known from old reports
only are alike, and each daemon prefers those where it has a connection.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from quetzalcourse.coordination.forwarding.upstream import Upstream

# Time in which a reported number of requests loses most of its weight.
LOAD_LIFETIME = timedelta(milliseconds=200)
# Response time that is assumed before any is measured, in seconds.
DEFAULT_RESPONSE_TIME = 0.05
# Time for another connection, which also takes a slot for a moment, in seconds.
CONNECT_TIME = 0.01
# Additional time of a request to another data centre, in seconds.
REMOTE_TIME = 0.003
# Load at which the wait is not estimated from the utilisation any more.
NEARLY_FULL = 0.95


@dataclass(frozen=True, slots=True)
class ServiceMeans:
    """Means over the upstreams that a request may use.

    :param response_time: seconds until a response.
    :param other_requests: requests of other daemons at an upstream.
    :param report: usual slowdown that an upstream reports, 0 if none does.
    """

    response_time: float
    other_requests: float
    report: float = 0


def compute_means(
    upstreams: Collection[Upstream], now: timedelta
) -> ServiceMeans:
    """Compute the means over some upstreams."""
    paces = [one.pace for one in upstreams if one.pace is not None]
    measured = [pace.response_time for pace in paces if pace.response_time]
    reports = [pace.usual_report for pace in paces if pace.usual_report]
    others = sum(one.count_load(now) - one.running for one in upstreams)
    response_time = (
        sum(measured) / len(measured) if measured else DEFAULT_RESPONSE_TIME
    )
    return ServiceMeans(
        response_time,
        others / max(len(upstreams), 1),
        median_low(reports) if reports else 0,
    )


def estimate_response(
    upstream: Upstream, means: ServiceMeans, data_centre: str, now: timedelta
) -> float:
    """Estimate the time until a response to a request that is sent now.

    :param data_centre: data centre of this daemon.
    :returns: seconds.
    """
    work = means.response_time
    if upstream.pace is not None:
        # A report makes an upstream slower than most, but never faster.
        if means.report:
            work *= max(upstream.pace.usual_report / means.report, 1)
        work = upstream.pace.estimate_response_time(work, now)
        work *= upstream.pace.estimate_slowdown(now, timedelta(seconds=work))
    load = _estimate_load(upstream, means, now)
    slots = upstream.member.slots
    # Requests in progress slow each other, or are there as the upstream hangs.
    seconds = work * (1 + load / slots) + estimate_wait(load, slots, work)
    if now >= upstream.keepalive_until:
        seconds += CONNECT_TIME
    if upstream.member.data_centre != data_centre:
        seconds += REMOTE_TIME
    return seconds


def estimate_wait(load: float, slots: int, work: float) -> float:
    """Estimate the wait for a slot, as for a queue with several servers.

    :param load: requests that the upstream has.
    :param work: seconds that a request takes there.
    :returns: seconds.
    """
    utilisation = min(load / slots, NEARLY_FULL)
    exponent = math.sqrt(2 * (slots + 1)) - 1
    wait = utilisation**exponent / (1 - utilisation)
    excess = max(load - NEARLY_FULL * slots, 0)
    return (wait + excess) * work / slots


def choose_fastest(
    available: Sequence[Upstream],
    data_centre: str,
    now: timedelta,
    source: random.Random,
) -> Upstream:
    """Choose the upstream that is expected to respond first.

    :param data_centre: data centre of this daemon.
    """
    means = compute_means(available, now)
    return min(
        available,
        key=lambda upstream: (
            estimate_response(upstream, means, data_centre, now),
            source.random(),
        ),
    )


def _estimate_load(
    upstream: Upstream, means: ServiceMeans, now: timedelta
) -> float:
    if now < upstream.peer_items_until:
        return upstream.count_load(now)
    weight = math.exp(-((now - upstream.other_requests_at) / LOAD_LIFETIME))
    others = upstream.other_requests * weight
    return upstream.running + others + means.other_requests * (1 - weight)
