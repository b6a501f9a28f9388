"""Measures the demand of open batches for the slots of each service."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.scaling.item_times import ItemTimeEstimator
from quetzalcourse.state.batches import MILLISECOND
from quetzalcourse.state.scaling import BatchDemand

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

    def measure(self) -> dict[str, BatchDemand]:
        """Measure the demand for each service since the last call.

        :returns: demand by service, without services whose item time is
            unknown.
        """
        now = self._clock.elapsed()
        unfinished: Counter[str] = Counter()
        ended: Counter[str] = Counter()
        due: dict[str, timedelta] = {}
        committed: dict[str, int] = {}
        for view in self._directory.batches.values():
            service = self._find_service(view)
            if service is None or view.head is None:
                continue
            committed[view.id] = view.committed
            before = self._committed.get(view.id, 0)
            ended[service] += max(view.committed - before, 0)
            if view.open:
                unfinished[service] += view.head.total - view.committed
                batch_due = view.head.due_ms * MILLISECOND
                due[service] = min(due.get(service, batch_due), batch_due)
        self._observe(now, unfinished, ended)
        self._committed = committed
        self._measured_at = now
        return self._build_demands(unfinished, due)

    def _find_service(self, view: BatchView) -> str | None:
        if view.head is None or not view.accepted:
            return None
        route = self._routes.find(view.head.route)
        return route.targets[0].service if route is not None else None

    def _observe(
        self,
        now: timedelta,
        unfinished: Counter[str],
        ended: Counter[str],
    ) -> None:
        if self._measured_at is None:
            return
        elapsed = now - self._measured_at
        if elapsed > MAX_INTERVAL:
            return
        for service in unfinished.keys() | ended.keys():
            slots = sum(
                upstream.member.slots
                for upstream in self._pool.list_service(service)
                if upstream.is_available(now)
            )
            running = unfinished[service] + ended[service]
            estimator = self._item_times.setdefault(
                service, ItemTimeEstimator()
            )
            estimator.observe(elapsed, min(running, slots), ended[service])

    def _build_demands(
        self, unfinished: Counter[str], due: dict[str, timedelta]
    ) -> dict[str, BatchDemand]:
        demands = {}
        for service, estimator in self._item_times.items():
            if estimator.mean is not None:
                demands[service] = BatchDemand(
                    unfinished[service],
                    estimator.mean,
                    due.get(service, timedelta(0)),
                )
        return demands
