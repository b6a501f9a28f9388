"""Latest starts of a request that waits, by what its caller expects.

Under lasting overload, requests that wait until their deadlines make all
answers late. So a request waits only while its answer can be on time, unless
its service is so slow that no answer would be.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

# Share of the target latency after which a request that waits stays.
DECISION_SHARE = 1 / 4
# A start is of use while this many mean answer times are left; half of the
# answers take longer than the mean.
USEFUL_ANSWER_TIMES = 2
# Answer times learnt in a slow phase leave this share of the time to wait.
MIN_WAIT_SHARE = 0.5
# Share of the time until then that a request may be expected to wait where no
# answer is on time; an estimate from a few starts may be wrong by half.
LATE_WAIT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class StartLimits:
    """Times since boot that limit the wait of a request.

    :param on_time_until: latest start that is worth waiting for.
    :param useful_until: latest start with which its caller still waits.
    :param decide_by: when it must be known whether it will be served.
    """

    on_time_until: timedelta
    useful_until: timedelta
    decide_by: timedelta


def compute_start_limits(
    arrived_at: timedelta,
    deadline: timedelta,
    target_latency: timedelta,
    answer_time: timedelta,
) -> StartLimits:
    """Compute the limits of a request.

    :param answer_time: expected time until its response begins.
    """
    decide_by = arrived_at + target_latency * DECISION_SHARE
    useful_until = max(
        deadline - answer_time * USEFUL_ANSWER_TIMES,
        arrived_at + (deadline - arrived_at) * MIN_WAIT_SHARE,
    )
    on_time_until = arrived_at + target_latency - answer_time
    if on_time_until < decide_by:
        # No attempt can be on time, so a late answer is the best one.
        wait = (useful_until - arrived_at) * LATE_WAIT_SHARE
        on_time_until = arrived_at + wait
    return StartLimits(on_time_until, useful_until, decide_by)
