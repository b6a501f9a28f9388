"""Requests beyond the slots of a service, with and without the queue."""

from __future__ import annotations

import time
import tracemalloc
from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from bench.figure import SHOWN, Bound, Figure, at_least, at_most
from quetzalcourse.coordination.admission.entry_queue import (
    Stage,
    WaitingRequest,
)
from quetzalcourse.coordination.admission.service_admission import (
    ServiceAdmission,
    SlotCounts,
)
from quetzalcourse.coordination.admission.start_limits import (
    DECISION_SHARE,
    compute_start_limits,
)
from quetzalcourse.standins.request_replay import (
    START,
    ImmediatePolicy,
    QueueingPolicy,
    Replay,
    ReplayedRequest,
    Service,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

FIGURES = (
    'admission_decisions_per_s',
    'admission_bytes_per_waiting',
    'admission_x2_in_time',
    'admission_x2_worst_accounts',
    'admission_x2_reject_p99_ms',
    'admission_x2_wait_p99_ms',
    'admission_x6_in_time',
    'admission_x6_worst_accounts',
    'admission_x6_reject_p99_ms',
    'admission_x6_wait_p99_ms',
)
SERVICE = Service(slots=24, slot_time=timedelta(milliseconds=40))
CAPACITY = 600.0
SECONDS = 9.0
LARGE_ACCOUNTS = 4
SMALL_ACCOUNTS = 76
LARGE_SHARE = 0.5
WAITING = 500
DECISION_MS = SERVICE.target / timedelta(milliseconds=1) * DECISION_SHARE
WORST_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one replay.

    :param in_time: requests answered in the target time of an attempt, as a
        share of what the slots can serve.
    :param worst_accounts: how often the worst tenth of the accounts is served,
        against the mean of all accounts.
    """

    in_time: float
    worst_accounts: float
    reject_p99_ms: float
    wait_p99_ms: float
    decisions_per_s: float


async def measure() -> list[Figure]:
    """Replay the same requests with and without the queue."""
    figures = []
    for overload in (2, 6):
        old, new = (
            replay(build_requests(overload), policy)
            for policy in (ImmediatePolicy(), QueueingPolicy())
        )
        bounds: dict[str, Bound] = {
            'in_time': at_least(old.in_time),
            'worst_accounts': at_least(0.9) if overload == 2 else SHOWN,
            'reject_p99_ms': at_most(DECISION_MS),
            'wait_p99_ms': SHOWN,
        }
        figures += [
            Figure(
                f'admission_x{overload}_{name}',
                getattr(new, name),
                'ms' if name.endswith('ms') else 'of the slots of 9 s',
                bound,
                baseline=getattr(old, name),
            )
            for name, bound in bounds.items()
        ]
    figures.append(
        Figure('admission_decisions_per_s', new.decisions_per_s, 'a second')
    )
    figures.append(
        Figure('admission_bytes_per_waiting', measure_memory(), 'bytes')
    )
    return figures


def build_requests(overload: float) -> list[ReplayedRequest]:
    """Build requests of 80 accounts, a few of them large."""
    random = Random(11)
    requests = []
    seconds = 0.0
    while seconds < SECONDS:
        seconds += random.expovariate(CAPACITY * overload)
        if random.random() < LARGE_SHARE:
            account = f'large-{random.randrange(LARGE_ACCOUNTS)}'
        else:
            account = f'small-{random.randrange(SMALL_ACCOUNTS)}'
        at = START + timedelta(seconds=seconds)
        requests.append(ReplayedRequest(account, at))
    return requests


def replay(
    requests: list[ReplayedRequest], policy: ImmediatePolicy | QueueingPolicy
) -> Outcome:
    """Replay requests and summarize what became of them."""
    began = time.perf_counter()
    Replay(SERVICE, policy).run(requests)
    took = time.perf_counter() - began
    in_time = sum(
        one.served_in is not None and one.served_in <= SERVICE.target
        for one in requests
    )
    return Outcome(
        in_time / (CAPACITY * SECONDS),
        compare_worst_accounts(requests),
        find_p99([each for one in requests for each in one.rejections]),
        find_p99([each for one in requests for each in one.waits]),
        sum(one.attempts for one in requests) / took,
    )


def compare_worst_accounts(requests: Sequence[ReplayedRequest]) -> float:
    """Compare how often the worst tenth of the accounts is served."""
    served: dict[str, list[bool]] = defaultdict(list)
    for request in requests:
        served[request.account].append(request.served_in is not None)
    asked = sum(len(each) for each in served.values())
    # An account that asks for more than its share is measured by its share.
    share = CAPACITY * SECONDS / len(served)
    if asked <= CAPACITY * SECONDS:
        share = asked
    shares = sorted(
        min(sum(each) / min(len(each), share), 1) for each in served.values()
    )
    worst = shares[: int(len(shares) * WORST_SHARE)]
    return sum(worst) / len(worst) / (sum(shares) / len(shares))


def find_p99(durations: list[timedelta]) -> float:
    """Find the 99th percentile in milliseconds."""
    longest = sorted(durations)[len(durations) * 99 // 100]
    return longest / timedelta(milliseconds=1)


def measure_memory() -> float:
    """Measure the memory of a waiting request in the queue."""
    admission = ServiceAdmission()
    slots = SlotCounts(WAITING, WAITING, SERVICE.slot_time)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(WAITING):
        place = WaitingRequest(
            f'account-{number % 80}',
            1,
            Stage.new,
            START,
            compute_start_limits(
                START,
                START + SERVICE.timeout,
                SERVICE.target,
                SERVICE.slot_time,
            ),
        )
        admission.offer(place, slots, START)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / WAITING
