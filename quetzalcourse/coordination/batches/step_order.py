"""Chooses the groups that can be complete in time under a shortage of slots.

Trainers ask for twice the items that the slots can run by the time they are
due, or half of the upstreams are down. Run by urgency alone, every group gets
most of its items and hardly any group is complete in time. So groups are
chosen one by one while the slots suffice for all that are chosen, and the
others wait until these have been started.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.group_progress import ZERO

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.batches.group_progress import (
        GroupKey,
        GroupProgress,
        StepProgress,
    )

# Share of the slot time that is planned: callers' estimates of lengths are
# off by a factor of about 1.5, and slots are free for a moment between items.
PLANNED_SHARE = 0.85


class Outlook(enum.IntEnum):
    """What can still become of a group, the most useful first.

    ``spare`` groups are complete only after those that the caller waits for.
    """

    in_time = 0
    late = 1
    spare = 2


@dataclass(slots=True)
class GroupPlan:
    """Outlooks of the groups of all open steps.

    :param outlooks: outlook of each group that is not complete.
    :param remaining: slot time that each group needs that is not in time.
    :param order: position of each group in the order of its step.
    :param shortage: whether groups that the callers wait for can't be complete
        in time with the slots at hand.
    """

    outlooks: dict[GroupKey, Outlook] = field(default_factory=dict)
    remaining: dict[GroupKey, timedelta] = field(default_factory=dict)
    order: dict[GroupKey, int] = field(default_factory=dict)
    shortage: bool = False

    def defer(self, group: GroupProgress, outlook: Outlook) -> None:
        """Let a group run after those that can be complete in time."""
        self.outlooks[group.key] = outlook
        self.order[group.key] = len(self.order)
        self.remaining[group.key] = group.remaining

    def count(self, outlook: Outlook) -> int:
        """Count the groups with an outlook."""
        return sum(one is outlook for one in self.outlooks.values())


class SlotBudget:
    """Slot time until each due time, and how much of it is taken.

    :param slots: number of slots at hand.
    """

    def __init__(
        self, steps: Sequence[StepProgress], slots: float, now: timedelta
    ) -> None:
        """Take the time of the items that already run."""
        self._now = now
        self._slots = slots * PLANNED_SHARE
        self._taken = {
            due: _sum_running(steps, due - now)
            for due in sorted({step.due for step in steps})
        }

    def take(self, group: GroupProgress, due: timedelta) -> bool:
        """Take the slot time of a group if it can be complete in time.

        :returns: whether its time is taken.
        """
        if self._now + group.longest > due:
            return False
        later = [one for one in self._taken if one >= due]
        fits = all(
            self._taken[one] + group.waiting <= self._slots * (one - self._now)
            for one in later
        )
        if fits:
            for one in later:
                self._taken[one] += group.waiting
        return fits


@dataclass(slots=True)
class TrainerQueue:
    """Groups of a trainer that wait to be chosen.

    :param groups: groups that it waits for, with their due times, in the order
        in which they are chosen.
    :param wanted: number of groups that it waits for in all open steps.
    :param ready: number of these that are complete or chosen.
    """

    rank: int
    groups: list[tuple[GroupProgress, timedelta]] = field(default_factory=list)
    wanted: int = 0
    ready: int = 0

    @property
    def turn(self) -> tuple[int, float]:
        """Rank, then the share of its groups that is complete or chosen."""
        return self.rank, self.ready / max(self.wanted, 1)


def plan_groups(
    steps: Sequence[StepProgress], slots: float, now: timedelta
) -> GroupPlan:
    """Choose the groups that can be complete in time.

    Trainers of the same rank take turns, so that none is late with all its
    groups while another one is in time with all. Within a trainer the older
    step goes first, so that its steps don't slow each other.

    :param slots: number of slots at hand.
    """
    plan = GroupPlan()
    trainers = _queue_trainers(steps, plan)
    budget = SlotBudget(steps, slots, now)
    waiting = list(trainers.values())
    while waiting:
        trainer = min(waiting, key=lambda one: one.turn)
        if not trainer.groups:
            waiting.remove(trainer)
            continue
        group, due = trainer.groups.pop(0)
        if budget.take(group, due):
            trainer.ready += 1
            plan.outlooks[group.key] = Outlook.in_time
        else:
            plan.defer(group, Outlook.late)
            plan.shortage = True
    return plan


def _queue_trainers(
    steps: Sequence[StepProgress], plan: GroupPlan
) -> dict[tuple[str, str, str], TrainerQueue]:
    trainers: dict[tuple[str, str, str], TrainerQueue] = {}
    for step in sorted(steps, key=lambda one: one.due):
        trainer = trainers.setdefault(step.trainer, TrainerQueue(step.rank))
        trainer.wanted += step.wanted
        for position, group in enumerate(step.rank_groups()):
            if group.complete:
                trainer.ready += 1
            elif position < step.wanted:
                trainer.groups.append((group, step.due))
            else:
                plan.defer(group, Outlook.spare)
    return trainers


def _sum_running(
    steps: Sequence[StepProgress], horizon: timedelta
) -> timedelta:
    """Sum the slot time of running items within a horizon."""
    return sum(
        (
            max(min(remaining, horizon), ZERO)
            for step in steps
            for group in step.groups
            for remaining in group.running
        ),
        ZERO,
    )
