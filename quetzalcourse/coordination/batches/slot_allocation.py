"""Shares the slots of upstreams between the daemons that run batches.

Two trainers submit their steps within the same few milliseconds, each to
another coordinator, and together they have twice as many items as there are
slots. Coordinators that each take whatever looks free overcommit every
upstream by a factor of two: half of the items, the longest of a step among
them, wait in the upstreams' queues, where they can't be reordered. So
coordinators exchange the slots that they use and the urgency of their waiting
items, and a free slot goes to the most urgent item. For each upstream one
coordinator has precedence among those with similar urgency, so that two
coordinators that start together need not wait for each other's updates.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.ownership import find_owner
from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

# Age after which the last update of a coordinator is ignored.
UPDATE_TTL = timedelta(seconds=1.5)
# Time without a batch after which a coordinator is forgotten.
COORDINATOR_TTL = timedelta(seconds=15)
# How much earlier the latest start of an item must be to overrule the
# precedence of another coordinator; it keeps slots from flapping between them.
PREFERENCE_MARGIN = timedelta(seconds=1)
# Time for which a coordinator that starts a batch waits for the updates of
# others before it takes slots where another one has precedence.
INITIAL_UPDATE_WAIT = timedelta(milliseconds=15)
# Time after which a free slot that its coordinator does not use is released.
RESERVATION_TTL = timedelta(milliseconds=200)
# After a longer gap between two checks, the reservation starts over.
MAX_RESERVATION_CHECK_GAP = timedelta(milliseconds=120)
log = get_log('coordinators')


@dataclass(frozen=True, slots=True)
class PlacementKey:
    """Requirements that decide which slots an item can use.

    :param oldest: oldest weight version that may generate its tokens.
    :param allowed_regions: regions where it may run, ``None`` for any.
    """

    service: str
    model: str
    oldest: int
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Items with the same requirements that wait for a slot.

    :param latest_start: time since boot at which the most urgent of them has
        to start to be complete in time.
    :param work: slot time in seconds that all unfinished items with these
        requirements need, 0 if unknown.
    """

    key: PlacementKey
    latest_start: timedelta
    work: float = 0


@dataclass(slots=True)
class SlotReservation:
    """Free slot that is held back for the coordinator with precedence.

    :param taken: slots that this coordinator uses there.
    :param since: time since which that number is unchanged with a slot free.
    :param checked_at: time of the last check that found it so.
    """

    taken: int
    since: timedelta
    checked_at: timedelta


@dataclass(slots=True)
class PeerCoordinator:
    """State of another coordinator, from its last update.

    :param updated_at: time since boot of its last update.
    :param taken: its running items at each upstream.
    :param demands: its items that wait for slots.
    """

    member: Member
    updated_at: timedelta
    taken: dict[str, int] = field(default_factory=dict)
    demands: tuple[SlotDemand, ...] = ()


class SlotAllocator:
    """Tracks the slots of other coordinators, and decides which to use here.

    :param members: this daemon and the live ones.
    """

    def __init__(self, members: MemberView, pool: Pool, clock: Clock) -> None:
        """Initialise without other coordinators."""
        self._members = members
        self._pool = pool
        self._clock = clock
        self._coordinators: dict[str, PeerCoordinator] = {}
        self._preferred: dict[str, str] = {}
        self._preferred_among: set[str] = set()
        self._updates_due_at = timedelta(0)
        self._active_since: timedelta | None = None
        self._last_batch_at = timedelta(0)
        self._reservations: dict[str, SlotReservation] = {}

    def list_others(self) -> list[Member]:
        """List the other daemons that recently ran batches."""
        self._expire_coordinators()
        return [
            coordinator.member for coordinator in self._coordinators.values()
        ]

    def on_batch_start(self) -> None:
        """Start the wait for updates, since a batch starts here."""
        now = self._clock.elapsed()
        if (
            self._active_since is None
            or now - self._last_batch_at > COORDINATOR_TTL
        ):
            self._active_since = now
        self._last_batch_at = now
        self._updates_due_at = now + INITIAL_UPDATE_WAIT

    def on_update(
        self,
        sender: Member,
        taken: Mapping[str, int],
        demands: Collection[SlotDemand],
        *,
        full: bool,
    ) -> None:
        """Apply the update of another coordinator.

        :param taken: its running items by upstream.
        :param demands: its items that wait for slots.
        :param full: whether ``taken`` holds all upstreams, and not just those
            that changed.
        """
        now = self._clock.elapsed()
        coordinator = self._coordinators.get(sender.vm)
        if (
            coordinator is None
            or coordinator.member.incarnation != sender.incarnation
        ):
            coordinator = PeerCoordinator(sender, now)
            self._coordinators[sender.vm] = coordinator
            log.info('Discovered another coordinator.', peer=sender.vm)
        coordinator.updated_at = now
        coordinator.demands = tuple(demands)
        before = set(coordinator.taken)
        if full:
            coordinator.taken = {}
        coordinator.taken |= taken
        self._expire_coordinators()
        for name in before | coordinator.taken.keys():
            self._update_taken(name, now)

    def is_available(self, upstream: Upstream, latest_start: timedelta) -> bool:
        """Tell whether a free slot of an upstream may be used here.

        :param latest_start: time since boot at which the item has to start to
            be complete in time.
        """
        if not self._coordinators:
            return True
        now = self._clock.elapsed()
        preferred = self._find_preferred(upstream.name)
        if preferred == self._members.own.vm:
            own_start = latest_start
        elif now < self._updates_due_at:
            return False
        else:
            own_start = latest_start + PREFERENCE_MARGIN
        return not any(
            self._has_priority(
                vm, coordinator, upstream, own_start, preferred, now
            )
            for vm, coordinator in self._coordinators.items()
        )

    def leads(self, upstream: Upstream) -> bool:
        """Tell whether this coordinator has precedence at an upstream.

        A coordinator that started to run batches too recently to know the
        others does not.
        """
        now = self._clock.elapsed()
        if (
            self._active_since is None
            or now - self._last_batch_at > COORDINATOR_TTL
        ):
            return False
        if now - self._active_since < UPDATE_TTL:
            return False
        self._expire_coordinators()
        return self._find_preferred(upstream.name) == self._members.own.vm

    def sum_peer_work(self, service: str) -> float:
        """Sum the slot time in seconds that items of other daemons need.

        Only daemons whose items wait for slots of the service count.
        """
        oldest = self._clock.elapsed() - UPDATE_TTL
        return sum(
            demand.work
            for coordinator in self._coordinators.values()
            if coordinator.updated_at >= oldest
            for demand in coordinator.demands
            if demand.key.service == service
        )

    def _has_priority(
        self,
        vm: str,
        coordinator: PeerCoordinator,
        upstream: Upstream,
        own_start: timedelta,
        preferred: str,
        now: timedelta,
    ) -> bool:
        """Tell whether the items of another coordinator take precedence."""
        if now - coordinator.updated_at > UPDATE_TTL:
            return False
        margin = timedelta(0) if vm == preferred else PREFERENCE_MARGIN
        wanted = any(
            one.latest_start + margin < own_start
            and _fits(upstream, one.key, now)
            for one in coordinator.demands
        )
        return wanted and not self._is_reservation_expired(
            upstream.name, coordinator, now
        )

    def _is_reservation_expired(
        self, name: str, coordinator: PeerCoordinator, now: timedelta
    ) -> bool:
        """Tell whether a coordinator left a free slot unused too long."""
        taken = coordinator.taken.get(name, 0)
        reservation = self._reservations.get(name)
        if (
            reservation is None
            or reservation.taken != taken
            or now - reservation.checked_at > MAX_RESERVATION_CHECK_GAP
        ):
            reservation = SlotReservation(taken, now, now)
            self._reservations[name] = reservation
        reservation.checked_at = now
        return now - reservation.since >= RESERVATION_TTL

    def _update_taken(self, name: str, now: timedelta) -> None:
        upstream = self._pool.find(name)
        if upstream is None:
            return
        upstream.peer_items = sum(
            coordinator.taken.get(name, 0)
            for coordinator in self._coordinators.values()
            if now - coordinator.updated_at <= UPDATE_TTL
        )
        upstream.peer_items_until = now + UPDATE_TTL

    def _find_preferred(self, name: str) -> str:
        """Find the VM of the coordinator with precedence at an upstream."""
        if self._coordinators.keys() != self._preferred_among:
            self._preferred_among = set(self._coordinators)
            self._preferred.clear()
            self._reservations.clear()
        if name not in self._preferred:
            own = self._members.own
            coordinators = [
                own,
                *(
                    coordinator.member
                    for coordinator in self._coordinators.values()
                ),
            ]
            preferred = find_owner(name, coordinators)
            self._preferred[name] = (
                preferred.vm if preferred is not None else own.vm
            )
        return self._preferred[name]

    def _expire_coordinators(self) -> None:
        oldest = self._clock.elapsed() - COORDINATOR_TTL
        for vm, coordinator in list(self._coordinators.items()):
            if coordinator.updated_at < oldest:
                self._coordinators.pop(vm)


def _fits(upstream: Upstream, key: PlacementKey, now: timedelta) -> bool:
    if upstream.member.service != key.service:
        return False
    if not upstream.is_allowed(key.allowed_regions):
        return False
    return upstream.can_run(key.model, key.oldest, now)
