"""Requests that wait at a daemon whose upstreams are full."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import replace
from datetime import timedelta

import pytest

from quetzalcourse.admission_components import build_admission
from quetzalcourse.coordination.admission.queueing_selection import (
    QueueingSelection,
)
from quetzalcourse.coordination.forwarding.forwarding import (
    ForwardedRequest,
    Forwarder,
)
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.coordination.forwarding.upstream import Upstream
from quetzalcourse.coordination.quarantine.quarantine import Quarantine
from quetzalcourse.coordination.quarantine.records import QuarantineRecords
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import LoadReport, PoolMember
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.state.routing import (
    AccountKeys,
    CallerLimits,
    Route,
    RouteKind,
    RoutingManifest,
    Target,
)
from quetzalcourse.tests.clocks import FakeClock, settle

SLOTS = 2
TARGET = timedelta(milliseconds=200)
DIGEST = hashlib.sha256(b'key').digest()
ROUTE = Route(
    'r',
    'host',
    '/lookup/',
    RouteKind.idempotent,
    timedelta(seconds=2),
    TARGET,
    1,
    (Target('s', 1),),
    max_attempts=3,
)
MANIFEST = RoutingManifest(
    1, (ROUTE,), {}, CallerLimits(), (AccountKeys('desk', frozenset([DIGEST])),)
)


class Daemon:
    """A daemon with one upstream of two slots."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.counters = Counters()
        self.pool = Pool('hall', self.clock, self.counters)
        self.pool.replace(PoolMember('u', 's', 'u:1', 'hall', SLOTS))
        self.routes = RouteTable()
        self.routes.adopt(MANIFEST)
        quarantine = Quarantine(QuarantineRecords(self.clock), self.counters)
        self.selection: QueueingSelection = build_admission(
            Forwarder(self.pool, quarantine, self.clock),
            self.pool,
            self.routes,
            lambda limits: limits,
            self.clock,
            self.counters,
        )
        self.running: list[ForwardedRequest] = []
        self._numbers = 0

    @property
    def upstream(self) -> Upstream:
        """The only upstream."""
        found = self.pool.find('u')
        assert found is not None
        return found

    @property
    def waiting(self) -> float:
        """Length of the queue."""
        return self.counters.read('requests_waiting', service='s')

    def build(self, fingerprint: str = '') -> ForwardedRequest:
        """Build a request that arrives now."""
        self._numbers += 1
        now = self.clock.elapsed()
        return ForwardedRequest(
            f'r-{self._numbers}',
            ROUTE,
            's',
            'desk',
            now + ROUTE.timeout,
            fingerprint=fingerprint or f'f-{self._numbers}',
            arrived_at=now,
            key_digest=DIGEST,
        )

    async def send(self, request: ForwardedRequest) -> Upstream:
        """Wait for a slot and use it."""
        upstream = await self.selection.acquire(request)
        self.running.append(request)
        return upstream

    async def fill(self) -> None:
        """Use all slots."""
        for _ in range(SLOTS):
            await self.send(self.build())

    def end(self) -> None:
        """End the oldest running request."""
        request = self.running.pop(0)
        self.selection.on_served(request)
        self.selection.release(request)


@pytest.fixture
def daemon() -> Daemon:
    """Build a daemon."""
    return Daemon()


async def test_request_is_sent_when_a_slot_is_free(daemon: Daemon) -> None:
    """Guards against requests that wait on while a slot is idle."""
    await daemon.fill()
    waiting = asyncio.create_task(daemon.send(daemon.build()))
    await settle()
    assert not waiting.done()
    assert daemon.waiting == 1
    daemon.end()
    assert (await waiting).name == 'u'
    assert daemon.upstream.running == SLOTS
    assert daemon.waiting == 0


async def test_caller_that_leaves_frees_its_place(daemon: Daemon) -> None:
    """Guards against a slot that goes to a caller who has left."""
    await daemon.fill()
    first = asyncio.create_task(daemon.send(daemon.build()))
    second = asyncio.create_task(daemon.send(daemon.build()))
    await settle()
    first.cancel()
    await settle()
    assert daemon.waiting == 1
    daemon.end()
    await second
    assert daemon.upstream.running == SLOTS


async def test_caller_that_leaves_as_its_slot_is_free(daemon: Daemon) -> None:
    """Guards against a slot that is lost when its caller leaves just then."""
    await daemon.fill()
    waiting = asyncio.create_task(daemon.send(daemon.build()))
    await settle()
    daemon.end()
    waiting.cancel()
    await settle()
    assert daemon.upstream.running == SLOTS - 1


async def test_slot_that_is_free_just_after_a_caller_left(
    daemon: Daemon,
) -> None:
    """Guards against another request that fails, and a slot that is lost."""
    await daemon.fill()
    first = asyncio.create_task(daemon.send(daemon.build()))
    second = asyncio.create_task(daemon.send(daemon.build()))
    await settle()
    first.cancel()
    daemon.end()
    await second
    assert first.cancelled()
    assert daemon.upstream.running == SLOTS


async def test_key_withdrawn_just_after_a_caller_left(daemon: Daemon) -> None:
    """Guards against a manifest that is not applied to later requests."""
    await daemon.fill()
    first = asyncio.create_task(daemon.send(daemon.build()))
    second = asyncio.create_task(daemon.send(daemon.build()))
    await settle()
    first.cancel()
    daemon.routes.adopt(replace(MANIFEST, version=2, accounts=()))
    with pytest.raises(RefusedError):
        await second
    assert first.cancelled()


async def test_withdrawn_key_of_a_waiting_request(daemon: Daemon) -> None:
    """Guards against a request that is sent though its key was withdrawn."""
    await daemon.fill()
    waiting = asyncio.create_task(daemon.send(daemon.build()))
    await settle()
    daemon.routes.adopt(replace(MANIFEST, version=2, accounts=()))
    with pytest.raises(RefusedError) as caught:
        await waiting
    assert caught.value.refusal.code is RefusalCode.unauthenticated
    daemon.end()
    assert daemon.upstream.running == SLOTS - 1


async def test_stop_with_a_full_queue(daemon: Daemon) -> None:
    """Guards against callers who wait for a daemon that stops."""
    await daemon.fill()
    tasks = [asyncio.create_task(daemon.send(daemon.build())) for _ in range(3)]
    await settle()
    daemon.selection.on_drain()
    late = asyncio.create_task(daemon.send(daemon.build()))
    for task in (*tasks, late):
        with pytest.raises(RefusedError) as caught:
            await task
        refusal = caught.value.refusal
        assert refusal.not_run
        assert refusal.retry_after is not None
        assert refusal.retry_after <= ROUTE.timeout / 3
    assert daemon.upstream.running == SLOTS


async def test_request_that_would_start_too_late(daemon: Daemon) -> None:
    """Guards against requests that wait out their deadline."""
    await daemon.fill()
    tasks = [
        asyncio.create_task(daemon.send(daemon.build())) for _ in range(40)
    ]
    await daemon.clock.advance(TARGET / 4)
    rejected = [task for task in tasks if task.done()]
    assert len(rejected) > 20
    for task in rejected:
        assert isinstance(task.exception(), RefusedError)
    for task in tasks:
        task.cancel()
    await settle()
    assert daemon.waiting == 0


async def test_urgent_request_goes_first(daemon: Daemon) -> None:
    """Guards against ranks that are read and never used."""
    await daemon.fill()
    usual, urgent = daemon.build(), daemon.build()
    usual.rank, urgent.rank = 2, 1
    tasks = [
        asyncio.create_task(daemon.send(request)) for request in (usual, urgent)
    ]
    await settle()
    daemon.end()
    await tasks[1]
    assert not tasks[0].done()
    daemon.end()
    await tasks[0]


async def test_last_upstream_vanishes(daemon: Daemon) -> None:
    """Guards against requests that wait for a service without upstreams."""
    await daemon.fill()
    waiting = asyncio.create_task(daemon.send(daemon.build()))
    await settle()
    daemon.pool.remove('u')
    await daemon.clock.advance(timedelta(milliseconds=20))
    with pytest.raises(RefusedError) as caught:
        await waiting
    assert caught.value.refusal.not_run
    assert daemon.waiting == 0


async def test_returned_request_goes_first(daemon: Daemon) -> None:
    """Guards against a caller that returns in vain."""
    await daemon.fill()
    tasks = [
        asyncio.create_task(daemon.send(daemon.build('same')))
        for _ in range(40)
    ]
    await daemon.clock.advance(TARGET / 4)
    for task in tasks:
        task.cancel()
    new = asyncio.create_task(daemon.send(daemon.build()))
    returned = asyncio.create_task(daemon.send(daemon.build('same')))
    await settle()
    daemon.end()
    await returned
    assert not new.done()
    new.cancel()


async def test_refusal_of_a_full_upstream_is_no_attempt(
    daemon: Daemon,
) -> None:
    """Guards against attempts used up at an upstream that others filled."""
    request = daemon.build()
    upstream = await daemon.selection.acquire(request)
    for _ in range(ROUTE.max_attempts + 1):
        daemon.pool.on_load(upstream, LoadReport(SLOTS + 1, 0, SLOTS))
        daemon.selection.on_full(request, upstream)
        daemon.selection.release(request)
        again = asyncio.create_task(daemon.selection.acquire(request))
        await settle()
        assert not again.done()
        # The report is outdated after a few service times.
        await daemon.clock.advance(timedelta(milliseconds=100))
        upstream = await again
    assert request.full_refusals == ROUTE.max_attempts + 1
    assert upstream.running == 1


async def test_refused_request_goes_to_no_more_upstreams_than_allowed(
    daemon: Daemon,
) -> None:
    """Guards against full upstreams that each refuse every request."""
    for number in range(5):
        name = f'u-{number}'
        daemon.pool.replace(PoolMember(name, 's', f'{name}:1', 'hall', SLOTS))
    request = daemon.build()
    sent_to = set()
    for _ in range(6):
        acquired = asyncio.create_task(daemon.selection.acquire(request))
        await daemon.clock.advance(timedelta(milliseconds=100))
        upstream = await acquired
        sent_to.add(upstream.name)
        daemon.pool.on_load(upstream, LoadReport(SLOTS + 1, 0, SLOTS))
        daemon.selection.on_full(request, upstream)
        daemon.selection.release(request)
    assert len(sent_to) == ROUTE.max_attempts


async def test_report_of_a_full_upstream_gets_old(daemon: Daemon) -> None:
    """Guards against requests that wait since a report is out of date."""
    daemon.pool.on_load(daemon.upstream, LoadReport(SLOTS, 9, SLOTS))
    waiting = asyncio.create_task(daemon.send(daemon.build()))
    await daemon.clock.advance(timedelta(milliseconds=20))
    assert not waiting.done()
    await daemon.clock.advance(timedelta(milliseconds=60))
    assert waiting.done()


async def test_set_of_the_clock_while_requests_wait(daemon: Daemon) -> None:
    """Guards against a queue that empties when the time of day jumps."""
    await daemon.fill()
    waiting = asyncio.create_task(daemon.send(daemon.build()))
    await settle()
    daemon.clock.calendar_error = timedelta(hours=1)
    await daemon.clock.advance(TARGET / 4)
    daemon.end()
    await waiting
