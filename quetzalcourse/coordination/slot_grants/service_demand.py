"""Requests that wait at this daemon for one service.

Under a burst, requests wait for any upstream of a service, while each upstream
has an owner of its own. Asking all of them for every request would grant its
slot several times over, so the requests are split among a few upstreams, and
to more of them the longer they wait.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

ZERO = timedelta(0)
# Waiting requests for which one more upstream is asked.
REQUESTS_PER_OWNER = 4
# Time after which one more upstream is asked, of those with room for all that
# is known, and of the others.
ASK_INTERVAL = timedelta(milliseconds=80)
FULL_ASK_INTERVAL = timedelta(seconds=1)


@dataclass(slots=True)
class ServiceDemand:
    """Waiting requests of one service by client account.

    :param since: when each account's requests began to wait, or when the last
        of them started.
    """

    waiting: Mapping[str, int] = field(default_factory=dict)
    since: dict[str, timedelta] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Number of waiting requests."""
        return sum(self.waiting.values())

    def update(self, waiting: Mapping[str, int], now: timedelta) -> None:
        """Replace the numbers of waiting requests."""
        self.waiting = {name: count for name, count in waiting.items() if count}
        self.since = {name: self.since.get(name, now) for name in self.waiting}

    def on_started(self, account: str, now: timedelta) -> None:
        """Record that a request of an account no longer waits."""
        if self.waiting.get(account):
            self.since[account] = now

    def find_wait(self, account: str, now: timedelta) -> timedelta:
        """Find for how long an account waits."""
        return now - self.since.get(account, now)

    def count_asked(self) -> int:
        """Count the upstreams whose owners are asked at first."""
        return math.ceil(self.total / REQUESTS_PER_OWNER)

    def count_asked_late(self, now: timedelta, interval: timedelta) -> int:
        """Count the further upstreams to ask, since requests wait so long.

        :param interval: time after which one more is asked.
        """
        return self.find_longest_wait(now) // interval

    def find_longest_wait(self, now: timedelta) -> timedelta:
        """Find for how long the account that waits longest does so."""
        waits = [self.find_wait(name, now) for name in self.waiting]
        return max(waits, default=ZERO)


def split_requests(
    waiting: Mapping[str, int], shares: int
) -> list[Counter[str]]:
    """Split waiting requests among a number of upstreams.

    With more upstreams than requests, each gets one request.

    :returns: number of requests by client account for each upstream.
    """
    split: list[Counter[str]] = [Counter() for _ in range(shares)]
    requests = [name for name, count in waiting.items() for _ in range(count)]
    for turn in range(max(len(requests), shares) if split else 0):
        split[turn % shares][requests[turn % len(requests)]] += 1
    return split
