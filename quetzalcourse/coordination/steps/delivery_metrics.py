"""Metrics of deliveries to trainers: timeliness and staleness."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.steps.staleness import find_oldest_version
from quetzalcourse.state.service_levels import Indicator

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.coordination.service_levels.service_levels import (
        ServiceLevelTracker,
    )
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.steps import (
        DeliveredBatch,
        DeliveryRecord,
        StepSpec,
    )


@dataclass(frozen=True, slots=True)
class DeliveryMetrics:
    """Counts each sample once, when it is first delivered.

    :param levels: service levels of the manifest to count against.
    """

    clock: Clock
    counters: Counters
    levels: ServiceLevelTracker

    def record_delivery(
        self,
        spec: StepSpec,
        before: DeliveryRecord,
        after: DeliveryRecord,
        batches: Iterable[DeliveredBatch],
    ) -> None:
        """Count the samples that were delivered for the first time.

        :param before: delivery record before this read.
        :param after: delivery record after this read.
        :param batches: batches that were read, including those that were
            delivered before.
        """
        for batch in batches:
            if batch.position >= before.sealed:
                self._count_batch(spec, batch)
        dropped = len(after.dropped) - len(before.dropped)
        self.counters.add('samples_dropped_at_reading', dropped)
        for _ in range(dropped):
            self.levels.record(
                Indicator.staleness, spec.client_account, good=False
            )
        if after.whole_at is not None and before.whole_at is None:
            self._count_completed_step(spec)

    def _count_batch(self, spec: StepSpec, batch: DeliveredBatch) -> None:
        for sample in batch.samples:
            versions_behind = spec.weight_version - find_oldest_version(
                sample.versions
            )
            self.counters.add(
                'samples_delivered',
                trainer=spec.trainer,
                versions_behind=str(max(0, versions_behind)),
            )
            self.levels.record(
                Indicator.staleness, spec.client_account, good=True
            )

    def _count_completed_step(self, spec: StepSpec) -> None:
        elapsed = self.clock.now() - spec.created
        allowed = timedelta(seconds=spec.deadline_seconds)
        on_time = elapsed <= allowed
        outcome = 'on_time' if on_time else 'late'
        self.counters.add('steps_whole', trainer=spec.trainer, outcome=outcome)
        self.levels.record(
            Indicator.steps_on_time, spec.client_account, good=on_time
        )
