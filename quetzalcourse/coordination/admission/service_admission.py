"""Decides which requests for one service wait, and which are rejected.

Under a burst of traffic beyond the slots of a service, as many requests wait
as can still start in time. The others are rejected within a quarter of the
time in which an answer is on time, none of them while a quarter of the known
slots is free.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

from quetzalcourse.coordination.admission.drain_estimate import DrainEstimate
from quetzalcourse.coordination.admission.entry_queue import (
    EntryQueue,
)
from quetzalcourse.coordination.admission.rejection import (
    Rejection,
    RejectionReason,
    ReturnSchedule,
    find_latest_start,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.admission.entry_queue import (
        AccountKey,
        WaitingRequest,
    )

Choice = TypeVar('Choice')
ZERO = timedelta(0)
# Nothing is rejected while this share of the slots is free.
FREE_SHARE = 1 / 4
# Requests that arrive later, but go first, make the others wait longer.
DRAIN_RESERVE = 1.25
# Limit for the memory of requests that wait.
MAX_WAITING = 1024


@dataclass(frozen=True, slots=True)
class SlotCounts:
    """Known slots of a service.

    :param free: slots that this daemon may use now.
    :param slot_time: expected time that a request holds a slot.
    """

    total: int
    free: int
    slot_time: timedelta

    @property
    def plentiful(self) -> bool:
        """Whether so many slots are free that nothing is rejected."""
        return self.total > 0 and self.free >= self.total * FREE_SHARE


@dataclass(frozen=True, slots=True)
class StartEstimate:
    """When a request is expected to start.

    :param ahead: number of waiting requests that go first.
    :param drain: expected time until it starts.
    :param late_by: how much too late that is.
    :param interval: time in which one request starts.
    """

    now: timedelta
    ahead: int
    drain: timedelta
    late_by: timedelta
    interval: timedelta


class ServiceAdmission:
    """Queue of one service and the decisions about its requests."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.queue = EntryQueue()
        self._drain = DrainEstimate()
        self._account_drains: dict[AccountKey, DrainEstimate] = {}
        self._schedule = ReturnSchedule()

    def offer(
        self, request: WaitingRequest, slots: SlotCounts, now: timedelta
    ) -> list[tuple[WaitingRequest, Rejection]]:
        """Add a request to the queue, or reject it.

        :returns: rejected requests: this one, or one that it displaces.
        """
        outlook = self._estimate_start(request, slots, now)
        if now > request.limits.useful_until:
            return [self._reject(request, outlook, RejectionReason.expired)]
        if outlook.late_by and not slots.plentiful:
            return [self._reject(request, outlook, RejectionReason.late)]
        self.queue.push(request)
        self._drain.on_waiting(now)
        drain = self._account_drains.setdefault(
            request.account, DrainEstimate()
        )
        drain.on_waiting(now)
        if len(self.queue) <= MAX_WAITING:
            return []
        last = self.queue.find_last() or request
        outlook = self._estimate_start(last, slots, now)
        self.leave(last)
        return [self._reject(last, outlook, RejectionReason.queue_full)]

    def take_next(
        self,
        find_upstream: Callable[[WaitingRequest], Choice | None],
        now: timedelta,
    ) -> tuple[WaitingRequest, Choice] | None:
        """Remove the next request for which there is an upstream."""
        taken = self.queue.take_next(find_upstream)
        if taken is not None:
            request = taken[0]
            self._drain.on_start(now)
            self._account_drains[request.account].on_start(now)
            self._update_waiting(request)
        return taken

    def leave(self, request: WaitingRequest) -> bool:
        """Remove a request whose caller left.

        :returns: whether it was waiting.
        """
        removed = self.queue.remove(request)
        self._update_waiting(request)
        return removed

    def reject_late(
        self, slots: SlotCounts, now: timedelta
    ) -> list[tuple[WaitingRequest, Rejection]]:
        """Remove the requests that can't start in time any more.

        Each removal brings the requests behind it forward. Those that are left
        at the end of the time for decisions keep their turn.
        """
        rejected = []
        view = self.queue.view_turns()
        for account, requests in self.queue.list_accounts():
            position = 0
            for request in requests:
                ahead = view.count_ahead(account, position), position
                outlook = self._estimate(request, ahead, slots, now)
                reason = _find_reason(request, outlook, slots, now)
                if reason is None:
                    position += 1
                    continue
                view.accounts[account].waiting -= 1
                self.leave(request)
                rejected.append(self._reject(request, outlook, reason))
        self._confirm_undecided(now)
        return rejected

    def reject_all(
        self, slots: SlotCounts, now: timedelta
    ) -> list[tuple[WaitingRequest, Rejection]]:
        """Remove all requests, as the daemon stops."""
        rejected = []
        for request in tuple(self.queue):
            outlook = self._estimate_start(request, slots, now)
            self.leave(request)
            rejected.append(
                self._reject(request, outlook, RejectionReason.stopping)
            )
        return rejected

    def reject_refused(
        self, request: WaitingRequest, slots: SlotCounts, now: timedelta
    ) -> tuple[WaitingRequest, Rejection]:
        """Reject a request that the upstreams refused too often."""
        outlook = self._estimate_start(request, slots, now)
        outlook = replace(
            outlook, late_by=max(outlook.late_by, slots.slot_time)
        )
        return self._reject(request, outlook, RejectionReason.refused)

    def _confirm_undecided(self, now: timedelta) -> None:
        """Let requests keep their turn after the time for decisions."""
        for request in tuple(self.queue):
            if now > request.limits.decide_by:
                self.queue.confirm(request)

    def _update_waiting(self, request: WaitingRequest) -> None:
        if not self.queue:
            self._drain.on_empty()
        if not self.queue.count_account(request.account):
            self._account_drains.pop(request.account, None)

    def _estimate_start(
        self, request: WaitingRequest, slots: SlotCounts, now: timedelta
    ) -> StartEstimate:
        ahead = self.queue.count_ahead(request, self.queue.view_turns())
        return self._estimate(request, ahead, slots, now)

    def _estimate(
        self,
        request: WaitingRequest,
        ahead: tuple[int, int],
        slots: SlotCounts,
        now: timedelta,
    ) -> StartEstimate:
        of_all, of_account = ahead
        total, slot_time = slots.total, slots.slot_time
        drain = self._drain.estimate(of_all, total, slot_time, now)
        own = self._account_drains.get(request.account)
        if own is not None:
            # Requests that arrive later, but go first, lower its rate.
            drain = max(drain, own.estimate(of_account, total, slot_time, now))
        latest = find_latest_start(request, now)
        return StartEstimate(
            now,
            of_all,
            drain,
            max(now + drain * DRAIN_RESERVE - latest, ZERO),
            self._drain.estimate(0, total, slot_time, now),
        )

    def _reject(
        self,
        request: WaitingRequest,
        outlook: StartEstimate,
        reason: RejectionReason,
    ) -> tuple[WaitingRequest, Rejection]:
        retry_after = self._schedule.assign(
            outlook.now,
            outlook.late_by,
            outlook.interval,
            request.limits.useful_until - outlook.now,
        )
        return request, Rejection(
            reason, outlook.ahead, outlook.drain, outlook.late_by, retry_after
        )


def _find_reason(
    request: WaitingRequest,
    outlook: StartEstimate,
    slots: SlotCounts,
    now: timedelta,
) -> RejectionReason | None:
    """Return why a waiting request is rejected, if it is."""
    if now > request.limits.useful_until:
        return RejectionReason.expired
    if slots.plentiful or not outlook.late_by:
        return None
    return RejectionReason.late
