"""What the daemons that run batches tell each other of their slots."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.batches.slot_allocation import (
    SlotDemand,
    PlacementKey,
)
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from quetzalcourse.coordination.batches.coordinator_list import (
        CoordinatorList,
    )
    from quetzalcourse.coordination.batches.slot_allocation import SlotAllocator
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

# Changes within this time share one message.
UPDATE_INTERVAL = timedelta(milliseconds=40)
# Interval of full updates, which make up for lost messages.
FULL_UPDATE_INTERVAL = timedelta(seconds=1)


class SlotDemandUpdate(msgspec.Struct, frozen=True):
    """Items of one kind that wait at the sender.

    :param seconds: until the most urgent one has to begin, below 0 if it is
        late; clocks of daemons differ, so no time of day is told.
    """

    key: PlacementKey
    seconds: float


class SlotUsageUpdate(msgspec.Struct, frozen=True):
    """What the sender took of the upstreams, and what waits there.

    :param taken: its running items at each upstream.
    :param whole: whether upstreams that are not named have none.
    """

    taken: dict[str, int]
    wants: list[SlotDemandUpdate]
    whole: bool


class SlotUsageUpdates:
    """Tells the other coordinators, and hears from them.

    A batch that begins is told to every daemon that may be a coordinator, since
    the other coordinators are not known before their own first batch.
    """

    def __init__(
        self,
        allocator: SlotAllocator,
        pool: Pool,
        coordinators: CoordinatorList,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Listen to the other coordinators."""
        self._allocator = allocator
        self._pool = pool
        self._coordinators = coordinators
        self._peers = peers
        self._clock = clock
        self._told: dict[str, int] = {}
        self._told_waiting: frozenset[SlotDemand] = frozenset()
        self._told_at = timedelta(0)
        self._whole_at = timedelta(0)
        self._beginning = False
        self._listeners: list[Callable[[], None]] = []
        peers.subscribe(Topic.slots_told, self.on_message)

    def on_update(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever another coordinator has told something."""
        self._listeners.append(listener)

    def on_batch_start(self) -> None:
        """Learn that a batch begins here."""
        self._beginning = True
        self._allocator.on_batch_start()

    def on_message(self, sender: Member, content: bytes) -> None:
        """Take what another coordinator tells."""
        update = msgspec.msgpack.decode(content, type=SlotUsageUpdate)
        now = self._clock.elapsed()
        waiting = [
            SlotDemand(one.key, now + timedelta(seconds=one.seconds))
            for one in update.wants
        ]
        self._allocator.on_update(
            sender, update.taken, waiting, whole=update.whole
        )
        for listener in self._listeners:
            listener()

    def send_update(self, unplaced: Collection[SlotDemand]) -> None:
        """Tell what changed since the last time, if anything did.

        :param unplaced: what waits for a slot here.
        """
        now = self._clock.elapsed()
        taken = self._pool.count_running()
        waiting = frozenset(unplaced)
        if not self._is_due(taken, waiting, now):
            return
        whole = self._beginning or now - self._whole_at >= FULL_UPDATE_INTERVAL
        update = SlotUsageUpdate(
            taken if whole else self._find_changes(taken),
            [_tell_waiting(one, now) for one in waiting],
            whole,
        )
        content = msgspec.msgpack.encode(update)
        for receiver in self._list_receivers():
            self._peers.send(receiver, Topic.slots_told, content)
        self._beginning = False
        self._told = taken
        self._told_waiting = waiting
        self._told_at = now
        if whole:
            self._whole_at = now

    def _is_due(
        self,
        taken: dict[str, int],
        waiting: frozenset[SlotDemand],
        now: timedelta,
    ) -> bool:
        if self._beginning:
            return True
        if now - self._told_at < UPDATE_INTERVAL:
            return False
        if taken != self._told or waiting != self._told_waiting:
            return True
        idle = not taken and not waiting
        return not idle and now - self._whole_at >= FULL_UPDATE_INTERVAL

    def _find_changes(self, taken: dict[str, int]) -> dict[str, int]:
        names = taken.keys() | self._told.keys()
        return {
            name: taken.get(name, 0)
            for name in names
            if taken.get(name, 0) != self._told.get(name, 0)
        }

    def _list_receivers(self) -> list[Member]:
        known = self._allocator.list_others()
        if not self._beginning:
            return known
        by_vm = {
            one.vm: one for one in (*self._coordinators.list_others(), *known)
        }
        return list(by_vm.values())


def _tell_waiting(waiting: SlotDemand, now: timedelta) -> SlotDemandUpdate:
    seconds = (waiting.latest_start - now).total_seconds()
    return SlotDemandUpdate(waiting.key, round(seconds, 3))
