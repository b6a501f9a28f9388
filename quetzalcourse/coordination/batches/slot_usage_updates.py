"""Exchanges slot usage between the daemons that run batches."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.batches.slot_allocation import (
    SlotDemand,
    PlacementKey,
)
from quetzalcourse.state.decoding import decode_msgpack
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

# Changes within this interval share one message.
UPDATE_INTERVAL = timedelta(milliseconds=40)
# Interval of full updates, which make up for lost messages.
FULL_UPDATE_INTERVAL = timedelta(seconds=1)


class SlotDemandUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Items with the same requirements that wait at the sender.

    :param seconds: time until the most urgent of them has to start, negative
        if it is late. It is relative since the clocks of daemons differ.
    :param work: slot time in seconds that these items need, 0 if unknown.
    """

    key: PlacementKey
    seconds: float
    work: float = 0


class SlotUsageUpdate(msgspec.Struct, frozen=True):
    """Slots that the sender uses, and its waiting items.

    :param taken: its running items at each upstream.
    :param whole: whether it has no items at upstreams that are not listed.
    """

    taken: dict[str, int]
    wants: list[SlotDemandUpdate]
    whole: bool


class SlotUsageUpdates:
    """Sends updates to the other coordinators, and receives theirs.

    When a batch starts, the update goes to every daemon that may be a
    coordinator, since other coordinators are unknown before their first batch.
    """

    def __init__(
        self,
        allocator: SlotAllocator,
        pool: Pool,
        coordinators: CoordinatorList,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Subscribe to the updates of other coordinators."""
        self._allocator = allocator
        self._pool = pool
        self._coordinators = coordinators
        self._peers = peers
        self._clock = clock
        self._sent_taken: dict[str, int] = {}
        self._sent_demands: frozenset[SlotDemand] = frozenset()
        self._sent_at = timedelta(0)
        self._full_sent_at = timedelta(0)
        self._batch_started = False
        self._listeners: list[Callable[[], None]] = []
        peers.subscribe(Topic.slots_told, self.on_message)

    def on_update(self, listener: Callable[[], None]) -> None:
        """Call a listener after each update of another coordinator."""
        self._listeners.append(listener)

    def on_batch_start(self) -> None:
        """Make the next update a full one to all possible coordinators."""
        self._batch_started = True
        self._allocator.on_batch_start()

    def on_message(self, sender: Member, content: bytes) -> None:
        """Apply the update of another coordinator."""
        update = decode_msgpack(content, SlotUsageUpdate)
        now = self._clock.elapsed()
        demands = [
            SlotDemand(one.key, now + timedelta(seconds=one.seconds), one.work)
            for one in update.wants
        ]
        self._allocator.on_update(
            sender, update.taken, demands, full=update.whole
        )
        for listener in self._listeners:
            listener()

    def send_update(self, unplaced: Collection[SlotDemand]) -> None:
        """Send an update if one is due.

        :param unplaced: items that wait for a slot here.
        """
        now = self._clock.elapsed()
        taken = self._pool.count_running()
        demands = frozenset(unplaced)
        if not self._is_due(taken, demands, now):
            return
        full = (
            self._batch_started
            or now - self._full_sent_at >= FULL_UPDATE_INTERVAL
        )
        update = SlotUsageUpdate(
            taken if full else self._find_changes(taken),
            [_build_demand_update(one, now) for one in demands],
            full,
        )
        content = msgspec.msgpack.encode(update)
        for receiver in self._list_receivers():
            self._peers.send(receiver, Topic.slots_told, content)
        self._batch_started = False
        self._sent_taken = taken
        self._sent_demands = demands
        self._sent_at = now
        if full:
            self._full_sent_at = now

    def _is_due(
        self,
        taken: dict[str, int],
        demands: frozenset[SlotDemand],
        now: timedelta,
    ) -> bool:
        if self._batch_started:
            return True
        if now - self._sent_at < UPDATE_INTERVAL:
            return False
        if taken != self._sent_taken or demands != self._sent_demands:
            return True
        idle = not taken and not demands
        return not idle and now - self._full_sent_at >= FULL_UPDATE_INTERVAL

    def _find_changes(self, taken: dict[str, int]) -> dict[str, int]:
        names = taken.keys() | self._sent_taken.keys()
        return {
            name: taken.get(name, 0)
            for name in names
            if taken.get(name, 0) != self._sent_taken.get(name, 0)
        }

    def _list_receivers(self) -> list[Member]:
        known = self._allocator.list_others()
        if not self._batch_started:
            return known
        by_vm = {
            one.vm: one for one in (*self._coordinators.list_others(), *known)
        }
        return list(by_vm.values())


def _build_demand_update(
    demand: SlotDemand, now: timedelta
) -> SlotDemandUpdate:
    seconds = (demand.latest_start - now).total_seconds()
    return SlotDemandUpdate(demand.key, round(seconds, 3), demand.work)
