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
from typing import TYPE_CHECKING, NamedTuple

from quetzalcourse.coordination.batches.group_progress import ZERO

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.batches.group_progress import (
        GroupKey,
        GroupProgress,
        StepProgress,
        TrainerKey,
    )
    from quetzalcourse.coordination.batches.trainer_records import (
        TrainerRecords,
    )

# Share of the slot time that is planned for groups that are to be in time:
# estimates of lengths are often off, and slots are free between two items.
PLANNED_SHARE = 0.8


class Outlook(enum.IntEnum):
    """What can still become of a group, the most useful first.

    ``spare`` groups are complete only after those that the caller waits for.
    """

    in_time = 0
    late = 1
    spare = 2


class GroupTurn(NamedTuple):
    """Turn of a group among all groups; the least goes first.

    :param urgency: latest start of a group that can be in time, the slot time
        that any other one needs.
    :param number: unique, so that a group is not mixed with another one.
    """

    outlook: Outlook = Outlook.in_time
    urgency: timedelta = ZERO
    number: int = 0


UNKNOWN_TURN = GroupTurn()


@dataclass(slots=True)
class GroupPlan:
    """Turns of the groups of all open steps.

    :param turns: turn of each group that is not complete.
    :param shortage: whether the slots at hand don't suffice, so that the turns
        count.
    """

    turns: dict[GroupKey, GroupTurn] = field(default_factory=dict)
    shortage: bool = False

    def add(
        self, group: GroupProgress, outlook: Outlook, urgency: timedelta
    ) -> None:
        """Add a group after those with the same outlook and urgency."""
        self.turns[group.key] = GroupTurn(outlook, urgency, len(self.turns))

    def find_outlook(self, key: GroupKey) -> Outlook:
        """Find the outlook of a group."""
        return self.turns.get(key, UNKNOWN_TURN).outlook

    def count(self, outlook: Outlook) -> int:
        """Count the groups with an outlook."""
        return sum(one.outlook is outlook for one in self.turns.values())


class SlotBudget:
    """Slot time until each deadline, and how much of it is taken.

    :param slots: number of slots at hand.
    """

    def __init__(
        self, steps: Sequence[StepProgress], slots: float, now: timedelta
    ) -> None:
        """Take the time of the items that already run."""
        self._now = now
        self._slots = slots
        deadlines = {step.due for step in steps}
        deadlines |= {step.tolerated for step in steps}
        self._taken = {
            deadline: _sum_running(steps, deadline - now)
            for deadline in sorted(deadlines)
        }

    def take(
        self, group: GroupProgress, deadline: timedelta, share: float = 1
    ) -> bool:
        """Take the slot time of a group if it can be complete by a deadline.

        :param share: share of the slot time that may be taken.
        :returns: whether its time is taken, or no more slots are needed.
        """
        if not group.waiting:
            return True
        later = [one for one in self._taken if one >= deadline]
        slots = self._slots * share
        fits = all(
            self._taken[one] + group.waiting <= slots * (one - self._now)
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
    :param wanted: number of groups that it waits for in all open steps, and
        that it waited for recently.
    :param ready: number of these that are complete or chosen.
    """

    rank: int
    wanted: float
    ready: float
    groups: list[tuple[GroupProgress, timedelta]] = field(default_factory=list)

    @property
    def turn(self) -> tuple[int, float]:
        """Rank, then the share of its groups that is complete or chosen."""
        return self.rank, self.ready / max(self.wanted, 1)


def plan_groups(
    steps: Sequence[StepProgress],
    records: TrainerRecords,
    slots: float,
    now: timedelta,
    *,
    in_shortage: bool = False,
) -> GroupPlan:
    """Choose the groups that can be complete in time.

    Trainers of the same rank take turns, so that none is late with all its
    groups while another one is in time with all. Within a trainer the older
    step goes first, so that its steps don't slow each other.

    :param records: what the trainers got in earlier steps.
    :param slots: number of slots at hand.
    :param in_shortage: whether there was a shortage just before. It ends once
        all groups that callers wait for can be in time, and not before:
        changing back and forth leaves many groups half complete.
    """
    plan = GroupPlan()
    trainers = _queue_trainers(steps, records, plan)
    budget = SlotBudget(steps, slots, now)
    waiting = list(trainers.values())
    late = 0
    while waiting:
        trainer = min(waiting, key=lambda one: one.turn)
        if not trainer.groups:
            waiting.remove(trainer)
            continue
        group, due = trainer.groups.pop(0)
        if now + group.longest <= due and budget.take(
            group, due, PLANNED_SHARE
        ):
            trainer.ready += 1
            plan.add(group, Outlook.in_time, due - group.longest)
        else:
            late += 1
            plan.add(group, Outlook.late, group.remaining)
    plan.shortage = late > 0 and (
        in_shortage or _is_too_much(steps, SlotBudget(steps, slots, now))
    )
    return plan


def _is_too_much(steps: Sequence[StepProgress], budget: SlotBudget) -> bool:
    """Tell whether not even late results can be complete while tolerated.

    As long as they can, the order by latest start completes more groups than
    any choice among them, most of them in time.
    """
    return not all(
        budget.take(group, step.tolerated)
        for step in steps
        for group in step.list_awaited()
    )


def _queue_trainers(
    steps: Sequence[StepProgress], records: TrainerRecords, plan: GroupPlan
) -> dict[TrainerKey, TrainerQueue]:
    trainers: dict[TrainerKey, TrainerQueue] = {}
    for step in sorted(steps, key=lambda one: one.due):
        if step.trainer not in trainers:
            record = records.find(step.trainer)
            trainers[step.trainer] = TrainerQueue(
                step.rank, record.wanted, record.complete
            )
        _queue_step(step, trainers[step.trainer], plan)
    return trainers


def _queue_step(
    step: StepProgress, trainer: TrainerQueue, plan: GroupPlan
) -> None:
    trainer.wanted += step.wanted
    for position, group in enumerate(step.rank_groups()):
        if group.complete:
            trainer.ready += position < step.wanted
        elif position < step.wanted:
            trainer.groups.append((group, step.due))
        else:
            plan.add(group, Outlook.spare, group.remaining)


def _sum_running(
    steps: Sequence[StepProgress], horizon: timedelta
) -> timedelta:
    """Sum the slot time of running items within a horizon."""
    groups = [group for step in steps for group in step.groups]
    return sum(
        (
            max(min(remaining, horizon), ZERO)
            for group in groups
            for remaining in group.running
        ),
        ZERO,
    )
