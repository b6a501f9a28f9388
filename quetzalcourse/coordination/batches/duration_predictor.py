"""Predicts the durations of items, and orders items by urgency.

The trainers of several models submit their steps at the same time, twice as
many items as there are slots. A step ends with its longest item, and lengths
vary widely: half of the items end within half a second, one in a hundred takes
six. A long item that waits for a second delays its whole step by a second, a
short one does not delay it. Callers estimate the length of each item; an
estimate is right at the median and may be off by a factor of three, which is
enough to tell long items from short ones.
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

# Weight of a new item in the moving averages; about thirty items of a step are
# enough to follow a model whose answers grow longer.
EWMA_WEIGHT = 1 / 16
# An item that exceeds its estimate is expected to continue for this share of
# its length so far: errors of estimates are factors of about 1.5.
OVERRUN_SHARE = 0.25
# Mean duration relative to the median, with errors of such factors.
MEAN_FACTOR = 1.13


@dataclass(slots=True)
class ModelDurations:
    """Moving averages of the finished items of a model.

    :param log_seconds_per_token: logarithm of the seconds that an item took
        per token of its estimate; errors of estimates are factors, so their
        logarithms are averaged.
    :param seconds_per_event: seconds between two events.
    """

    log_seconds_per_token: float
    seconds_per_event: float


class DurationPredictor:
    """Predicts the remaining durations of items, by model."""

    def __init__(self) -> None:
        """Initialise without observations."""
        self._models: dict[str, ModelDurations] = {}

    def observe(
        self,
        model: str,
        estimate: int,
        events: int,
        took: timedelta,
    ) -> None:
        """Record an item that ran from its first to its last event.

        :param estimate: tokens that its caller expected.
        :param events: number of its events.
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
        """Predict the remaining duration of an item.

        :param events_done: number of its events so far.
        :returns: zero without an estimate or without observations.
        """
        known = self._models.get(model)
        if known is None or estimate <= 0:
            return timedelta(0)
        seconds = (
            math.exp(known.log_seconds_per_token) * estimate
            - known.seconds_per_event * events_done
        )
        return timedelta(seconds=max(seconds, 0))

    def predict_slot_time(
        self, model: str, estimate: int, events_done: int
    ) -> timedelta:
        """Predict the mean time for which an item still takes a slot.

        Unlike the median, the mean can be added up over many items.

        :param events_done: number of its events so far.
        :returns: zero without an estimate or without observations.
        """
        known = self._models.get(model)
        if known is None or estimate <= 0:
            return timedelta(0)
        remaining = self.predict_remaining(model, estimate, events_done)
        overrun = known.seconds_per_event * events_done * OVERRUN_SHARE
        return max(remaining * MEAN_FACTOR, timedelta(seconds=overrun))

    def predict_remaining_events(
        self, model: str, estimate: int, events_done: int
    ) -> int:
        """Predict the number of further events of an item.

        :param events_done: number of its events so far. Lengths vary so widely
            that without an estimate about as many are still to come, and some
            also if the item exceeds its estimate.
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
        """Sort items by their latest start, the earliest first.

        A coordinator that has just started, or has taken a batch over, has no
        observations of the model yet. Items with longer estimates come first
        there too; items without one keep the order of their batch.
        """
        return sorted(waiting, key=self._rank)

    def _rank(self, one: tuple[BatchRun, ItemRun]) -> tuple[timedelta, int]:
        _, run = one
        return self.compute_latest_start(*one), -run.item.length_estimate

    def compute_latest_start(self, batch: BatchRun, run: ItemRun) -> timedelta:
        """Compute when an item has to start or continue to end in time."""
        model = batch.head.model
        estimate = run.item.length_estimate
        return batch.due - self.predict_remaining(
            model, estimate, len(run.texts)
        )
