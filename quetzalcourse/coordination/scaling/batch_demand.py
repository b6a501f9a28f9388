"""Measures the demand of open batches for the slots of each service."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.scaling.item_times import ItemTimeEstimator
from quetzalcourse.state.batches import MILLISECOND
from quetzalcourse.state.scaling import NO_DEMAND, BatchDemand

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.directory import (
        BatchDirectory,
        BatchView,
    )
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.route_table import RouteTable
    from quetzalcourse.state.clock import Clock

# After a longer interval between two measurements, the results of the interval
# can't be attributed to the slots in use now.
MAX_INTERVAL = timedelta(seconds=2)
SECOND = timedelta(seconds=1)


def _count_floats() -> defaultdict[str, float]:
    return defaultdict(float)


@dataclass(slots=True)
class ItemCounts:
    """Items by service; a batch counts by the weights of its route's targets.

    :param unfinished: items without a result.
    :param ended: items that ended since the last measurement.
    :param rate: items a second that have to end for all batches to be in time.
    """

    unfinished: defaultdict[str, float] = field(default_factory=_count_floats)
    ended: defaultdict[str, float] = field(default_factory=_count_floats)
    rate: defaultdict[str, float] = field(default_factory=_count_floats)


class BatchDemandMeter:
    """Measures the unfinished items of each service and their mean time.

    The rows of the batches show them at any daemon, so the measurement takes
    no messages.
    """

    def __init__(
        self,
        directory: BatchDirectory,
        routes: RouteTable,
        pool: Pool,
        clock: Clock,
    ) -> None:
        """Start without measurements."""
        self._directory = directory
        self._routes = routes
        self._pool = pool
        self._clock = clock
        self._committed: dict[str, int] = {}
        self._measured_at: timedelta | None = None
        self._item_times: dict[str, ItemTimeEstimator] = {}

    def reset(self) -> None:
        """Start over, after a time in which nothing was measured."""
        self._committed = {}
        self._measured_at = None
        self._item_times = {}

    def measure(self) -> dict[str, BatchDemand]:
        """Measure the demand for each service since the last call.

        :returns: demand by service, without services with items whose time is
            unknown.
        """
        now = self._clock.elapsed()
        counts = ItemCounts()
        committed: dict[str, int] = {}
        for view in self._directory.batches.values():
            if view.accepted:
                committed[view.id] = view.committed
                self._count(view, counts)
        self._observe(now, counts)
        self._committed = committed
        self._measured_at = now
        return self._build_demands(counts)

    def _count(self, view: BatchView, counts: ItemCounts) -> None:
        assert view.head is not None  # noqa: S101
        route = self._routes.find(view.head.route)
        if route is None:
            return
        known = self._committed.get(view.id, view.committed)
        ended = view.committed - known
        unfinished = view.head.total - view.committed if view.open else 0
        due = view.head.due_ms * MILLISECOND
        total = sum(target.weight for target in route.targets)
        for target in route.targets:
            share = target.weight / total if total else 1
            counts.ended[target.service] += share * ended
            counts.unfinished[target.service] += share * unfinished
            if due:
                counts.rate[target.service] += (
                    share * unfinished / (due / SECOND)
                )

    def _observe(self, now: timedelta, counts: ItemCounts) -> None:
        if self._measured_at is None:
            return
        elapsed = now - self._measured_at
        if elapsed > MAX_INTERVAL:
            return
        for service, unfinished in counts.unfinished.items():
            slots = sum(
                upstream.member.slots
                for upstream in self._pool.list_service(service)
                if upstream.is_available(now)
            )
            ended = counts.ended[service]
            estimator = self._item_times.setdefault(
                service, ItemTimeEstimator()
            )
            estimator.observe(elapsed, min(unfinished + ended, slots), ended)

    def _build_demands(self, counts: ItemCounts) -> dict[str, BatchDemand]:
        demands = {}
        for service, unfinished in counts.unfinished.items():
            estimator = self._item_times.get(service)
            mean = estimator.mean if estimator is not None else None
            if not unfinished:
                demands[service] = NO_DEMAND
            elif mean is not None:
                demands[service] = BatchDemand(
                    math.ceil(unfinished), counts.rate[service], mean
                )
        return demands
