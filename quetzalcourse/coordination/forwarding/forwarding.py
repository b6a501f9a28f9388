"""Retry policy of forwarded requests: upstream choice, timeouts, refusals."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.forwarding.attempt_timeouts import (
    AttemptTimeouts,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.routing import RouteKind

if TYPE_CHECKING:
    from collections.abc import Collection

    from quetzalcourse.coordination.admission.entry_queue import WaitingRequest
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.forwarding.upstream_slot import UpstreamSlot
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.routing import AllowedRegions, Route

# Retry-After of a refused request; short, as another daemon may serve it.
REFUSAL_RETRY_AFTER = timedelta(milliseconds=200)
# Share of an idempotent request's remaining time after which an attempt is
# abandoned, until the response times of the route are known.
ATTEMPT_TIMEOUT_SHARE = 0.4
MIN_ATTEMPT_TIMEOUT = timedelta(milliseconds=250)
# Requests with less time left are refused at once.
MIN_TIME_LEFT = timedelta(milliseconds=5)
# Refusals of full upstreams after which they count as attempts.
MAX_FULL_REFUSALS = 8


@dataclass(slots=True)
class ForwardedRequest:
    """A caller's request and the state of its attempts.

    :param service: service that it is routed to.
    :param deadline: time since boot at which its caller stops waiting.
    :param allowed_regions: regions where it may run.
    :param replayable: whether its body can be sent again.
    :param fingerprint: identical for all repeats of the request.
    :param attempts: number of upstreams that were chosen for it.
    :param may_have_run: whether an upstream may have started to run it.
    :param attempt_began: time since boot at which the last attempt started.
    :param answer_time: time until the last response began.
    :param attempt_timeout: how long the attempt may take before another
        upstream is tried, zero if none will be.
    :param tried: ids of the upstreams that were chosen.
    :param unresponsive_data_centres: data centres of upstreams that could not
        be reached or did not respond.
    :param unreachable: ids of upstreams that could not be connected to.
    :param rank: rank of its client account or route, 0 is the most urgent.
    :param arrived_at: time since boot at which it arrived.
    :param key_digest: SHA-256 of its API key, empty if none is required.
    :param full_refusals: attempts that a full upstream did not run.
    :param refused_by: ids of the upstreams that did not run it as they were
        full.
    :param waiting: its place among the requests that wait for a slot.
    :param slot: slot of the upstream that its current attempt uses.
    """

    request_id: str
    route: Route
    service: str
    client_account: str
    deadline: timedelta
    allowed_regions: AllowedRegions = None
    replayable: bool = True
    fingerprint: str = ''
    attempts: int = 0
    may_have_run: bool = False
    attempt_began: timedelta = timedelta(0)
    answer_time: timedelta = timedelta(0)
    attempt_timeout: timedelta = timedelta(0)
    tried: set[str] = field(default_factory=set)
    unresponsive_data_centres: set[str] = field(default_factory=set)
    unreachable: set[str] = field(default_factory=set)
    rank: int = 0
    arrived_at: timedelta = timedelta(0)
    key_digest: bytes = b''
    full_refusals: int = 0
    refused_by: set[str] = field(default_factory=set)
    waiting: WaitingRequest | None = None
    slot: UpstreamSlot | None = None

    @property
    def repeatable(self) -> bool:
        """Whether it may safely run more than once."""
        return self.route.kind is RouteKind.idempotent or self.route.resumable


class Forwarder:
    """Chooses upstreams, timeouts and retries of forwarded requests."""

    def __init__(
        self, pool: Pool, quarantine: Quarantine, clock: Clock
    ) -> None:
        """Start without response times of any route."""
        self._pool = pool
        self._quarantine = quarantine
        self._timeouts = AttemptTimeouts()
        self._clock = clock

    def find_time_left(self, request: ForwardedRequest) -> timedelta:
        """Return the time until the caller's deadline."""
        return request.deadline - self._clock.elapsed()

    async def admit(self, request: ForwardedRequest) -> None:
        """Check a request against the quarantine before each attempt.

        :raises RefusedError: if it crashes the upstreams that run it.
        """
        await self._quarantine.admit(
            request.fingerprint, may_have_run=request.may_have_run
        )

    def choose(self, request: ForwardedRequest) -> Upstream:
        """Choose the upstream of the next attempt.

        :raises RefusedError: if no upstream is left or the deadline is near.
        """
        if self.find_time_left(request) < MIN_TIME_LEFT:
            raise RefusedError(self.build_deadline_refusal(request))
        avoided = self._list_avoided(request)
        upstream = self._pool.choose(
            request.service,
            request.tried.union(avoided),
            request.unresponsive_data_centres,
            request.allowed_regions,
        )
        if upstream is None and request.may_have_run:
            # An upstream that broke off its response may still serve the
            # rest, but one that refused would only refuse again at once.
            upstream = self._pool.choose(
                request.service,
                request.unreachable.union(avoided),
                allowed=request.allowed_regions,
            )
        if upstream is None:
            raise RefusedError(_refuse_unavailable(request))
        self._on_chosen(request, upstream)
        return upstream

    def choose_free(
        self,
        request: ForwardedRequest,
        full: Collection[str],
        *,
        strict: bool,
    ) -> Upstream | None:
        """Choose an upstream with a free slot for a request that has not run.

        :param full: ids of upstreams without one.
        :param strict: whether a full upstream is never chosen. Otherwise the
            best one is, while any is free: it may be known better by its
            response times than by a report of its load.
        :returns: ``None`` while all that could run it are full.
        :raises RefusedError: if no upstream is left or the deadline is near.
        """
        if not full:
            return self.choose(request)
        if self.find_time_left(request) < MIN_TIME_LEFT:
            raise RefusedError(self.build_deadline_refusal(request))
        avoided = request.tried.union(self._list_avoided(request))
        best, free = (
            self._pool.choose(
                request.service,
                names,
                request.unresponsive_data_centres,
                request.allowed_regions,
            )
            for names in (avoided, avoided.union(full))
        )
        if best is None:
            raise RefusedError(_refuse_unavailable(request))
        now = self._clock.elapsed()
        if free is None or free.is_available(now) < best.is_available(now):
            # An ejected upstream is no better than one that is full.
            return None
        chosen = free if strict else best
        self._on_chosen(request, chosen)
        return chosen

    def _list_avoided(self, request: ForwardedRequest) -> set[str]:
        """List the upstreams that must not get a request.

        One that full upstreams refused goes back to these once it was sent to
        as many as its route allows.
        """
        avoided = set(self._quarantine.list_avoided(request.fingerprint))
        if len(request.refused_by) < request.route.max_attempts:
            return avoided
        others = {
            upstream.name
            for upstream in self._pool.list_service(request.service)
        }
        return avoided | (others - request.refused_by)

    def find_timeout(self, request: ForwardedRequest) -> timedelta:
        """Return how long to wait for the head of an attempt's response."""
        left = self.find_time_left(request)
        if not self.may_repeat(request, not_run=False):
            request.attempt_timeout = timedelta(0)
            return left
        longest = min(
            left, max(left * ATTEMPT_TIMEOUT_SHARE, MIN_ATTEMPT_TIMEOUT)
        )
        wait = self._timeouts.find_timeout(request.route.name, longest)
        request.attempt_timeout = wait
        return wait

    def on_answer(self, request: ForwardedRequest, upstream: Upstream) -> None:
        """Record the response time of the current attempt."""
        now = self._clock.elapsed()
        request.answer_time = now - request.attempt_began
        self._timeouts.on_answer(request.route.name, request.answer_time)
        self._pool.pace.on_response(upstream, request.answer_time, now)

    def on_no_response(
        self, request: ForwardedRequest, upstream: Upstream
    ) -> None:
        """Record that an upstream was unreachable or did not respond."""
        request.unresponsive_data_centres.add(upstream.member.data_centre)

    def on_not_sent(
        self, request: ForwardedRequest, upstream: Upstream
    ) -> None:
        """Record that no connection was made for the attempt.

        A crashed upstream stays registered for seconds. Such attempts don't
        count, so that the few attempts of a request go to live upstreams.
        """
        request.unreachable.add(upstream.name)

    def on_full(self, request: ForwardedRequest, upstream: Upstream) -> None:
        """Record that a full upstream did not run the request.

        Such attempts don't count, and it may be tried there again.
        """
        request.refused_by.add(upstream.name)
        if request.full_refusals < MAX_FULL_REFUSALS:
            request.full_refusals += 1
            request.tried.discard(upstream.name)

    def on_timeout(self, request: ForwardedRequest) -> None:
        """Record that the current attempt timed out."""
        if request.attempt_timeout:
            self._timeouts.on_timeout(
                request.route.name, request.attempt_timeout
            )

    def may_repeat(self, request: ForwardedRequest, *, not_run: bool) -> bool:
        """Return whether another upstream may be tried.

        :param not_run: whether the last attempt is known not to have run.
        """
        if not request.replayable:
            return False
        sent = request.attempts - len(request.unreachable)
        sent -= request.full_refusals
        if sent >= request.route.max_attempts:
            return False
        if self.find_time_left(request) < MIN_TIME_LEFT:
            return False
        return not_run or request.repeatable

    def build_refusal(self, request: ForwardedRequest) -> Refusal:
        """Build the refusal of a request without an upstream's response."""
        if self.find_time_left(request) < MIN_TIME_LEFT:
            return self.build_deadline_refusal(request)
        if request.may_have_run:
            return Refusal(
                RefusalCode.outcome_unknown,
                'The upstream gave no whole answer.',
                not_run=False,
                step='forward',
            )
        return _refuse_unavailable(request)

    def build_deadline_refusal(self, request: ForwardedRequest) -> Refusal:
        """Build the refusal of a request whose deadline has passed."""
        not_run = not request.may_have_run
        return Refusal(
            RefusalCode.deadline_exceeded,
            'The time for this request is over.',
            not_run=not_run,
            retry_after=REFUSAL_RETRY_AFTER if not_run else None,
            step='forward',
        )

    def _on_chosen(self, request: ForwardedRequest, upstream: Upstream) -> None:
        request.attempts += 1
        request.attempt_began = self._clock.elapsed()
        request.tried.add(upstream.name)


def _refuse_unavailable(request: ForwardedRequest) -> Refusal:
    not_run = not request.may_have_run
    code = RefusalCode.overloaded if not_run else RefusalCode.outcome_unknown
    return Refusal(
        code,
        'No upstream takes this request now.',
        not_run=not_run,
        retry_after=REFUSAL_RETRY_AFTER if not_run else None,
        step='forward',
    )
