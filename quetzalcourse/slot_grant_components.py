"""Builds the components that share the slots of upstreams among daemons."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slot_grants.grant_exchange import GrantExchange
from quetzalcourse.coordination.slot_grants.shared_slot_limits import (
    SharedSlotLimits,
)
from quetzalcourse.coordination.slot_grants.slot_groups import OwnerDirectory
from quetzalcourse.coordination.slot_grants.slot_owners import SlotOwners

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.admission.slot_limits import SlotLimits
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.lifecycle import Lifecycle
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

# Interval in which changes are collected while requests wait.
TICK = timedelta(milliseconds=20)


def share_slots(
    local: SlotLimits,
    pool: Pool,
    members: MemberView,
    peers: Peers,
    lifecycle: Lifecycle,
    clock: Clock,
    counters: Counters,
) -> SharedSlotLimits:
    """Build limits that all daemons agree on, and run what they need.

    :param local: decides while an upstream is not contended.
    """
    directory = OwnerDirectory(members, clock)
    owners = SlotOwners(directory, pool)
    exchange = GrantExchange(directory, owners, peers, clock, counters)
    limits = SharedSlotLimits(
        local, pool, directory, exchange, clock, counters, _defer
    )
    lifecycle.run('slot grants', SlotGrantTicks(limits, clock).run)
    return limits


class SlotGrantTicks:
    """Calls the shared limits periodically while requests wait anywhere.

    Otherwise nothing runs and no message is sent.
    """

    def __init__(self, limits: SharedSlotLimits, clock: Clock) -> None:
        """Wait for the first activity."""
        self._limits = limits
        self._clock = clock
        self._activity = asyncio.Event()
        limits.on_activity(self._activity.set)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._activity.wait()
            self._activity.clear()
            while self._limits.active:
                await self._clock.sleep(TICK)
                self._limits.on_tick()
                self._limits.report_metrics()


def _defer(call: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(call)
