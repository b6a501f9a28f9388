"""Admission control: which request gets a slot of which upstream, and when."""

from __future__ import annotations

import asyncio
import itertools
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.account_limits import AccountLimits
from quetzalcourse.coordination.slots.deadline_timer import DeadlineTimer
from quetzalcourse.coordination.slots.fair_queue import FairQueue
from quetzalcourse.coordination.slots.held_slots import HeldSlots
from quetzalcourse.coordination.slots.standalone import build_standalone_policy
from quetzalcourse.coordination.slots.ownership import hash_name
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.slots import (
    Grant,
    QueueKey,
    SlotRequest,
    SlotWaiter,
)

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import SlotPolicy
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.manifest import Manifest, Upstream

MAX_WAITING = 4096
OVERLOAD_RETRY_AFTER = timedelta(seconds=5)
CLASSES_BY_PRIORITY = (TrafficClass.human, TrafficClass.training)


class Admission:
    """Assigns upstream slots to waiting requests, human requests first.

    Requests queue here and not in the engine, since an engine admits in order
    of arrival and a human request would wait there behind training.

    :param clock: used to detect passed deadlines.
    :param policy: limits how much this daemon may run on each upstream; without
        one, this daemon uses all slots alone.
    :param max_waiting: largest number of requests that may wait here at once.
    """

    def __init__(
        self,
        clock: Clock,
        policy: SlotPolicy | None = None,
        counters: Counters | None = None,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        """Create without upstreams."""
        self.limits = AccountLimits()
        self._clock = clock
        self._policy = policy or build_standalone_policy(clock)
        self._counters = counters or Counters()
        self._max_waiting = max_waiting
        self._upstreams: dict[str, Upstream] = {}
        self._account_names: dict[int, str] = {}
        self._queue = FairQueue()
        self._held = HeldSlots()
        self._arrivals = itertools.count()
        self._deadlines = DeadlineTimer(clock, self._expire)
        self._policy.listen(self.on_free, self.on_revoked)

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the upstreams and accounts of a new manifest."""
        self._upstreams = dict(manifest.upstreams)
        accounts = manifest.client_accounts
        self._account_names = {hash_name(name): name for name in accounts}
        self._queue.weights = {
            hash_name(account.name): account.weight
            for account in accounts.values()
        }
        self.limits.on_manifest(accounts)
        self._policy.on_manifest(manifest)
        for name in self._upstreams:
            self.on_free(name)

    def on_stop(self) -> None:
        """Stop the deadline timer."""
        self._deadlines.stop()

    def running(self, upstream: str) -> int:
        """Return the number of requests that hold a slot of an upstream."""
        return self._held.running(upstream)

    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._queue)

    async def acquire(self, request: SlotRequest) -> Grant:
        """Wait for a slot.

        :param request: the request to admit.
        :returns: the slot, to be returned with :meth:`release`.
        :raises RefusedError: if a limit is reached, the queue is full or the
            deadline passes first; the request has not run in that case.
        """
        now = self._clock.elapsed()
        refusal = self.limits.check(request, now)
        if request.deadline <= now:
            refusal = _refuse_expired()
        if refusal is not None:
            self._count_refusal(request, refusal)
            raise RefusedError(refusal)
        waiter = self._enqueue(request, now)
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            self._on_cancelled(waiter)
            raise

    def release(self, grant: Grant, tokens: int = 0) -> None:
        """Return a slot; releasing a grant again has no effect.

        :param tokens: number of tokens generated while the slot was held.
        """
        charged = self._held.remove(grant)
        if charged is None:
            return
        upstream = grant.upstream.name
        key = make_load_key(grant.client_account, grant.traffic_class)
        self.limits.on_left(grant)
        self._queue.charge_end(key, charged, tokens)
        self._policy.on_released(upstream, key, tokens)
        self._publish_running(upstream)
        self.on_free(upstream)

    def on_free(self, upstream: str) -> None:
        """Assign the free slots of an upstream, human requests first."""
        if upstream not in self._upstreams:
            return
        for traffic_class in CLASSES_BY_PRIORITY:
            while self._policy.may_start(upstream, traffic_class):
                waiter = self._queue.find_next(upstream, traffic_class)
                if waiter is None:
                    break
                self._unqueue(waiter)
                # A request whose caller disconnected stays in the queue until
                # its task has run; a slot granted to it would never be
                # released.
                if not waiter.granted.done():
                    self._grant(waiter, upstream)

    def on_revoked(self, upstream: str, count: int) -> None:
        """Revoke slots from training requests.

        :param count: total number of slots that must be in revocation.
        """
        revoked = self._held.revoke_training(upstream, count)
        if revoked:
            self._counters.add('slots_revoked', revoked, upstream=upstream)

    def _enqueue(self, request: SlotRequest, now: timedelta) -> SlotWaiter:
        waiter = SlotWaiter(
            next(self._arrivals),
            make_load_key(request.client_account, request.traffic_class),
            request,
            now,
            asyncio.get_running_loop().create_future(),
        )
        self._queue.push(waiter)
        self.limits.on_arrived(request)
        self.limits.on_queued(request)
        for upstream in request.candidates:
            if self._policy.may_start(upstream, request.traffic_class):
                self.on_free(upstream)
            if waiter.granted.done():
                return waiter
        self._keep_waiting(waiter)
        return waiter

    def _keep_waiting(self, waiter: SlotWaiter) -> None:
        refusal = self.limits.check_queue(waiter.request)
        if refusal is not None:
            self._reject(waiter, refusal)
            return
        # Without a bound, a flood of requests would exhaust the daemon's
        # memory, and every queued request would be served too late.
        if len(self._queue) > self._max_waiting:
            self._reject(self._queue.choose_victim(), _refuse_queue_full())
        if waiter.granted.done():
            return
        self._deadlines.add(waiter.request.deadline)
        self._publish_queue_length(waiter.key)
        self._policy.on_queued(waiter)

    def _grant(self, waiter: SlotWaiter, upstream: str) -> None:
        request = waiter.request
        grant = Grant(
            self._upstreams[upstream],
            request.traffic_class,
            request.client_account,
        )
        self.limits.on_arrived(grant)
        self._held.add(grant, self._queue.charge_start(waiter.key))
        self._publish_running(upstream)
        self._policy.on_started(upstream, waiter.key)
        waiter.granted.set_result(grant)
        wait = self._clock.elapsed() - waiter.queued
        name = request.traffic_class.value
        self._counters.add('slots_granted', traffic_class=name)
        self._counters.observe(
            'slot_wait', wait.total_seconds(), traffic_class=name
        )

    def _on_cancelled(self, waiter: SlotWaiter) -> None:
        # A caller may disconnect in the same event loop iteration in which its
        # slot is granted. Nobody else would release that slot, and the engine
        # would stay one slot short until the daemon restarts.
        if self._unqueue(waiter):
            return
        granted = waiter.granted
        if granted.cancelled() or granted.exception() is not None:
            return
        self.release(granted.result())

    def _unqueue(self, waiter: SlotWaiter) -> bool:
        if not self._queue.remove(waiter):
            return False
        self.limits.on_unqueued(waiter.request)
        self.limits.on_left(waiter.request)
        self._policy.on_unqueued(waiter)
        self._publish_queue_length(waiter.key)
        return True

    def _reject(self, waiter: SlotWaiter, refusal: Refusal) -> None:
        self._unqueue(waiter)
        self._count_refusal(waiter.request, refusal)
        if not waiter.granted.done():
            waiter.granted.set_exception(RefusedError(refusal))

    def _expire(self) -> timedelta | None:
        now = self._clock.elapsed()
        expired = [
            waiter
            for waiter in self._queue.iter_waiters()
            if waiter.request.deadline <= now
        ]
        for waiter in sorted(expired, key=_get_deadline):
            self._reject(waiter, _refuse_expired())
        return min(map(_get_deadline, self._queue.iter_waiters()), default=None)

    def _publish_queue_length(self, key: QueueKey) -> None:
        self._counters.set(
            'queue_length',
            self._queue.count(key),
            traffic_class=key.traffic_class.value,
            client_account=self._account_names.get(key.account_id, 'other'),
        )

    def _publish_running(self, upstream: str) -> None:
        self._counters.set(
            'slots_running', self.running(upstream), upstream=upstream
        )

    def _count_refusal(self, request: SlotRequest, refusal: Refusal) -> None:
        self._counters.add(
            'slots_refused',
            code=refusal.code.value,
            traffic_class=request.traffic_class.value,
        )


def make_load_key(client_account: str, traffic_class: TrafficClass) -> QueueKey:
    """Build the key of the queue that an account's requests wait in."""
    return QueueKey(traffic_class, hash_name(client_account))


def _get_deadline(waiter: SlotWaiter) -> timedelta:
    return waiter.request.deadline


def _refuse_expired() -> Refusal:
    return Refusal(
        RefusalCode.deadline_exceeded,
        'No slot became free before the deadline.',
        not_run=True,
        step='wait for a slot',
    )


def _refuse_queue_full() -> Refusal:
    return Refusal(
        RefusalCode.overloaded,
        'Too many requests wait for a slot.',
        not_run=True,
        retry_after=OVERLOAD_RETRY_AFTER,
        step='wait for a slot',
    )
