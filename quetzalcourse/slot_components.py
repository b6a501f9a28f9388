"""Builds and runs the components that admit requests to slots."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.admission import Admission
from quetzalcourse.coordination.slots.engine_load_monitor import (
    EngineLoadMonitor,
)
from quetzalcourse.coordination.slots.distributed_slot_policy import (
    DistributedSlotPolicy,
)
from quetzalcourse.transport.engine_control import EngineControlClient
from quetzalcourse.transport.slot_link import PeerSlotLink

if TYPE_CHECKING:
    import aiohttp

    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.manifest import Manifest

REPORT_TIMEOUT_SECONDS = 1.0


class SlotComponents:
    """Admission, its distributed policy and the load monitor of engines.

    :param members: live daemons.
    :param peers: sends messages to them.
    :param session: connections to the engines, for their load reports.
    """

    def __init__(
        self,
        members: MemberView,
        peers: Peers,
        session: aiohttp.ClientSession,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Build the components and connect them."""
        self._members = members
        self._link = PeerSlotLink(peers, counters)
        self._policy = DistributedSlotPolicy(members, self._link, clock)
        self.admission = Admission(clock, self._policy, counters)
        control = EngineControlClient(
            session, members.own.incarnation, REPORT_TIMEOUT_SECONDS
        )
        self._load_monitor = EngineLoadMonitor(
            control, self._policy.owned, clock, counters
        )
        self._task: asyncio.Task[None] | None = None
        members.on_change(self._on_members)

    def on_start(self) -> None:
        """Start the renewal of slot grants and the monitoring of engines."""
        self._policy.on_start()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._load_monitor.run())

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the upstreams and accounts of a newly effective manifest."""
        self._link.on_manifest(manifest)
        self._load_monitor.on_manifest(manifest)
        self.admission.on_manifest(manifest)

    async def on_stop(self) -> None:
        """Cancel all tasks."""
        self.admission.on_stop()
        await self._policy.on_stop()
        if self._task is not None:
            self._task.cancel()

    def _on_members(self) -> None:
        self.admission.limits.daemons = len(self._members.list_live())
