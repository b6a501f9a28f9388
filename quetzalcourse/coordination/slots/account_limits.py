"""Per-account admission limits, and the refusals that callers receive."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.state.manifest import ClientAccount
    from quetzalcourse.state.slots import Grant, SlotRequest

BURST_SECONDS = 2.0
MIN_LIMIT_PER_DAEMON = 4
BALANCING_SLACK = 2


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    refilled_at: timedelta


class AccountLimits:
    """Limits the rate, concurrency and queue length of each account.

    Limits apply to the whole deployment. The load balancer spreads an account's
    requests evenly but not exactly, so each daemon admits up to twice its even
    share, and never fewer than a few; daemons exchange no messages for this.
    """

    def __init__(self) -> None:
        """Create without accounts, which leaves every request unlimited."""
        self.daemons = 1
        self._accounts: Mapping[str, ClientAccount] = {}
        self._buckets: dict[str, _TokenBucket] = {}
        self._in_flight: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()

    def on_manifest(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Apply the accounts of a new manifest."""
        self._accounts = accounts
        for name in tuple(self._buckets):
            if name not in accounts:
                self._buckets.pop(name)

    def check(self, request: SlotRequest, now: timedelta) -> Refusal | None:
        """Check a request against its account's limits and count it.

        Training is exempt: a step is bounded by its own size, and its samples
        wait instead of failing.

        :returns: the refusal if a limit is reached.
        """
        account = self._accounts.get(request.client_account)
        if account is None or not _is_limited(request):
            return None
        if self._in_flight[account.name] >= self._limit_per_daemon(
            account.concurrent
        ):
            return _refuse(
                RefusalCode.rate_limited,
                f'The account may have {account.concurrent} requests at once.',
                timedelta(seconds=1),
            )
        if request.resumed:
            return None
        return self._take_token(account, now)

    def check_queue(self, request: SlotRequest) -> Refusal | None:
        """Refuse a request that joined a queue that was already full."""
        account = self._accounts.get(request.client_account)
        if account is None or not _is_limited(request):
            return None
        if self._waiting[account.name] <= self._limit_per_daemon(
            account.queued
        ):
            return None
        return _refuse(
            RefusalCode.overloaded,
            f'{account.queued} requests of the account may wait at once.',
            timedelta(seconds=2),
        )

    def on_arrived(self, work: SlotRequest | Grant) -> None:
        """Count a request as in flight, whether it waits or runs."""
        if _is_limited(work):
            self._in_flight[work.client_account] += 1

    def on_left(self, work: SlotRequest | Grant) -> None:
        """Stop counting a request that no longer waits or runs."""
        if _is_limited(work):
            _subtract(self._in_flight, work.client_account)

    def on_queued(self, request: SlotRequest) -> None:
        """Count a request that enters the queue."""
        if _is_limited(request):
            self._waiting[request.client_account] += 1

    def on_unqueued(self, request: SlotRequest) -> None:
        """Stop counting a request that leaves the queue."""
        if _is_limited(request):
            _subtract(self._waiting, request.client_account)

    def _limit_per_daemon(self, limit: int) -> int:
        if self.daemons <= 1:
            return limit
        even_share = math.ceil(BALANCING_SLACK * limit / self.daemons)
        return min(limit, max(even_share, MIN_LIMIT_PER_DAEMON))

    def _take_token(
        self,
        account: ClientAccount,
        now: timedelta,
    ) -> Refusal | None:
        slack = BALANCING_SLACK if self.daemons > 1 else 1
        rate = min(
            account.requests_per_second * slack / self.daemons,
            account.requests_per_second,
        )
        size = max(rate * BURST_SECONDS, 1.0)
        if self.daemons > 1:
            size = max(size, float(MIN_LIMIT_PER_DAEMON))
        bucket = self._buckets.setdefault(account.name, _TokenBucket(size, now))
        refill = (now - bucket.refilled_at).total_seconds() * rate
        bucket.tokens = min(bucket.tokens + refill, size)
        bucket.refilled_at = now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return None
        return _refuse(
            RefusalCode.rate_limited,
            f'The account may send {account.requests_per_second:g} '
            'requests a second.',
            timedelta(seconds=(1 - bucket.tokens) / rate),
        )


def _is_limited(work: SlotRequest | Grant) -> bool:
    return work.traffic_class is TrafficClass.human


def _subtract(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if not counts[name]:
        counts.pop(name)


def _refuse(
    code: RefusalCode,
    message: str,
    retry_after: timedelta,
) -> Refusal:
    return Refusal(
        code,
        message,
        not_run=True,
        retry_after=retry_after,
        step='admit',
    )
