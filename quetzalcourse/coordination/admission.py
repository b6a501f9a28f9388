"""Admission: which request gets a slot of which upstream, and when."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.slots import Grant, SlotRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.manifest import Manifest, Upstream


@dataclass(order=True, slots=True)
class _Waiter:
    rank: int
    order: int
    request: SlotRequest = field(compare=False)
    granted: asyncio.Future[Grant] = field(compare=False)


class Admission:
    """Hands out the slots of upstreams, humans first.

    Waiting happens here and not in an engine, since an engine admits in the
    order of arrival and a human would wait there behind training.

    :param clock: tells when a deadline has passed.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without upstreams."""
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._running: dict[str, int] = {}
        self._waiters: list[_Waiter] = []
        self._orders = itertools.count()

    def on_manifest(self, manifest: Manifest) -> None:
        """Take the upstreams of a manifest that came into force."""
        self._upstreams = dict(manifest.upstreams)
        self._hand_out()

    def running(self, upstream: str) -> int:
        """Count the requests that hold a slot of an upstream."""
        return self._running.get(upstream, 0)

    def waiting(self) -> int:
        """Count the requests that wait for a slot."""
        return len(self._waiters)

    async def acquire(self, request: SlotRequest) -> Grant:
        """Wait for a slot.

        :param request: what wants to run.
        :returns: the slot, to be given back by :meth:`release`.
        :raises RefusedError: when the deadline passes first.
        """
        loop = asyncio.get_running_loop()
        waiter = _Waiter(
            0 if request.traffic_class is TrafficClass.human else 1,
            next(self._orders),
            request,
            loop.create_future(),
        )
        heapq.heappush(self._waiters, waiter)
        self._hand_out()
        left = request.deadline - self._clock.elapsed()
        try:
            return await asyncio.wait_for(
                asyncio.shield(waiter.granted), left.total_seconds()
            )
        except TimeoutError:
            raise RefusedError(_refuse_late()) from None
        finally:
            self._forget(waiter)

    def release(self, grant: Grant, tokens: int = 0) -> None:
        """Give a slot back.

        :param tokens: how many were generated while it was held.
        """
        self._running[grant.upstream.name] -= 1
        self._hand_out()

    def _forget(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
            waiter.granted.cancel()

    def _hand_out(self) -> None:
        kept = []
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            upstream = self._find_free(waiter.request)
            if upstream is None:
                kept.append(waiter)
                continue
            self._running[upstream.name] = self.running(upstream.name) + 1
            request = waiter.request
            grant = Grant(
                upstream, request.traffic_class, request.client_account
            )
            waiter.granted.set_result(grant)
        self._waiters = kept
        heapq.heapify(self._waiters)

    def _find_free(self, request: SlotRequest) -> Upstream | None:
        for upstream in self._known(request.candidates):
            usable = upstream.slots
            if request.traffic_class is TrafficClass.training:
                usable -= upstream.human_headroom
            if self.running(upstream.name) < usable:
                return upstream
        return None

    def _known(self, names: Iterable[str]) -> Iterable[Upstream]:
        found = (self._upstreams.get(name) for name in names)
        return (upstream for upstream in found if upstream is not None)


def _refuse_late() -> Refusal:
    return Refusal(
        RefusalCode.deadline_exceeded,
        'No slot became free before the deadline.',
        not_run=True,
        step='wait for a slot',
    )
