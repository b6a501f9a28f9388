"""Slots that this daemon may use, by what it knows itself.

Under a burst, upstreams refuse what exceeds their slots, and each refusal
costs a round trip. A daemon knows its own requests and the load that each
upstream reported with its last response. Such a report is outdated after a few
service times, as slots become free without notice; then a request is sent
again, so that none waits while a slot is idle.
"""

from __future__ import annotations

import random
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.clock import Clock

# Service times after which the requests of others in a load report have ended.
REPORT_SERVICE_TIMES = 2
# Share of a service time for which an upstream that was full gets no request;
# with several slots, one is likely free again by then.
MIN_FULL_SHARE = 0.25
MAX_FULL_SHARE = 0.75


class LocalSlotLimits:
    """Limits by own requests and load reports.

    :param find_slot_time: returns how long a request of a service is expected
        to hold a slot.
    """

    def __init__(
        self, find_slot_time: Callable[[str], timedelta], clock: Clock
    ) -> None:
        """Start without full upstreams."""
        self._find_slot_time = find_slot_time
        self._clock = clock
        self._full_until: dict[tuple[str, int], timedelta] = {}

    def has_free_slot(self, upstream: Upstream) -> bool:
        """Tell whether another request may be sent to an upstream now."""
        now = self._clock.elapsed()
        until = self._full_until.get(upstream.run_id)
        if until is not None and now < until:
            return False
        slot_time = self._find_slot_time(upstream.member.service)
        return estimate_load(upstream, slot_time, now) < upstream.member.slots

    def on_waiting(self, service: str, waiting: Mapping[str, int]) -> None:
        """Ignore the length of the queue: no other daemon learns it."""

    def on_sent(self, upstream: Upstream, client_account: str) -> None:
        """Ignore a request that is sent: the upstream's state counts it."""

    def on_ended(self, upstream: Upstream, client_account: str) -> None:
        """Ignore a request that ended: the upstream's state counts it."""

    def on_full(self, upstream: Upstream) -> None:
        """Keep requests from an upstream until a slot is likely free.

        The time varies, so that the daemons don't return together.
        """
        now = self._clock.elapsed()
        self._full_until = {
            run: until for run, until in self._full_until.items() if until > now
        }
        share = random.uniform(MIN_FULL_SHARE, MAX_FULL_SHARE)
        slot_time = self._find_slot_time(upstream.member.service)
        self._full_until[upstream.run_id] = now + slot_time * share

    def on_free(self, listener: Callable[[str], None]) -> None:
        """Ignore the listener: no slots become free but by own requests."""


def estimate_load(
    upstream: Upstream, slot_time: timedelta, now: timedelta
) -> float:
    """Estimate the requests at an upstream, own ones and those of others.

    The requests of others that a load report counted end one by one.
    """
    horizon = slot_time * REPORT_SERVICE_TIMES
    age = now - upstream.other_requests_at
    remaining = max(0, 1 - age / horizon)
    return upstream.running + int(upstream.other_requests * remaining)
