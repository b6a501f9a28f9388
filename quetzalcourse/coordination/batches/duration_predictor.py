"""How long items take, and which of them begin first.

The load that this answers: the trainers of several models submit their steps
at the same moment, twice as many items as there are slots. A step ends with
its longest item, and lengths are most uneven: half of the items are over in
half a second, one in a hundred takes six. A long one that waits for a second
makes its whole step a second late, a short one nothing. Callers estimate the
length of each item; an estimate is right at the median and may be off by a
factor of three, which is still enough to tell long items from short ones.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.item_run import ItemRun

# Share of a new item in the running means; some thirty items of a step are
# enough to follow a model whose answers grow longer.
EWMA_WEIGHT = 1 / 16
# Share of its length so far by which an item goes on that is longer than
# estimated: errors of estimates are factors of about 1.5.
OVERRUN_SHARE = 0.25


@dataclass(slots=True)
class ModelDurations:
    """What the items of a model have shown.

    :param log_seconds_per_token: logarithm of the seconds that an item took
        for each token of its estimate; errors of estimates are factors, so
        their logarithms are averaged.
    :param seconds_per_event: seconds between two events.
    """

    log_seconds_per_token: float
    seconds_per_event: float


class DurationPredictor:
    """Predicts how long items still take."""

    def __init__(self) -> None:
        """Begin without items."""
        self._models: dict[str, ModelDurations] = {}

    def observe(
        self,
        model: str,
        estimate: int,
        events: int,
        took: timedelta,
    ) -> None:
        """Learn from an item that ran from its first event to its last.

        :param estimate: tokens that its caller expected.
        """
        seconds = took.total_seconds()
        if estimate <= 0 or events <= 0 or seconds <= 0:
            return
        log_seconds_per_token = math.log(seconds / estimate)
        seconds_per_event = seconds / events
        known = self._models.setdefault(
            model, ModelDurations(log_seconds_per_token, seconds_per_event)
        )
        known.log_seconds_per_token += (
            log_seconds_per_token - known.log_seconds_per_token
        ) * EWMA_WEIGHT
        known.seconds_per_event += (
            seconds_per_event - known.seconds_per_event
        ) * EWMA_WEIGHT

    def predict_remaining(
        self, model: str, estimate: int, events_done: int
    ) -> timedelta:
        """Predict how long an item still takes.

        :param events_done: events that it has already.
        :returns: zero if nothing is known of it.
        """
        known = self._models.get(model)
        if known is None or estimate <= 0:
            return timedelta(0)
        seconds = (
            math.exp(known.log_seconds_per_token) * estimate
            - known.seconds_per_event * events_done
        )
        return timedelta(seconds=max(seconds, 0))

    def predict_remaining_events(
        self, model: str, estimate: int, events_done: int
    ) -> int:
        """Estimate how many events an item still has before it.

        :param events_done: events that it has already. Lengths are so uneven
            that without an estimate it has about as many before it as behind
            it, and some also when it is longer than estimated.
        """
        known = self._models.get(model)
        if known is None or estimate <= 0:
            return events_done
        expected = (
            math.exp(known.log_seconds_per_token)
            * estimate
            / known.seconds_per_event
        )
        return int(max(expected - events_done, events_done * OVERRUN_SHARE))

    def sort_by_urgency(
        self,
        waiting: Sequence[tuple[BatchRun, ItemRun]],
    ) -> list[tuple[BatchRun, ItemRun]]:
        """Order items by the time that they leave until they are due.

        A coordinator that has just begun, or has taken a batch over, knows
        nothing of the model's times yet. Longer estimates go first there all
        the same; items without one keep the order of their batch.
        """
        return sorted(waiting, key=self._rank)

    def _rank(self, one: tuple[BatchRun, ItemRun]) -> tuple[timedelta, int]:
        _, run = one
        return self.compute_latest_start(*one), -run.item.length_estimate

    def compute_latest_start(self, batch: BatchRun, run: ItemRun) -> timedelta:
        """Tell when an item has to begin, or go on, to be whole in time."""
        model = batch.head.model
        estimate = run.item.length_estimate
        return batch.due - self.predict_remaining(
            model, estimate, len(run.texts)
        )
