"""Attempts of one request: which upstream next, and when to give up."""

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
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.routing import AllowedRegions, Route

# Retry-After of a refused request; another daemon may serve it.
REFUSAL_RETRY_AFTER = timedelta(milliseconds=200)
# Share of an idempotent request's time after which its first attempt is given
# up, until answers on the route are known.
FIRST_ATTEMPT_SHARE = 0.4
MIN_FIRST_ATTEMPT_TIMEOUT = timedelta(milliseconds=250)
# Requests with less time left are refused at once.
MIN_TIME_LEFT = timedelta(milliseconds=5)


@dataclass(slots=True)
class ForwardedRequest:
    """A caller's request on its way to an upstream.

    :param service: where it goes.
    :param deadline: time since boot at which its caller stops waiting.
    :param allowed_regions: where it may run.
    :param replayable: whether its body can be sent once more.
    :param fingerprint: the same for all requests that are repeats of it.
    :param attempts: upstreams that were chosen for it.
    :param unreachable: upstreams that could not be connected to.
    :param may_have_run: whether one of them may have begun to run it.
    :param attempt_began: time since boot at which the last one was chosen.
    :param unresponsive_data_centres: data centres of upstreams that gave no
        answer.
    :param attempt_timeout: how long it waits before another upstream is tried,
        zero if none will be.
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
    attempt_timeout: timedelta = timedelta(0)
    tried: set[str] = field(default_factory=set)
    unresponsive_data_centres: set[str] = field(default_factory=set)
    unreachable: set[str] = field(default_factory=set)

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind is RouteKind.idempotent or self.route.resumable


class Forwarder:
    """Decides on the attempts of requests."""

    def __init__(
        self, pool: Pool, quarantine: Quarantine, clock: Clock
    ) -> None:
        """Keep the pool that attempts choose from."""
        self._pool = pool
        self._quarantine = quarantine
        self._timeouts = AttemptTimeouts()
        self._clock = clock

    def find_time_left(self, forwarding: ForwardedRequest) -> timedelta:
        """Tell how long the caller still waits."""
        return forwarding.deadline - self._clock.elapsed()

    async def admit(self, forwarding: ForwardedRequest) -> None:
        """Let a request be sent to an upstream, or once more to another.

        :raises RefusedError: if it ends the upstreams that run it.
        """
        await self._quarantine.admit(
            forwarding.fingerprint, may_have_run=forwarding.may_have_run
        )

    def choose(self, forwarding: ForwardedRequest) -> Upstream:
        """Choose the upstream of the next attempt.

        :raises RefusedError: if none can be tried, or there is no time.
        """
        if self.find_time_left(forwarding) < MIN_TIME_LEFT:
            raise RefusedError(self.build_deadline_refusal(forwarding))
        avoided = self._quarantine.list_avoided(forwarding.fingerprint)
        upstream = self._pool.choose(
            forwarding.service,
            forwarding.tried.union(avoided),
            forwarding.unresponsive_data_centres,
            forwarding.allowed_regions,
        )
        if upstream is None and forwarding.may_have_run:
            # One that broke off may well serve the rest; where it refused,
            # asking it again at once would only be refused again.
            upstream = self._pool.choose(
                forwarding.service,
                forwarding.unreachable.union(avoided),
                allowed=forwarding.allowed_regions,
            )
        if upstream is None:
            raise RefusedError(_refuse_without(forwarding))
        forwarding.attempts += 1
        forwarding.attempt_began = self._clock.elapsed()
        forwarding.tried.add(upstream.name)
        return upstream

    def find_timeout(self, forwarding: ForwardedRequest) -> timedelta:
        """Tell how long to wait for the head of an attempt's answer."""
        left = self.find_time_left(forwarding)
        if not self.may_repeat(forwarding, not_run=False):
            forwarding.attempt_timeout = timedelta(0)
            return left
        longest = min(
            left, max(left * FIRST_ATTEMPT_SHARE, MIN_FIRST_ATTEMPT_TIMEOUT)
        )
        wait = self._timeouts.find_timeout(forwarding.route.name, longest)
        forwarding.attempt_timeout = wait
        return wait

    def on_answer(self, forwarding: ForwardedRequest) -> None:
        """Learn that the attempt's answer begins to come."""
        took = self._clock.elapsed() - forwarding.attempt_began
        self._timeouts.on_answer(forwarding.route.name, took)

    def on_no_response(
        self, forwarding: ForwardedRequest, upstream: Upstream
    ) -> None:
        """Learn that an upstream could not be reached, or did not answer."""
        forwarding.unresponsive_data_centres.add(upstream.member.data_centre)

    def on_not_sent(
        self, forwarding: ForwardedRequest, upstream: Upstream
    ) -> None:
        """Learn that no connection was made for the attempt.

        Upstreams that ended are registered for seconds; the few attempts that
        a request has are for those that live.
        """
        forwarding.unreachable.add(upstream.name)

    def on_timeout(self, forwarding: ForwardedRequest) -> None:
        """Learn that the attempt's answer did not come in time."""
        if forwarding.attempt_timeout:
            self._timeouts.on_timeout(
                forwarding.route.name, forwarding.attempt_timeout
            )

    def may_repeat(
        self, forwarding: ForwardedRequest, *, not_run: bool
    ) -> bool:
        """Tell whether another upstream may be tried.

        :param not_run: whether the last attempt certainly did not run.
        """
        if not forwarding.replayable:
            return False
        sent = forwarding.attempts - len(forwarding.unreachable)
        if sent >= forwarding.route.max_attempts:
            return False
        if self.find_time_left(forwarding) < MIN_TIME_LEFT:
            return False
        return not_run or forwarding.repeatable

    def build_refusal(self, forwarding: ForwardedRequest) -> Refusal:
        """Say why a request ends without an upstream's answer."""
        if self.find_time_left(forwarding) < MIN_TIME_LEFT:
            return self.build_deadline_refusal(forwarding)
        if forwarding.may_have_run:
            return Refusal(
                RefusalCode.outcome_unknown,
                'The upstream gave no whole answer.',
                not_run=False,
                step='forward',
            )
        return _refuse_without(forwarding)

    def build_deadline_refusal(self, forwarding: ForwardedRequest) -> Refusal:
        """Say that the time is over."""
        not_run = not forwarding.may_have_run
        return Refusal(
            RefusalCode.deadline_exceeded,
            'The time for this request is over.',
            not_run=not_run,
            retry_after=REFUSAL_RETRY_AFTER if not_run else None,
            step='forward',
        )


def _refuse_without(forwarding: ForwardedRequest) -> Refusal:
    not_run = not forwarding.may_have_run
    code = RefusalCode.overloaded if not_run else RefusalCode.outcome_unknown
    return Refusal(
        code,
        'No upstream takes this request now.',
        not_run=not_run,
        retry_after=REFUSAL_RETRY_AFTER if not_run else None,
        step='forward',
    )
