"""Dispatch of calls to plain services, with retries on other upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import (
    NEVER_RAN,
    AttemptState,
    TrafficClass,
)
from quetzalcourse.state.manifest import Manifest, Service
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.slots import Grant, SlotRequest
from quetzalcourse.state.usage import UsageFigures

if TYPE_CHECKING:
    from quetzalcourse.coordination.slots.admission import Admission
    from quetzalcourse.coordination.routing.outlier_detection import (
        OutlierDetector,
    )
    from quetzalcourse.coordination.requests.retries import RetryBudget
    from quetzalcourse.coordination.routing.routing import Router
    from quetzalcourse.coordination.usage.usage_counter import UsageCounter
    from quetzalcourse.state.clock import Clock

DEFAULT_SERVICE_TIMEOUT = timedelta(seconds=30)
MIN_RETRY_AFTER = timedelta(seconds=1)
MAX_ATTEMPTS = 3
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class ServiceCall:
    """A call to a plain service, without its body, and its progress.

    :param service: name of the service in the manifest.
    :param method: HTTP method.
    :param deadline: time since boot at which the caller stops waiting.
    :param replayable: whether the body can be sent again.
    :param may_have_run: whether an attempt may have run.
    :param answer_started: whether the caller has received part of the answer.
    :param state: known state of the last attempt.
    :param started_at: time since boot at which the last attempt started.
    """

    service: str
    method: str
    client_account: str
    deadline: timedelta | None = None
    replayable: bool = True
    may_have_run: bool = False
    answer_started: bool = False
    state: AttemptState = AttemptState.not_sent
    attempts: int = 0
    failed: set[str] = field(default_factory=set)
    started_at: timedelta = timedelta(0)


class ServiceDispatcher:
    """Selects upstreams for calls to plain services.

    :param health: tracks which upstreams fail.
    :param budget: limits the retries of each account.
    """

    def __init__(
        self,
        admission: Admission,
        router: Router,
        health: OutlierDetector,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        """Create without services."""
        self._admission = admission
        self._router = router
        self._health = health
        self._budget = budget
        self._clock = clock
        self._manifest = Manifest()
        self.usage: UsageCounter | None = None

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the services of a new manifest."""
        self._manifest = manifest

    def find(self, name: str) -> Service:
        """Find a service.

        :raises RefusedError: if the manifest has no service of that name.
        """
        service = self._manifest.services.get(name)
        if service is None:
            raise RefusedError(
                Refusal(
                    RefusalCode.unknown_service,
                    f'There is no service {name!r}.',
                    not_run=True,
                    step='route',
                )
            )
        return service

    def is_repeatable(self, call: ServiceCall) -> bool:
        """Check whether a call may run twice."""
        return call.method in self.find(call.service).repeatable_methods

    async def acquire(self, call: ServiceCall) -> Grant:
        """Wait for a slot of an upstream of the service.

        :raises RefusedError: if no upstream can be tried.
        """
        if not call.attempts:
            self._budget.earn(call.client_account)
        while True:
            slot_request = SlotRequest(
                call.client_account,
                TrafficClass.human,
                self._rank(call),
                call.deadline
                or self._clock.elapsed() + DEFAULT_SERVICE_TIMEOUT,
                resumed=call.attempts > 0,
            )
            try:
                grant = await self._admission.acquire(slot_request)
            except RefusedError as error:
                raise RefusedError(
                    adjust_not_run(error.refusal, call)
                ) from error
            name = grant.upstream.name
            if self._health.admits(name) and self._router.is_available(name):
                self._begin(call, name)
                return grant
            self._admission.release(grant)

    def release(self, grant: Grant) -> None:
        """Release a slot."""
        self._health.on_end(grant.upstream.name)
        self._admission.release(grant)

    def on_answered(self, call: ServiceCall, grant: Grant) -> None:
        """Record that a call received a complete answer."""
        call.state = AttemptState.complete
        if self.usage is not None:
            duration = self._clock.elapsed() - call.started_at
            figures = UsageFigures(
                requests=1, milliseconds=duration // MILLISECOND
            )
            self.usage.record(
                grant.upstream,
                call.client_account,
                TrafficClass.human,
                figures,
            )
        self._health.on_success(grant.upstream.name)

    def on_failed(self, call: ServiceCall, grant: Grant) -> None:
        """Record a failed attempt; return if the call should be retried.

        :raises RefusedError: if the call must not or can't be retried.
        """
        peer = grant.upstream.name
        connected = call.state not in NEVER_RAN
        call.may_have_run = call.may_have_run or connected
        call.failed.add(peer)
        self._health.on_failure(peer, connected=connected)
        if not self._may_retry(call):
            raise RefusedError(_refuse_failed(call, peer))

    def on_unhealthy(self, grant: Grant) -> None:
        """Record an answer in which the upstream reported itself unhealthy."""
        self._health.on_failure(grant.upstream.name, connected=True)

    def _begin(self, call: ServiceCall, name: str) -> None:
        call.attempts += 1
        call.started_at = self._clock.elapsed()
        call.state = AttemptState.not_sent
        self._health.on_start(name)

    def _rank(self, call: ServiceCall) -> tuple[str, ...]:
        names = self.find(call.service).upstreams
        open_names = [name for name in names if self._router.is_available(name)]
        admitted = [name for name in open_names if self._health.admits(name)]
        if not admitted:
            raise RefusedError(self._refuse_no_upstream(call, open_names))
        untried = [name for name in admitted if name not in call.failed]
        return tuple(sorted(untried or admitted, key=self._admission.running))

    def _may_retry(self, call: ServiceCall) -> bool:
        if call.answer_started or not call.replayable:
            return False
        if call.attempts >= MAX_ATTEMPTS or self._is_past_deadline(call):
            return False
        if call.state in NEVER_RAN or self.is_repeatable(call):
            return self._budget.spend(call.client_account)
        return False

    def _is_past_deadline(self, call: ServiceCall) -> bool:
        if call.deadline is None:
            return False
        return call.deadline <= self._clock.elapsed()

    def _refuse_no_upstream(
        self, call: ServiceCall, names: list[str]
    ) -> Refusal:
        wait = self._health.find_retry_delay(names)
        return Refusal(
            RefusalCode.upstream_failed,
            'No upstream of the service can be tried now.',
            not_run=not call.may_have_run,
            retry_after=max(wait, MIN_RETRY_AFTER),
            step='route',
        )


def adjust_not_run(refusal: Refusal, call: ServiceCall) -> Refusal:
    """Adjust a refusal of one attempt to the whole call.

    An earlier attempt may have run, which the component that refuses the next
    one does not know.
    """
    return replace(refusal, not_run=refusal.not_run and not call.may_have_run)


def _refuse_failed(call: ServiceCall, peer: str) -> Refusal:
    code = RefusalCode.upstream_failed
    if call.may_have_run:
        code = RefusalCode.outcome_unknown
    return Refusal(
        code,
        'The service gave no whole answer.',
        not_run=not call.may_have_run,
        step='call service',
        peer=peer,
    )
