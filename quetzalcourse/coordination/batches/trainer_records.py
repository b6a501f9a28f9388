"""Remembers how many groups of its last steps each trainer got in time.

Under a shortage that lasts for several steps, a trainer whose items are long
would be late with most groups of every step. What it got in earlier steps
counts when the groups of its next one are chosen, so that it catches up.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.group_progress import (
        StepProgress,
        TrainerKey,
    )

# Factor by which earlier steps count less with each further one.
DECAY = 0.5
# Trainers that are remembered; the one without a step for longest is dropped.
MAX_TRAINERS = 512


@dataclass(frozen=True, slots=True)
class TrainerRecord:
    """Groups of the last steps of a trainer, recent ones counting most.

    :param wanted: number of groups that it waited for.
    :param complete: number of these that were complete.
    """

    wanted: float = 0
    complete: float = 0


NO_RECORD = TrainerRecord()


class TrainerRecords:
    """Records of the trainers whose steps ended here."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[TrainerKey, TrainerRecord] = {}

    def find(self, trainer: TrainerKey) -> TrainerRecord:
        """Find the record of a trainer, empty before its first step ended."""
        return self._records.get(trainer, NO_RECORD)

    def on_step_end(self, step: StepProgress) -> None:
        """Record how many groups of a step were complete at its end."""
        last = self._records.pop(step.trainer, NO_RECORD)
        self._records[step.trainer] = TrainerRecord(
            last.wanted * DECAY + step.wanted,
            last.complete * DECAY + step.count_complete(),
        )
        if len(self._records) > MAX_TRAINERS:
            self._records.pop(next(iter(self._records)))
