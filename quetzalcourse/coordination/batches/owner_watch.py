"""Watches the owner of each open batch from a few daemons.

Among hundreds of daemons, each reads the presence rows of the others only
every second or two, so that the reads do not grow with the number of daemons.
The death of an owner is then detected as much later, and its step is due in a
few seconds. So the daemons that would take a batch over read the presence row
of its owner directly; their number is the same in any deployment.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.batches.failover import rank_successors

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.directory import (
        BatchDirectory,
        BatchView,
    )
    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.feeds.presence import Presence
    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.clock import Clock

# Two of them may fail together with the owner, as in a data centre outage.
WATCHERS_PER_BATCH = 3
# The presence row of an owner changes every half second.
WATCH_INTERVAL = timedelta(milliseconds=300)
# Interval at which a large deployment reads the rows of batches.
IDLE_INTERVAL = timedelta(seconds=1)
# The watchers depend on the live daemons, which change more slowly.
SELECTION_TTL = timedelta(seconds=5)


class OwnerWatch:
    """Reads the presence rows of owners whose batches may be taken over here.

    :param members: table feed of presence rows, to which the read rows are
        applied.
    """

    def __init__(
        self,
        directory: BatchDirectory,
        presence: Presence,
        table: Table,
        members: TableFollower,
        clock: Clock,
        residency: Residency,
    ) -> None:
        """Initialise without watched owners."""
        self._directory = directory
        self._presence = presence
        self._table = table
        self._members = members
        self._clock = clock
        self._residency = residency
        self._selections: dict[str, tuple[int, timedelta, bool]] = {}

    async def run(self) -> None:
        """Watch owners until the task is cancelled."""
        while True:
            watched = self._find_owners()
            self._presence.watch(watched, WATCH_INTERVAL)
            await asyncio.gather(*(self._read_owner_row(vm) for vm in watched))
            await self._clock.sleep(
                WATCH_INTERVAL if watched else IDLE_INTERVAL
            )

    def _find_owners(self) -> set[str]:
        """Find the VMs whose batches this daemon may take over."""
        known = self._directory.batches
        for batch in self._selections.keys() - known.keys():
            self._selections.pop(batch)
        if self._presence.own.leaving:
            return set()
        return {
            view.owner.vm
            for view in known.values()
            if view.open
            and view.owner is not None
            and self._is_remote(view.owner.vm)
            and self._is_selected(view)
        }

    def _is_remote(self, vm: str) -> bool:
        return vm != self._presence.own.vm and vm in self._presence.records

    def _is_selected(self, view: BatchView) -> bool:
        now = self._clock.elapsed()
        version, selected_at, selected = self._selections.get(
            view.id, (-1, now, False)
        )
        if version == view.owner_version and now - selected_at < SELECTION_TTL:
            return selected
        owner = view.owner.incarnation if view.owner is not None else ''
        holders = self._residency.list_takeover_candidates(
            view.head,
            self._presence.list_live(),
            self._presence.find_data_centre(view.owner),
        )
        ranked = rank_successors(view.id, owner, holders)
        selected = self._presence.own in ranked[:WATCHERS_PER_BATCH]
        self._selections[view.id] = (view.owner_version, now, selected)
        return selected

    async def _read_owner_row(self, vm: str) -> None:
        answer = await self._table.read(self._presence.find_row_key(vm))
        if isinstance(answer, Err):
            # Its heartbeats may reach the store all the same.
            self._presence.on_read_failed(vm)
        elif answer.ok_value is not None:
            self._members.apply_rows([answer.ok_value])
