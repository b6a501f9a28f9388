"""Measures what the groups of the open batches still need.

Under a shortage of slots, all groups of all steps that advance together are
late together, although the slots would be enough to complete some of them. To
choose among them, a coordinator has to know for each group whether it has
begun, how much slot time it still needs, and when its longest item can end.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.item_run import ItemState

if TYPE_CHECKING:
    from quetzalcourse.coordination.batches.batch_run import BatchRun
    from quetzalcourse.coordination.batches.duration_predictor import (
        DurationPredictor,
    )
    from quetzalcourse.coordination.batches.item_run import ItemRun

    GroupKey = tuple[str, str]
    TrainerKey = tuple[str, str, str]

ZERO = timedelta(0)


@dataclass(slots=True)
class GroupProgress:
    """What a group of items still needs.

    :param key: ids of its batch and of the group.
    :param waiting: slot time that its waiting items need.
    :param running: remaining times of its running items.
    :param longest: remaining time of its longest item.
    :param begun: whether any of its items has a text or a result.
    :param complete: whether all its items have a text.
    """

    key: GroupKey
    waiting: timedelta = ZERO
    running: list[timedelta] = field(default_factory=list)
    longest: timedelta = ZERO
    begun: bool = False
    complete: bool = True

    @property
    def remaining(self) -> timedelta:
        """Slot time that all its items need."""
        return sum(self.running, self.waiting)

    def add(self, state: ItemState, remaining: timedelta) -> None:
        """Add an item that still has to run.

        :param remaining: predicted time that it runs.
        """
        self.complete = False
        self.longest = max(self.longest, remaining)
        if state is ItemState.running:
            self.running.append(remaining)
            self.begun = True
        else:
            self.waiting += remaining


@dataclass(frozen=True, slots=True)
class StepProgress:
    """What a batch still needs.

    :param trainer: client account, route and model; the same for all steps of
        a trainer.
    :param rank: 0 is the most urgent.
    :param due: time since boot at which its results are due.
    :param tolerated: time since boot until which late results hardly hold its
        caller up.
    :param wanted: number of complete groups that its caller waits for.
    """

    trainer: TrainerKey
    rank: int
    due: timedelta
    tolerated: timedelta
    wanted: int
    groups: list[GroupProgress]

    @property
    def work(self) -> timedelta:
        """Slot time of the groups that its caller waits for."""
        return sum((one.remaining for one in self.list_awaited()), ZERO)

    def list_awaited(self) -> list[GroupProgress]:
        """List the groups that its caller waits for."""
        return self.rank_groups()[: self.wanted]

    def count_complete(self) -> int:
        """Count the complete groups, at most those that its caller wants."""
        complete = sum(group.complete for group in self.groups)
        return min(complete, self.wanted)

    def rank_groups(self) -> list[GroupProgress]:
        """Sort its groups by the order in which they are run.

        Groups that come again from an earlier step are at the front, at most
        half of those that the caller waits for, and it waits for them in any
        case. After them come the groups that are complete first.
        """
        certain = self.wanted // 2
        others = sorted(self.groups[certain:], key=_rank_need)
        last = self.wanted - certain
        waited_for = self.groups[:certain] + others[:last]
        return sorted(waited_for, key=_rank_need) + others[last:]


def _rank_need(group: GroupProgress) -> tuple[bool, bool, timedelta]:
    return not group.complete, not group.begun, group.remaining


def measure_groups(
    batch: BatchRun, durations: DurationPredictor
) -> list[GroupProgress]:
    """Measure the groups of a batch, in the order of the batch.

    An item without a group is measured as a group of its own.
    """
    groups: dict[str, GroupProgress] = {}
    for run in batch.items:
        name = run.item.group or run.item.id
        group = groups.get(name)
        if group is None:
            group = GroupProgress((batch.head.id, name))
            groups[name] = group
        _add_item(group, batch, run, durations)
    return list(groups.values())


def _add_item(
    group: GroupProgress,
    batch: BatchRun,
    run: ItemRun,
    durations: DurationPredictor,
) -> None:
    if run.state is ItemState.finished or run.text_complete:
        group.begun = True
        return
    group.begun |= run.last_event is not None
    group.add(
        run.state,
        durations.predict_slot_time(
            batch.head.model, run.item.length_estimate, len(run.texts)
        ),
    )
