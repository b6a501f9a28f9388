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
    from quetzalcourse.state.routing import Service

# A crashed upstream that restarts is missing for some seconds, while the
# platform still counts it.
PEAK_TTL = timedelta(seconds=10)
# Time from the start of an upstream until it has registered and loaded weights.
REGISTRATION_TIME = timedelta(seconds=3)
# Time for which no upstreams are ordered where none were to be had.
UNAVAILABLE_BACKOFF = timedelta(seconds=10)


@dataclass(slots=True)
class PlaceState:
    """Upstreams of one place over time.

    :param peak: largest number of registered upstreams lately.
    :param peak_at: time since boot at which it was last reached.
    :param ordered: number of the last order, 0 without one.
    :param ordered_at: time since boot of the last order.
    :param base: number before the first order.
    :param unavailable_until: time since boot until which nothing is ordered.
    """

    peak: int = 0
    peak_at: timedelta = timedelta(0)
    ordered: int = 0
    ordered_at: timedelta = timedelta(0)
    base: int = 0
    unavailable_until: timedelta = timedelta(0)


@dataclass(slots=True)
class PlaceCount:
    """Upstreams of one place now.

    :param registered: those that are not leaving and that were ordered or
        there from the start; spot instances count apart at the platform.
    :param serving: those that accept work.
    :param slots: slots of those that accept work.
    :param evacuated: whether operators evacuate the data centre.
    """

    registered: int = 0
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

    def list_places(self, service: Service) -> list[PlaceCapacity]:
        """List the capacity of a service by data centre."""
        now = self._clock.elapsed()
        counts = self._count_upstreams(service.name, now)
        known = {
            place for place in self._states if place.service == service.name
        }
        prices = service.scaling.prices if service.scaling else {}
        found = []
        for place in sorted(known | counts.keys()):
            one = counts.get(place, PlaceCount())
            state = self._states.setdefault(place, PlaceState())
            _update_peak(state, one.registered, now)
            available = now >= state.unavailable_until and not one.evacuated
            count = max(state.ordered, state.peak)
            found.append(
                PlaceCapacity(
                    place,
                    count,
                    one.serving,
                    one.slots,
                    prices.get(place.data_centre, 1.0),
                    state.base or count,
                    available,
                )
            )
        return found

    def count_booting(self, service: Service) -> int:
        """Count the upstreams that were ordered and don't serve yet."""
        if service.scaling is None:
            return 0
        now = self._clock.elapsed()
        allowed = service.scaling.start + REGISTRATION_TIME
        counts = self._count_upstreams(service.name, now)
        return sum(
            max(state.ordered - counts.get(place, PlaceCount()).registered, 0)
            for place, state in self._states.items()
            if place.service == service.name
            and state.ordered
            and now - state.ordered_at < allowed
        )

    def on_order(self, place: ScalingPlace, count: int) -> None:
        """Record an order before it is sent."""
        state = self._states.setdefault(place, PlaceState())
        state.base = state.base or max(state.peak, 1)
        state.ordered = count
        state.ordered_at = self._clock.elapsed()

    def on_unavailable(self, place: ScalingPlace) -> None:
        """Record that no further upstreams were to be had at a place."""
        state = self._states.setdefault(place, PlaceState())
        state.ordered = state.peak
        state.unavailable_until = self._clock.elapsed() + UNAVAILABLE_BACKOFF

    def describe(self) -> dict[ScalingPlace, OrderRecord]:
        """Describe the last orders, for the next holder."""
        return {
            place: OrderRecord(state.base, state.ordered)
            for place, state in self._states.items()
            if state.ordered
        }

    def restore(self, records: Mapping[ScalingPlace, OrderRecord]) -> None:
        """Continue with the orders of an earlier holder."""
        for place, record in records.items():
            state = self._states.setdefault(place, PlaceState())
            state.base = record.base
            state.ordered = record.count

    def _count_upstreams(
        self, service: str, now: timedelta
    ) -> dict[ScalingPlace, PlaceCount]:
        counts: dict[ScalingPlace, PlaceCount] = {}
        for upstream in self._pool.list_service(service):
            member = upstream.member
            place = ScalingPlace(service, member.data_centre)
            one = counts.setdefault(place, PlaceCount())
            one.evacuated |= upstream.evacuated
            one.registered += not (member.leaving or member.spot)
            if upstream.is_available(now):
                one.serving += 1
                one.slots += member.slots
        return counts


def _update_peak(state: PlaceState, registered: int, now: timedelta) -> None:
    if registered >= state.peak or now - state.peak_at >= PEAK_TTL:
        state.peak = registered
        state.peak_at = now
