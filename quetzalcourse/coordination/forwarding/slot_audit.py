"""Compares the slots counted at upstreams with the requests open there.

A slot that is never released makes its upstream look busier than it is, to
this daemon and to those that it reports its usage to, until a restart. No
caller's request shows that: it only gets no slot. Therefore the count is
compared with another one, which the HTTP client keeps.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

CHECK_INTERVAL = timedelta(milliseconds=500)
# A slot has no open request before its task starts, while it is reserved for a
# migration, and while a crash is confirmed: all shorter than these checks.
CHECKS_BEFORE_LOST = 10
log = get_log('slots')


class OpenRequests(Protocol):
    """Counts the requests that are open at upstreams."""

    def count_open(self, address: str) -> int:
        """Count the open requests at an address."""


def _build_samples() -> deque[int]:
    return deque(maxlen=CHECKS_BEFORE_LOST)


@dataclass(slots=True)
class AuditedUpstream:
    """Slots of one run of an upstream that had no open request.

    :param samples: their number at the last checks.
    :param lost: number that was reported as lost.
    """

    samples: deque[int] = field(default_factory=_build_samples)
    lost: int = 0

    def count_lost(self) -> int:
        """Count the slots without a request in all of the last checks."""
        if len(self.samples) < CHECKS_BEFORE_LOST:
            return 0
        return max(min(self.samples), 0)


class SlotAudit:
    """Reports slots that stay counted although no request uses them."""

    def __init__(
        self,
        pool: Pool,
        requests: OpenRequests,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Start without checks."""
        self._pool = pool
        self._requests = requests
        self._clock = clock
        self._counters = counters
        self._audited: dict[tuple[str, int], AuditedUpstream] = {}

    async def run(self) -> None:
        """Check until the task is cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        """Compare both counts of each upstream, and set the metrics."""
        counted = 0
        unused = 0
        audited: dict[tuple[str, int], AuditedUpstream] = {}
        for upstream in self._pool.list_running():
            found = self._audited.get(upstream.run_id, AuditedUpstream())
            audited[upstream.run_id] = found
            open_requests = self._requests.count_open(upstream.member.address)
            found.samples.append(upstream.running - open_requests)
            counted += upstream.running
            unused += max(found.samples[-1], 0)
            self._report(upstream, found)
        self._audited = audited
        lost = sum(found.lost for found in audited.values())
        self._counters.set('upstream_slots_counted', counted)
        self._counters.set('upstream_slots_unused', unused)
        self._counters.set('upstream_slots_lost', lost)

    def _report(self, upstream: Upstream, found: AuditedUpstream) -> None:
        lost = found.count_lost()
        if lost > found.lost:
            log.error(
                'Slots are counted without a request.',
                upstream=upstream.name,
                lost=lost,
                counted=upstream.running,
                slots=upstream.member.slots,
            )
        found.lost = lost
