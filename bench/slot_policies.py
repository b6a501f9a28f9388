"""The policies that were weighed and not kept, as baselines."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.ownership import rank_members
from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from bench.slot_world import Engine
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.manifest import Manifest, Upstream
    from quetzalcourse.state.slots import QueueKey, SlotWaiter

REPORT_INTERVAL = 0.5
REPORT_LAG = 0.5


class _LocalPolicy:
    """What both baselines share: no messages between daemons."""

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.running: Counter[str] = Counter()
        self.training: Counter[str] = Counter()
        self.on_free: Callable[[str], None] = lambda _: None
        self.on_revoked: Callable[[str, int], None] = lambda *_: None

    def listen(
        self,
        on_free: Callable[[str], None],
        on_revoked: Callable[[str, int], None],
    ) -> None:
        self.on_free = on_free
        self.on_revoked = on_revoked

    def on_start(self) -> None:
        """Begin nothing."""

    async def on_stop(self) -> None:
        """End nothing."""

    def on_manifest(self, manifest: Manifest) -> None:
        self.upstreams = dict(manifest.upstreams)

    def on_started(self, upstream: str, key: QueueKey) -> None:
        self.running[upstream] += 1
        if key.traffic_class is TrafficClass.training:
            self.training[upstream] += 1

    def on_released(self, upstream: str, key: QueueKey, tokens: int) -> None:
        self.running[upstream] -= 1
        if key.traffic_class is TrafficClass.training:
            self.training[upstream] -= 1

    def on_queued(self, waiter: SlotWaiter) -> None:
        if waiter.key.traffic_class is TrafficClass.human:
            for name in waiter.request.candidates[:1]:
                self.on_revoked(name, min(self.training[name], 1))

    def on_unqueued(self, waiter: SlotWaiter) -> None:
        """Take no note."""


class FixedShares(_LocalPolicy):
    """Each daemon has the same share of every upstream for itself."""

    def __init__(self, members: MemberView) -> None:
        super().__init__()
        self._members = members

    def may_start(self, upstream: str, traffic_class: TrafficClass) -> bool:
        known = self.upstreams[upstream]
        members = self._members.list_live(known.data_centre)
        names = [
            member.incarnation for member in rank_members(upstream, members)
        ]
        rank = names.index(self._members.own.incarnation)
        slots = _share(known.slots, rank, len(names))
        if traffic_class is TrafficClass.training:
            slots -= _share(known.human_headroom, rank, len(names))
        return self.running[upstream] < slots


class AloneOnReports(_LocalPolicy):
    """Each daemon goes by the engines' load reports, which lag."""

    def __init__(self, engines: Mapping[str, Engine]) -> None:
        super().__init__()
        self._engines = engines
        self._busy: dict[str, int] = {}
        self._sent: Counter[str] = Counter()
        self._task: asyncio.Task[None] | None = None

    def on_start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._follow())

    async def on_stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        while True:
            busy = {name: one.busy for name, one in self._engines.items()}
            await asyncio.sleep(REPORT_LAG)
            self._busy = busy
            self._sent.clear()
            for name in self._engines:
                self.on_free(name)
            await asyncio.sleep(REPORT_INTERVAL - REPORT_LAG)

    def may_start(self, upstream: str, traffic_class: TrafficClass) -> bool:
        known = self.upstreams[upstream]
        slots = known.slots
        if traffic_class is TrafficClass.training:
            slots -= known.human_headroom
        return self._busy.get(upstream, 0) + self._sent[upstream] < slots

    def on_started(self, upstream: str, key: QueueKey) -> None:
        super().on_started(upstream, key)
        self._sent[upstream] += 1

    def on_released(self, upstream: str, key: QueueKey, tokens: int) -> None:
        super().on_released(upstream, key, tokens)
        self._sent[upstream] -= 1


def _share(slots: int, rank: int, daemons: int) -> int:
    each, rest = divmod(slots, daemons)
    return each + (1 if rank < rest else 0)
