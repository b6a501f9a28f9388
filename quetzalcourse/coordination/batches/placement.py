"""Places the items of batches on upstreams.

Several batches are submitted within the same second, each with more items
than half of the slots, while some upstreams load new weights and one is
several times slower than the rest. An item in an upstream's queue can't be
moved or reordered, so items wait here until a slot is free, and slow upstreams
are filled last. Where upstreams report how long work takes there, the longest
items wait for fast slots and shorter ones fill the slow ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.item_completion import (
    FastSlotQueue,
    SlotChoice,
    estimate_duration,
    estimate_latencies,
    find_choice,
    rank_duration,
)
from quetzalcourse.coordination.batches.migration import choose_migration_target
from quetzalcourse.coordination.batches.token_latencies import (
    find_median_latency,
    rank_latency,
)
from quetzalcourse.coordination.batches.slot_allocation import PlacementKey
from quetzalcourse.coordination.forwarding.pool import rank_health

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.coordination.batches.slot_allocation import SlotAllocator
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.routing import AllowedRegions

MEDIAN_TTL = timedelta(milliseconds=250)


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Requirements of an item on its upstream.

    :param min_version: oldest weight version that may generate its tokens.
    :param avoided: upstream that it has just left; the last choice.
    :param latest_start: time since boot at which it has to start to be
        complete in time.
    :param allowed_regions: regions where it may run, ``None`` for any.
    :param remaining_events: expected number of its further events, 0 if
        unknown.
    """

    service: str
    model: str
    min_version: int
    avoided: str = ''
    latest_start: timedelta = timedelta(0)
    allowed_regions: AllowedRegions = None
    remaining_events: int = 0

    @property
    def key(self) -> PlacementKey:
        """Part of the request that decides which slots it can use."""
        return PlacementKey(
            self.service, self.model, self.min_version, self.allowed_regions
        )


class Placement:
    """Chooses upstreams for items."""

    def __init__(
        self, pool: Pool, allocator: SlotAllocator, clock: Clock
    ) -> None:
        """Store the dependencies."""
        self._pool = pool
        self._allocator = allocator
        self._clock = clock
        self._medians: dict[str, tuple[timedelta, float]] = {}
        self._fast_slots: dict[str, FastSlotQueue] = {}
        self._choices: dict[PlacementKey, SlotChoice] = {}
        self._held: PlacementRequest | None = None

    def start_round(self) -> None:
        """Start a dispatch; items that waited for fast slots ask again."""
        self._choices.clear()
        for queue in self._fast_slots.values():
            queue.start_round()

    def holds(self, request: PlacementRequest) -> bool:
        """Tell whether the last item got no slot as it waits for a fast one."""
        return self._held is request

    def count_held(self) -> int:
        """Count the items that wait for fast slots since the last dispatch."""
        return sum(queue.waiting for queue in self._fast_slots.values())

    def choose(self, request: PlacementRequest) -> Upstream | None:
        """Choose the upstream for an item.

        :returns: ``None`` if no eligible upstream has a free slot, or the item
            is to wait for a faster one.
        """
        self._held = None
        now = self._clock.elapsed()
        known = self._choices.get(request.key)
        if known is not None and self._should_wait(request, known, now):
            return None
        usable = self.list_eligible(request)
        fit = [
            upstream
            for upstream in usable
            if upstream.count_load(now) < upstream.member.slots
            and self._pool.cold_starts.admits(upstream)
            and self._allocator.is_available(upstream, request.latest_start)
        ]
        if not fit:
            return None
        if all(one.pace is None for one in usable):
            median = find_median_latency(usable)
            return min(
                fit, key=lambda one: self._rank(one, request, now, median)
            )
        latencies = estimate_latencies(usable)
        chosen = self._choose_fastest(fit, request, now, latencies)
        choice = find_choice(chosen, usable, latencies)
        if self._should_wait(request, choice, now):
            self._choices[request.key] = choice
            return None
        self._choices.pop(request.key, None)
        if not choice.fast_slots:
            queue = self._find_queue(request.service)
            queue.on_fast_slot(request.remaining_events)
        return chosen

    def list_eligible(self, request: PlacementRequest) -> list[Upstream]:
        """List the upstreams that may run an item now."""
        now = self._clock.elapsed()
        return [
            upstream
            for upstream in self._pool.sample_service(request.service)
            if upstream.can_run(request.model, request.min_version, now)
            and upstream.is_allowed(request.allowed_regions)
        ]

    def is_slower_than_usual(self, upstream: Upstream) -> bool:
        """Tell whether an upstream is slower than the median of its service.

        This cheap check spares most items a search of all upstreams.
        """
        return upstream.token_latency > self._find_median_latency(
            upstream.member.service
        )

    def choose_migration_target(
        self,
        request: PlacementRequest,
        upstream: Upstream,
        remaining_events: int,
    ) -> Upstream | None:
        """Choose a faster upstream to move a running item to.

        :param upstream: upstream where it runs now.
        :param remaining_events: expected number of its further events.
        """
        now = self._clock.elapsed()
        free = [
            one
            for one in self.list_eligible(request)
            if not self._pool.cold_starts.is_cold(one)
            and self._allocator.is_available(one, request.latest_start)
        ]
        return choose_migration_target(upstream, free, remaining_events, now)

    def _find_median_latency(self, service: str) -> float:
        now = self._clock.elapsed()
        found_at, median = self._medians.get(service, (None, 0.0))
        if found_at is None or now - found_at >= MEDIAN_TTL:
            median = find_median_latency(self._pool.sample_service(service))
            self._medians[service] = (now, median)
        return median

    def _choose_fastest(
        self,
        fit: list[Upstream],
        request: PlacementRequest,
        now: timedelta,
        latencies: Mapping[str, float],
    ) -> Upstream:
        durations = {
            one.name: estimate_duration(
                one, latencies[one.name], request.remaining_events, now
            )
            for one in fit
        }
        fastest = min(durations.values())
        return min(
            fit,
            key=lambda one: (
                one.name == request.avoided,
                rank_health(one, self._pool.cold_starts),
                rank_duration(durations[one.name], fastest),
                _compute_utilisation(one, now),
                -one.find_version(request.model),
            ),
        )

    def _should_wait(
        self, request: PlacementRequest, choice: SlotChoice, now: timedelta
    ) -> bool:
        queue = self._find_queue(request.service)
        sharers = 1 + len(self._allocator.list_others())
        waits = queue.should_wait(
            request.remaining_events, choice, sharers, now
        )
        if waits:
            self._held = request
        return waits

    def _find_queue(self, service: str) -> FastSlotQueue:
        return self._fast_slots.setdefault(service, FastSlotQueue())

    def _rank(
        self,
        upstream: Upstream,
        request: PlacementRequest,
        now: timedelta,
        median: float,
    ) -> tuple[bool, int, int, float, int]:
        return (
            upstream.name == request.avoided,
            rank_health(upstream, self._pool.cold_starts),
            rank_latency(upstream, median),
            _compute_utilisation(upstream, now),
            -upstream.find_version(request.model),
        )


def _compute_utilisation(upstream: Upstream, now: timedelta) -> float:
    return upstream.count_load(now) / upstream.member.slots
