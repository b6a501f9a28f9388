"""Rejections of waiting requests, and when their callers may return.

When more requests arrive than can be served in time, those that would start
too late are rejected while their callers still have time for another attempt.
If all callers returned at once, they would only be rejected again, so each
gets a time of its own, in the order in which they were rejected.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.coordination.admission.entry_queue import WaitingRequest

ZERO = timedelta(0)
MIN_RETRY_AFTER = timedelta(milliseconds=5)
# Callers wait no longer than this share of the time that they have left.
RETRY_SHARE = 1 / 3
# Rejected requests that are remembered until they come back.
MAX_REMEMBERED = 4096


class RejectionReason(enum.StrEnum):
    """Why a waiting request was rejected."""

    late = 'late'
    queue_full = 'queue_full'
    expired = 'expired'
    refused = 'refused'
    stopping = 'stopping'


@dataclass(frozen=True, slots=True)
class Rejection:
    """Rejection of a request that has not run.

    :param waiting: number of requests ahead of it.
    :param drain: expected time until these have started.
    :param late_by: how much too late it would have started.
    :param retry_after: after which time its caller may return.
    """

    reason: RejectionReason
    waiting: int
    drain: timedelta
    late_by: timedelta
    retry_after: timedelta


class ReturnSchedule:
    """Times at which the callers of rejected requests may return."""

    def __init__(self) -> None:
        """Start without rejections."""
        self._last_turn = ZERO

    def assign(
        self,
        now: timedelta,
        delay: timedelta,
        interval: timedelta,
        time_left: timedelta,
    ) -> timedelta:
        """Assign the next turn.

        :param delay: time until the request could start in time.
        :param interval: time in which one request starts.
        :param time_left: time until the caller's deadline.
        :returns: time from now until the caller may return.
        """
        latest = now + max(time_left * RETRY_SHARE, MIN_RETRY_AFTER)
        turn = max(now + delay, self._last_turn + interval)
        turn = min(max(turn, now + MIN_RETRY_AFTER), latest)
        self._last_turn = max(turn, self._last_turn)
        return turn - now


class RejectedRequests:
    """Remembers rejected requests until their callers return.

    An attempt of a caller has a request id of its own, so a request is
    recognized by its client account and its fingerprint.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._expiries: OrderedDict[tuple[str, str], timedelta] = OrderedDict()

    def add(
        self, client_account: str, fingerprint: str, until: timedelta
    ) -> None:
        """Remember a request.

        :param until: time since boot at which its caller's deadline ends.
        """
        self._expiries[client_account, fingerprint] = until
        if len(self._expiries) > MAX_REMEMBERED:
            self._expiries.popitem(last=False)

    def pop(
        self, client_account: str, fingerprint: str, now: timedelta
    ) -> bool:
        """Forget a request.

        :returns: whether it was rejected and its deadline has not passed.
        """
        until = self._expiries.pop((client_account, fingerprint), ZERO)
        return until > now


def find_latest_start(request: WaitingRequest, now: timedelta) -> timedelta:
    """Return until when a start is worth waiting for.

    A request is rejected if it would be late, since as many others can be on
    time in its place. One that was kept beyond the time for decisions stays as
    long as its caller waits: a rejection would come too late to be of use.
    """
    if now > request.limits.decide_by:
        return request.limits.useful_until
    return request.limits.on_time_until
