"""Monitoring of the load of engines whose slots this daemon grants."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.state.manifest import Upstream, UpstreamKind

if TYPE_CHECKING:
    from quetzalcourse.coordination.slots.owned_slots import OwnedSlots
    from quetzalcourse.coordination.ports import EngineControl
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.manifest import Manifest

LOAD_POLL_INTERVAL = timedelta(seconds=1)


class EngineLoadMonitor:
    """Polls the owned engines and reports their load to the slot owners.

    :param control: queries the engines.
    :param owned: upstreams that this daemon owns.
    """

    def __init__(
        self,
        control: EngineControl,
        owned: OwnedSlots,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Create without upstreams."""
        self._control = control
        self._owned = owned
        self._clock = clock
        self._counters = counters
        self._upstreams: dict[str, Upstream] = {}

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the upstreams of a new manifest."""
        self._upstreams = dict(manifest.upstreams)

    async def run(self) -> None:
        """Poll periodically until cancelled."""
        while True:
            await self._clock.sleep(LOAD_POLL_INTERVAL)
            await self.observe()

    async def observe(self) -> None:
        """Poll every owned engine once."""
        engines = [
            self._upstreams[name]
            for name in self._owned.names()
            if name in self._upstreams
            and self._upstreams[name].kind is UpstreamKind.engine
        ]
        await asyncio.gather(*(self._observe(engine) for engine in engines))

    async def _observe(self, engine: Upstream) -> None:
        answer = await self._control.observe(engine)
        owner = self._owned.find(engine.name)
        if owner is None or isinstance(answer, Err):
            return
        report = answer.ok_value
        busy = report.running + report.queued
        owner.on_load(busy, self._clock.elapsed())
        name = engine.name
        self._counters.set('engine_queue', report.queued, upstream=name)
        self._counters.set('slots_foreign', owner.foreign_slots, upstream=name)
