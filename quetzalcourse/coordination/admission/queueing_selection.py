"""Upstream selection with a queue: requests wait at their daemon for a slot.

Under a burst beyond the slots of a service, a request is sent once a slot is
free instead of being tried at one full upstream after another. What a full
upstream refuses goes back to its place in the queue.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.admission.account_labels import AccountLabels
from quetzalcourse.coordination.admission.entry_queue import (
    Stage,
    WaitingRequest,
)
from quetzalcourse.coordination.admission.rejection import (
    Rejection,
    RejectedRequests,
)
from quetzalcourse.coordination.admission.service_admission import (
    ServiceAdmission,
    SlotCounts,
)
from quetzalcourse.coordination.admission.start_limits import (
    compute_start_limits,
)
from quetzalcourse.coordination.forwarding.route_table import refuse_key
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from quetzalcourse.coordination.admission.drain_estimate import (
        ServiceTimes,
    )
    from quetzalcourse.coordination.admission.slot_limits import SlotLimits
    from quetzalcourse.coordination.forwarding.forwarding import (
        ForwardedRequest,
        Forwarder,
    )
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.routing import RoutingManifest

# While requests wait, free slots and late requests are looked for this often.
CHECK_INTERVAL = timedelta(milliseconds=10)
Rejected = list[tuple[WaitingRequest, Rejection]]
log = get_log('admission')


@dataclass(frozen=True, slots=True)
class _Waiter:
    request: ForwardedRequest
    upstream: asyncio.Future[Upstream]

    def fail(self, error: RefusedError) -> None:
        """Refuse the request, unless its caller has left."""
        if not self.upstream.done():
            self.upstream.set_exception(error)


class QueueingSelection:
    """Lets requests wait for a slot in the order of their queue.

    An attempt after one that may have run does not wait.

    :param strict: whether the limits are exact, so that a full upstream gets
        no request while another one is free.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        pool: Pool,
        limits: SlotLimits,
        times: ServiceTimes,
        routes: RouteTable,
        clock: Clock,
        counters: Counters,
        *,
        strict: bool,
    ) -> None:
        """Start without waiting requests."""
        self._forwarder = forwarder
        self._pool = pool
        self._limits = limits
        self._strict = strict
        self._times = times
        self._routes = routes
        self._clock = clock
        self._counters = counters
        self._labels = AccountLabels()
        self._services: dict[str, ServiceAdmission] = {}
        self._waiters: dict[WaitingRequest, _Waiter] = {}
        self._rejected = RejectedRequests()
        self._check: asyncio.Task[None] | None = None
        self._stopping = False
        limits.on_free(self._send_waiting)
        routes.on_manifest(self._on_manifest)

    async def acquire(self, request: ForwardedRequest) -> Upstream:
        """Select an upstream with a free slot, waiting for one if necessary.

        :raises RefusedError: if there is none, or the request is rejected.
        """
        place = request.waiting or self._add_place(request)
        if request.may_have_run:
            upstream = self._forwarder.choose(request)
            self._on_chosen(request, place, upstream)
            return upstream
        # Slots that are free after this are of no use to those that wait.
        self._send_waiting(request.service)
        free = self._choose_free(request)
        if free is None:
            return await self._wait(request, place)
        self._on_chosen(request, place, free)
        return free

    def release(self, request: ForwardedRequest) -> None:
        """Release the slot of an attempt, and send the next request."""
        slot = request.slot
        if slot is None or not slot.held:
            return
        slot.release()
        place = request.waiting
        if place is not None and place.charged:
            held = self._clock.elapsed() - request.attempt_began
            queue = self._find_service(request.service).queue
            queue.charge_end(place, held.total_seconds())
            place.charged = 0
        self._limits.on_ended(slot.upstream, request.client_account)
        self._send_waiting(request.service)

    def on_full(self, request: ForwardedRequest, upstream: Upstream) -> None:
        """Record that an upstream did not run a request since it was full."""
        self._limits.on_full(upstream)
        if request.may_have_run:
            return
        self._forwarder.on_full(request, upstream)
        place = request.waiting
        if place is not None and place.charged:
            self._find_service(request.service).queue.refund(place)
            place.charged = 0

    def on_served(self, request: ForwardedRequest) -> None:
        """Record how long the current attempt held its slot."""
        held = self._clock.elapsed() - request.attempt_began
        self._times.on_finished(
            request.service, request.route.name, held, request.answer_time
        )

    def build_refusal(self, request: ForwardedRequest) -> Refusal:
        """Build the refusal of a request that is not tried again."""
        refusal = self._forwarder.build_refusal(request)
        place = request.waiting
        if place is None or refusal.code is not RefusalCode.overloaded:
            return refusal
        rejected = self._find_service(request.service).reject_refused(
            place, self._count_slots(request.service), self._clock.elapsed()
        )
        return self._record_rejection(request, rejected[1])

    def on_drain(self) -> None:
        """Reject the requests that wait; other daemons can serve them."""
        self._stopping = True
        for name in self._services:
            self._reject_all(name)

    def stop(self) -> None:
        """Stop the periodic check."""
        self.on_drain()
        if self._check is not None:
            self._check.cancel()

    def _add_place(self, request: ForwardedRequest) -> WaitingRequest:
        route = request.route
        returned = self._rejected.pop(
            request.client_account, request.fingerprint, self._clock.elapsed()
        )
        request.waiting = WaitingRequest(
            request.client_account,
            request.rank,
            Stage.returned if returned else Stage.new,
            request.arrived_at,
            compute_start_limits(
                request.arrived_at,
                request.deadline,
                route.target_latency,
                self._times.find_answer_time(route.name),
            ),
        )
        return request.waiting

    async def _wait(
        self, request: ForwardedRequest, place: WaitingRequest
    ) -> Upstream:
        service = self._find_service(request.service)
        waiter = _Waiter(request, asyncio.get_running_loop().create_future())
        self._waiters[place] = waiter
        slots = self._count_slots(request.service)
        self._reject(service.offer(place, slots, self._clock.elapsed()))
        if self._stopping:
            self._reject_all(request.service)
        self._on_queue_changed(request.service)
        self._start_check()
        try:
            return await waiter.upstream
        except asyncio.CancelledError:
            self._on_caller_left(waiter, place)
            raise
        finally:
            self._waiters.pop(place, None)

    def _on_caller_left(self, waiter: _Waiter, place: WaitingRequest) -> None:
        name = waiter.request.service
        if self._find_service(name).leave(place):
            self._on_queue_changed(name)
        # A slot may have been granted since the task ran last.
        self.release(waiter.request)

    def _send_waiting(self, name: str) -> None:
        """Send the requests that wait for a service to its free slots."""
        service = self._services.get(name)
        if service is None or not service.queue:
            return
        refused: list[tuple[WaitingRequest, RefusedError]] = []

        def choose(place: WaitingRequest) -> Upstream | None:
            waiter = self._waiters[place]
            if waiter.upstream.done():
                # Its caller has left, and its task has not run since.
                return None
            try:
                return self._choose_free(waiter.request)
            except RefusedError as error:
                refused.append((place, error))
                return None

        now = self._clock.elapsed()
        while self._has_free_slot(name):
            taken = service.take_next(choose, now)
            if taken is None:
                break
            place, upstream = taken
            waiter = self._waiters[place]
            self._on_chosen(waiter.request, place, upstream)
            waiter.upstream.set_result(upstream)
        for place, error in refused:
            if service.leave(place):
                self._waiters[place].fail(error)
        self._on_queue_changed(name)

    def _choose_free(self, request: ForwardedRequest) -> Upstream | None:
        full = [
            upstream.name
            for upstream in self._pool.list_service(request.service)
            if not self._limits.has_free_slot(upstream)
        ]
        return self._forwarder.choose_free(request, full, strict=self._strict)

    def _has_free_slot(self, name: str) -> bool:
        upstreams = self._pool.list_service(name)
        accepting = [one for one in upstreams if one.accepts_work]
        # Without any upstream, the requests are refused as they are chosen for.
        return not accepting or any(
            self._limits.has_free_slot(upstream) for upstream in accepting
        )

    def _on_chosen(
        self,
        request: ForwardedRequest,
        place: WaitingRequest,
        upstream: Upstream,
    ) -> None:
        account = request.client_account
        if not place.charged:
            self._find_service(request.service).queue.charge_start(place)
        request.slot = self._pool.take_slot(upstream)
        self._limits.on_sent(upstream, account)
        waited = self._clock.elapsed() - place.arrived_at
        self._counters.observe(
            'request_wait', waited.total_seconds(), service=request.service
        )
        self._counters.add(
            'requests_sent',
            service=request.service,
            client_account=self._labels.find_label(account),
        )

    def _find_service(self, name: str) -> ServiceAdmission:
        return self._services.setdefault(name, ServiceAdmission())

    def _count_slots(self, name: str) -> SlotCounts:
        now = self._clock.elapsed()
        total = 0
        free = 0
        for upstream in self._pool.list_service(name):
            if not upstream.is_available(now):
                continue
            slots = upstream.member.slots
            total += slots
            if self._limits.has_free_slot(upstream):
                free += max(slots - upstream.count_load(now), 1)
        return SlotCounts(total, free, self._times.find_slot_time(name))

    def _reject_all(self, name: str) -> None:
        service = self._find_service(name)
        slots = self._count_slots(name)
        self._reject(service.reject_all(slots, self._clock.elapsed()))
        self._on_queue_changed(name)

    def _reject(self, rejected: Rejected) -> None:
        for place, rejection in rejected:
            waiter = self._waiters[place]
            refusal = self._record_rejection(waiter.request, rejection)
            waiter.fail(RefusedError(refusal))

    def _record_rejection(
        self, request: ForwardedRequest, rejection: Rejection
    ) -> Refusal:
        self._rejected.add(
            request.client_account, request.fingerprint, request.deadline
        )
        self._counters.add(
            'requests_rejected',
            service=request.service,
            reason=rejection.reason.value,
        )
        log.info(
            'Request rejected.',
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            service=request.service,
            reason=rejection.reason.value,
            waiting=rejection.waiting,
            drain_seconds=_round(rejection.drain),
            late_by_seconds=_round(rejection.late_by),
            retry_after_seconds=_round(rejection.retry_after),
        )
        return Refusal(
            RefusalCode.overloaded,
            'Too many requests wait for this service.',
            not_run=True,
            retry_after=rejection.retry_after,
            step='queue',
        )

    def _on_manifest(self, _: RoutingManifest) -> None:
        """Refuse waiting requests whose API key was withdrawn."""
        for place, waiter in tuple(self._waiters.items()):
            request = waiter.request
            if not request.key_digest or self._routes.is_key_valid(
                request.key_digest
            ):
                continue
            if self._find_service(request.service).leave(place):
                waiter.fail(RefusedError(refuse_key()))
                self._on_queue_changed(request.service)

    def _on_queue_changed(self, name: str) -> None:
        queue = self._find_service(name).queue
        self._counters.set('requests_waiting', len(queue), service=name)
        self._limits.on_waiting(name, queue.accounts)

    def _start_check(self) -> None:
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._run_checks())

    async def _run_checks(self) -> None:
        while self._waiters:
            await self._clock.sleep(CHECK_INTERVAL)
            for name, service in self._services.items():
                self._send_waiting(name)
                if service.queue:
                    self._reject(
                        service.reject_late(
                            self._count_slots(name), self._clock.elapsed()
                        )
                    )
                    self._on_queue_changed(name)


def _round(duration: timedelta) -> float:
    return round(duration.total_seconds(), 3)
