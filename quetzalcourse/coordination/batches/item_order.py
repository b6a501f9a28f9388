"""Order in which the waiting items of all batches start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from datetime import timedelta

    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.duration_predictor import (
        DurationPredictor,
    )
    from quetzalcourse.coordination.batches.item_run import ItemRun
    from quetzalcourse.state.counters import Counters

    WaitingItem = tuple[BatchRun, ItemRun]


class ItemOrder(Protocol):
    """Decides in which order waiting items start."""

    def update(
        self, batches: Collection[BatchRun], waiting: Sequence[WaitingItem]
    ) -> None:
        """Take the present state of the open batches into account.

        :param waiting: their items that could start now.
        """

    def sort(self, waiting: Sequence[WaitingItem]) -> list[WaitingItem]:
        """Sort waiting items, the first one to start first."""

    def compute_latest_start(self, batch: BatchRun, run: ItemRun) -> timedelta:
        """Compute when an item has to start; it is compared across daemons."""

    def find_open_work(self, batch: BatchRun) -> float:
        """Find the slot time in seconds that items like a batch's still need.

        :returns: 0 if it is not known.
        """

    def report_metrics(self, counters: Counters) -> None:
        """Update the gauges."""


class UrgencyOrder:
    """Starts the item with the earliest latest start first."""

    def __init__(self, durations: DurationPredictor) -> None:
        """Store the predictor."""
        self._durations = durations

    def update(
        self, batches: Collection[BatchRun], waiting: Sequence[WaitingItem]
    ) -> None:
        """Do nothing: the order depends on the items alone."""

    def sort(self, waiting: Sequence[WaitingItem]) -> list[WaitingItem]:
        """Sort items by their latest start."""
        return self._durations.sort_by_urgency(waiting)

    def compute_latest_start(self, batch: BatchRun, run: ItemRun) -> timedelta:
        """Compute when an item has to start to end in time."""
        return self._durations.compute_latest_start(batch, run)

    def find_open_work(self, batch: BatchRun) -> float:
        """Tell that the work is not known."""
        return 0

    def report_metrics(self, counters: Counters) -> None:
        """Do nothing."""
