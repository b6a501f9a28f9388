"""Replays requests of callers at one queue and its slots, in virtual time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.coordination.admission.entry_queue import (
    Stage,
    WaitingRequest,
)
from quetzalcourse.coordination.admission.service_admission import (
    ServiceAdmission,
    SlotCounts,
)

from quetzalcourse.coordination.admission.start_limits import (
    compute_start_limits,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzalcourse.coordination.admission.rejection import Rejection

START = timedelta(seconds=1000)
CHECK_INTERVAL = timedelta(milliseconds=10)
ATTEMPTS = 3
ROUND_TRIP = timedelta(milliseconds=3)
CONSTANT_RETRY_AFTER = timedelta(milliseconds=200)


@dataclass(frozen=True, slots=True)
class Service:
    """A service and what its callers expect.

    :param target: time in which an answer is on time.
    :param timeout: time that a caller waits, over all of its attempts.
    """

    slots: int
    slot_time: timedelta
    target: timedelta = timedelta(milliseconds=192)
    timeout: timedelta = timedelta(seconds=2)


@dataclass(slots=True, eq=False)
class ReplayedRequest:
    """A caller's request, with at most one more attempt, and its outcome.

    :param at: time of its first attempt.
    :param rejections: time of each rejection after its attempt began.
    :param served_in: time from its last attempt to its answer.
    :param waits: time that each started attempt waited.
    """

    account: str
    at: timedelta
    rank: int = 1
    attempts: int = 0
    attempt_at: timedelta = timedelta(0)
    rejections: list[timedelta] = field(default_factory=list)
    waits: list[timedelta] = field(default_factory=list)
    served_in: timedelta | None = None


class Policy(Protocol):
    """Decides which request starts and which is rejected."""

    def arrive(self, request: ReplayedRequest, replay: Replay) -> None:
        """Handle an attempt that arrives."""

    def fill(self, replay: Replay) -> None:
        """Handle a slot that became free."""

    def check(self, replay: Replay) -> None:
        """Handle the passing of time."""


class Replay:
    """Runs requests through a policy.

    ``running`` is the number of slots in use; ``free_at_rejection`` the most
    slots that were free when a request was rejected.
    """

    def __init__(self, service: Service, policy: Policy) -> None:
        """Start at rest."""
        self.service = service
        self.now = START
        self.running = 0
        self.free_at_rejection = 0
        self._policy = policy
        self._events: list[tuple[timedelta, int, str, ReplayedRequest]] = []
        self._numbers = 0

    @property
    def has_free_slot(self) -> bool:
        """Whether another request may start."""
        return self.running < self.service.slots

    def run(self, requests: Sequence[ReplayedRequest]) -> None:
        """Replay requests until all of them have ended."""
        for request in requests:
            self._schedule(request.at, 'arrival', request)
        checked = self.now
        while self._events:
            at, _, kind, request = heapq.heappop(self._events)
            while checked + CHECK_INTERVAL < at:
                checked += CHECK_INTERVAL
                self.now = checked
                self._policy.check(self)
            self.now = at
            self._apply(kind, request)

    def retry(self, request: ReplayedRequest, delay: timedelta) -> None:
        """Let an attempt arrive once more."""
        self._schedule(self.now + delay, 'retry', request)

    def start(self, request: ReplayedRequest) -> None:
        """Start an attempt."""
        self.running += 1
        request.waits.append(self.now - request.attempt_at)
        self._schedule(self.now + self.service.slot_time, 'end', request)

    def reject(self, request: ReplayedRequest, retry_after: timedelta) -> None:
        """Reject an attempt; its caller returns once."""
        free = self.service.slots - self.running
        self.free_at_rejection = max(self.free_at_rejection, free)
        request.rejections.append(self.now - request.attempt_at)
        if request.attempts < 2:
            self._schedule(self.now + retry_after, 'arrival', request)

    def _apply(self, kind: str, request: ReplayedRequest) -> None:
        if kind == 'end':
            self.running -= 1
            request.served_in = self.now - request.attempt_at
            self._policy.fill(self)
            return
        if kind == 'arrival':
            request.attempts += 1
            request.attempt_at = self.now
        self._policy.arrive(request, self)

    def _schedule(
        self, at: timedelta, kind: str, request: ReplayedRequest
    ) -> None:
        self._numbers += 1
        heapq.heappush(self._events, (at, self._numbers, kind, request))


class QueueingPolicy:
    """The decisions of the queue."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.admission = ServiceAdmission()
        self._requests: dict[WaitingRequest, ReplayedRequest] = {}
        self._places: dict[ReplayedRequest, WaitingRequest] = {}

    def arrive(self, request: ReplayedRequest, replay: Replay) -> None:
        """Start an attempt, or let it wait."""
        service = replay.service
        place = WaitingRequest(
            request.account,
            request.rank,
            Stage.returned if request.attempts > 1 else Stage.new,
            replay.now,
            compute_start_limits(
                replay.now,
                request.at + service.timeout,
                service.target,
                service.slot_time,
            ),
        )
        self._requests[place] = request
        self._places[request] = place
        self.fill(replay)
        if replay.has_free_slot:
            self.admission.queue.charge_start(place)
            replay.start(request)
        else:
            slots = _count_slots(replay)
            offered = self.admission.offer(place, slots, replay.now)
            self._reject(offered, replay)

    def fill(self, replay: Replay) -> None:
        """Start waiting attempts."""
        while replay.has_free_slot and self.admission.queue:
            taken = self.admission.take_next(_find_slot, replay.now)
            if taken is not None:
                replay.start(self._requests.pop(taken[0]))

    def check(self, replay: Replay) -> None:
        """Reject attempts that are late."""
        slots = _count_slots(replay)
        self._reject(self.admission.reject_late(slots, replay.now), replay)

    def _reject(
        self,
        rejected: Iterable[tuple[WaitingRequest, Rejection]],
        replay: Replay,
    ) -> None:
        for place, rejection in rejected:
            request = self._requests.pop(place)
            replay.reject(request, rejection.retry_after)


class ImmediatePolicy:
    """A few attempts at full upstreams, then a constant ``Retry-After``."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._refusals: dict[tuple[ReplayedRequest, int], int] = {}

    def arrive(self, request: ReplayedRequest, replay: Replay) -> None:
        """Start an attempt, or try elsewhere."""
        if replay.has_free_slot:
            replay.start(request)
            return
        key = (request, request.attempts)
        refusals = self._refusals.get(key, 0) + 1
        self._refusals[key] = refusals
        if refusals < ATTEMPTS:
            replay.retry(request, ROUND_TRIP)
        else:
            replay.reject(request, CONSTANT_RETRY_AFTER)

    def fill(self, replay: Replay) -> None:
        """Do nothing: no request waits."""

    def check(self, replay: Replay) -> None:
        """Do nothing: no request waits."""


def _find_slot(_: WaitingRequest) -> bool:
    return True


def _count_slots(replay: Replay) -> SlotCounts:
    service = replay.service
    free = service.slots - replay.running
    return SlotCounts(service.slots, free, service.slot_time)
