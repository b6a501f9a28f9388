"""A few daemons that look closely at the owner of each open batch.

The load that this answers: among hundreds of daemons each one reads the
others' rows only every second or two, so that reads do not grow with the
daemons. The owner of a batch that dies is noticed as much later, and its
step is due in a few seconds. So the daemons that would take a batch over
read its owner's row directly; there are as many of them in any deployment.
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

# Two of them may have died with the owner, as in a data centre that is lost.
WATCHERS_PER_BATCH = 3
# An owner's row changes each half second.
WATCH_INTERVAL = timedelta(milliseconds=300)
# As often as the rows of batches are read in a large deployment.
IDLE_INTERVAL = timedelta(seconds=1)
# Who watches follows from all live daemons, which change more slowly.
SELECTION_TTL = timedelta(seconds=5)


class OwnerWatch:
    """Reads the rows of owners whose batches this daemon would take over.

    :param members: copy of the daemons' rows, which learns what is read.
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
        """Begin without owners to watch."""
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
        """Find the VMs whose batches this daemon would take over."""
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
            # Its heartbeats may stand in the store all the same.
            self._presence.on_read_failed(vm)
        elif answer.ok_value is not None:
            self._members.apply_rows([answer.ok_value])
