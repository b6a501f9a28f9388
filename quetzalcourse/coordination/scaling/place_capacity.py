"""Tracks the upstreams of each place, and the last orders for them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.scaling import PlaceCapacity, ScalingPlace

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.routing import ScalingRange, Service

# Upstreams that are gone for a shorter time may have crashed, and the platform
# still counts them. A number that is too high adds upstreams, which are given
# back; one that is too low would take some away.
PEAK_TTL = timedelta(seconds=60)
# Time from the start of an upstream until it has registered and loaded weights.
REGISTRATION_TIME = timedelta(seconds=3)
# Time for which no upstreams are ordered where none were to be had.
UNAVAILABLE_BACKOFF = timedelta(seconds=10)
# Time until an order that was refused or not answered is sent again.
RETRY_INTERVAL = timedelta(seconds=1)
# Time for which more upstreams than were ordered have to be registered to count
# as added by operators; a replaced one is there twice for a moment.
ADDITION_TIME = timedelta(seconds=15)


@dataclass(slots=True)
class PlaceState:
    """Upstreams of one place over time.

    :param peak: largest number of registered upstreams lately.
    :param peak_at: time since boot at which it was last reached.
    :param ordered: number of the last order, 0 without one.
    :param ordered_at: time since boot of the last order.
    :param before: number of the order before the last one.
    :param base: number before the first order.
    :param unanswered: whether the last order has no answer yet.
    :param retry_at: time since boot until which nothing is ordered.
    :param exceeded_since: time since boot since which more upstreams than were
        ordered are registered, ``None`` if they are not.
    """

    peak: int = 0
    peak_at: timedelta = timedelta(0)
    ordered: int = 0
    ordered_at: timedelta = timedelta(0)
    before: int = 0
    base: int = 0
    unanswered: bool = False
    retry_at: timedelta = timedelta(0)
    exceeded_since: timedelta | None = None


@dataclass(slots=True)
class PlaceCount:
    """Upstreams of one place now.

    :param registered: those that are not leaving, without spot instances,
        which the platform counts apart.
    :param spot: spot instances that are not leaving.
    :param serving: those that accept work.
    :param slots: slots of those that accept work.
    :param evacuated: whether operators evacuate the data centre.
    """

    registered: int = 0
    spot: int = 0
    serving: int = 0
    slots: int = 0
    evacuated: bool = False


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """Last order of a place as the next holder has to know it.

    :param base: number of upstreams before the first order.
    :param count: number that was ordered.
    """

    base: int
    count: int


class PlaceCapacities:
    """Capacity of each place of the services."""

    def __init__(self, pool: Pool, clock: Clock) -> None:
        """Start without orders."""
        self._pool = pool
        self._clock = clock
        self._states: dict[ScalingPlace, PlaceState] = {}

    def list_places(
        self, service: Service, scaling: ScalingRange
    ) -> list[PlaceCapacity]:
        """List the capacity of a service by data centre."""
        now = self._clock.elapsed()
        counts = self._count_upstreams(service.name, now)
        known = {
            place for place in self._states if place.service == service.name
        }
        found = []
        for place in sorted(known | counts.keys()):
            count = counts.get(place, PlaceCount())
            state = self._states.setdefault(place, PlaceState())
            _update(state, count.registered, now)
            price = scaling.prices.get(place.data_centre, 1.0)
            found.append(
                _build_capacity(place, state, count, price, scaling, now)
            )
        return found

    def list_unanswered(self) -> dict[ScalingPlace, int]:
        """List the orders that have to be sent again now."""
        now = self._clock.elapsed()
        return {
            place: state.ordered
            for place, state in self._states.items()
            if state.unanswered and now >= state.retry_at
        }

    def on_order(self, place: ScalingPlace, count: int) -> None:
        """Record an order before it is sent."""
        state = self._states.setdefault(place, PlaceState())
        state.base = state.base or max(state.peak, 1)
        if not state.unanswered:
            state.before = state.ordered
        state.ordered = count
        state.ordered_at = self._clock.elapsed()

    def on_accepted(self, place: ScalingPlace) -> None:
        """Record that the platform carries the last order out."""
        self._states[place].unanswered = False

    def on_unanswered(self, place: ScalingPlace) -> None:
        """Record that the last order may have been carried out."""
        state = self._states[place]
        state.unanswered = True
        state.retry_at = self._clock.elapsed() + RETRY_INTERVAL

    def on_unavailable(self, place: ScalingPlace) -> None:
        """Record that no further upstreams were to be had at a place."""
        self.withdraw(place)
        state = self._states[place]
        state.retry_at = self._clock.elapsed() + UNAVAILABLE_BACKOFF

    def on_unsent(self, place: ScalingPlace) -> None:
        """Record that the last order was not sent, this time."""
        if not self._states[place].unanswered:
            self.withdraw(place)

    def withdraw(self, place: ScalingPlace) -> None:
        """Forget an order that was certainly not carried out."""
        state = self._states[place]
        state.unanswered = False
        state.ordered = state.before
        if not state.ordered:
            state.base = 0
        state.retry_at = self._clock.elapsed() + RETRY_INTERVAL

    def describe(self) -> dict[ScalingPlace, OrderRecord]:
        """Describe the last orders, for the next holder."""
        return {
            place: OrderRecord(state.base, state.ordered)
            for place, state in self._states.items()
            if state.ordered
        }

    def restore(self, records: Mapping[ScalingPlace, OrderRecord]) -> None:
        """Continue with the orders of an earlier holder."""
        for state in self._states.values():
            state.ordered = 0
            state.base = 0
            state.unanswered = False
        for place, record in records.items():
            state = self._states.setdefault(place, PlaceState())
            state.base = record.base
            state.ordered = record.count
            state.ordered_at = self._clock.elapsed()

    def _count_upstreams(
        self, service: str, now: timedelta
    ) -> dict[ScalingPlace, PlaceCount]:
        counts: dict[ScalingPlace, PlaceCount] = {}
        for upstream in self._pool.list_service(service):
            member = upstream.member
            place = ScalingPlace(service, member.data_centre)
            count = counts.setdefault(place, PlaceCount())
            count.evacuated |= upstream.evacuated
            if not member.leaving:
                count.registered += not member.spot
                count.spot += member.spot
            if upstream.is_available(now):
                count.serving += 1
                count.slots += member.slots
        return counts


def _build_capacity(
    place: ScalingPlace,
    state: PlaceState,
    count: PlaceCount,
    price: float,
    scaling: ScalingRange,
    now: timedelta,
) -> PlaceCapacity:
    known = max(state.ordered, state.peak)
    booting = 0
    if state.ordered and now - state.ordered_at < (
        scaling.start + REGISTRATION_TIME
    ):
        booting = max(state.ordered - count.registered, 0)
    return PlaceCapacity(
        place,
        known,
        count.registered,
        count.spot,
        count.serving,
        count.slots,
        booting,
        price,
        state.base or known,
        available=(
            now >= state.retry_at
            and not state.unanswered
            and not count.evacuated
        ),
    )


def _update(state: PlaceState, registered: int, now: timedelta) -> None:
    """Update the state of a place with its registered upstreams."""
    if registered >= state.peak or now - state.peak_at >= PEAK_TTL:
        state.peak = registered
        state.peak_at = now
    if not state.ordered:
        return
    if registered <= state.ordered:
        state.exceeded_since = None
    elif state.exceeded_since is None:
        state.exceeded_since = now
    elif now - state.exceeded_since >= ADDITION_TIME:
        state.base += registered - state.ordered
        state.ordered = registered
    if registered <= state.ordered <= state.base:
        # All that was ordered has been given back.
        state.ordered = 0
        state.base = 0
        state.peak = registered
