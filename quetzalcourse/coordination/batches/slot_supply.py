"""Estimates the slots that this coordinator can use.

Under a shortage several coordinators have more items than slots. One that
planned with all slots would start groups that it can't complete, because the
others take slots too; so each plans with the share that its work has in the
work of all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from quetzalcourse.coordination.batches.slot_allocation import SlotAllocator
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.clock import Clock


class SlotSupply:
    """Estimates the slots at hand of each service."""

    def __init__(
        self, pool: Pool, allocator: SlotAllocator, clock: Clock
    ) -> None:
        """Store the dependencies."""
        self._pool = pool
        self._allocator = allocator
        self._clock = clock

    def estimate(self, service: str, own_work: timedelta) -> float:
        """Estimate the number of slots that this daemon can use.

        :param own_work: slot time that its own items need.
        """
        now = self._clock.elapsed()
        upstreams = [
            one
            for one in self._pool.list_service(service)
            if one.is_available(now)
        ]
        slots = sum(_count_slots(one, now) for one in upstreams)
        peer_work = self._allocator.sum_peer_work(service)
        if not peer_work:
            return slots
        share = own_work.total_seconds()
        return slots * share / (share + peer_work)


def _count_slots(upstream: Upstream, now: timedelta) -> int:
    """Count the slots of an upstream that batches can use.

    Items of other coordinators leave theirs within a second or two; requests
    that are not items are expected to be followed by others.
    """
    if now < upstream.peer_items_until:
        return upstream.member.slots
    others = upstream.count_load(now) - upstream.running
    return max(upstream.member.slots - others, 0)
