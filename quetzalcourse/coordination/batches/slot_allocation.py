"""How the daemons that run batches share the slots of upstreams.

The load that this answers: two trainers submit their steps within the same few
milliseconds, each to another coordinator, and together they have twice as many
items as there are slots. Coordinators that each take what looks free fill
every upstream twice: half of the items wait in queues inside the upstreams,
where nothing can overtake them, the longest ones of a step among them. So
coordinators tell each other what they took and how urgent their waiting items
are, and a free slot is for the most urgent one. Each upstream has a
coordinator that goes first among those that are about as urgent, so that two
of them that begin together need not wait for each other's word.
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
# How much sooner an item must begin to go before those of the coordinator that
# goes first; it keeps slots from passing to and fro.
PREFERENCE_MARGIN = timedelta(seconds=1)
# Time in which coordinators that begin together wait for each other's updates.
INITIAL_UPDATE_WAIT = timedelta(milliseconds=15)
# Time after which a free slot that was left alone is no longer reserved.
RESERVATION_TTL = timedelta(milliseconds=200)
# Longest interval between two looks at a reserved slot.
MAX_RESERVATION_CHECK_GAP = timedelta(milliseconds=120)
log = get_log('coordinators')


@dataclass(frozen=True, slots=True)
class PlacementKey:
    """What decides whether any slot is free for an item.

    :param oldest: oldest weight version that may make its tokens.
    :param allowed_regions: where it may run, ``None`` for anywhere.
    """

    service: str
    model: str
    oldest: int
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Items of one kind that wait for a slot.

    :param latest_start: time since boot at which the most urgent one of
        them has to begin to be whole in time.
    """

    key: PlacementKey
    latest_start: timedelta


@dataclass(slots=True)
class SlotReservation:
    """Free slot that is kept for the coordinator that goes first.

    :param taken: items that this coordinator has there.
    :param since: since when it has had as many while a slot was free.
    :param checked_at: when that was last found so.
    """

    taken: int
    since: timedelta
    checked_at: timedelta


@dataclass(slots=True)
class PeerCoordinator:
    """Another daemon that runs batches, as it told last.

    :param taken: its running items at each upstream.
    """

    member: Member
    updated_at: timedelta
    taken: dict[str, int] = field(default_factory=dict)
    demands: tuple[SlotDemand, ...] = ()


class SlotAllocator:
    """Knows what the other coordinators took, and which slots are this one's.

    :param members: this daemon and the live ones.
    """

    def __init__(self, members: MemberView, pool: Pool, clock: Clock) -> None:
        """Begin as the only coordinator."""
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
        """List the other daemons that ran batches lately."""
        self._expire_coordinators()
        return [
            coordinator.member for coordinator in self._coordinators.values()
        ]

    def on_batch_start(self) -> None:
        """Learn that a batch begins here."""
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
        """Take what another coordinator tells.

        :param taken: its running items at the upstreams, all or changed ones.
        """
        now = self._clock.elapsed()
        coordinator = self._coordinators.get(sender.vm)
        if (
            coordinator is None
            or coordinator.member.incarnation != sender.incarnation
        ):
            coordinator = PeerCoordinator(sender, now)
            self._coordinators[sender.vm] = coordinator
            log.info('Another coordinator shares upstreams.', peer=sender.vm)
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
        """Tell whether a free slot of an upstream may be taken here.

        :param latest_start: when the item has to begin to be whole in time.
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
        """Tell whether this coordinator goes first at an upstream.

        One that has not run batches for long enough to have heard of the
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

    def _has_priority(
        self,
        vm: str,
        coordinator: PeerCoordinator,
        upstream: Upstream,
        own_start: timedelta,
        preferred: str,
        now: timedelta,
    ) -> bool:
        """Tell whether another coordinator's items go first."""
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
        """Tell whether the first coordinator left a free slot alone."""
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
        """Find the VM of the coordinator that goes first at an upstream."""
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
