"""Tests of the choice of groups under a shortage of slots."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.group_progress import (
    GroupProgress,
    StepProgress,
)
from quetzalcourse.coordination.batches.item_run import ItemState
from quetzalcourse.coordination.batches.step_order import Outlook, plan_groups
from quetzalcourse.coordination.batches.trainer_records import TrainerRecords

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.batches.step_order import GroupPlan

SLOTS = 8
DUE = timedelta(seconds=7.5)
TOLERATED = timedelta(seconds=3)
NOW = timedelta(0)
GROUPS = 10
ITEMS = 8


def build_step(
    name: str,
    item: float = 1,
    *,
    trainer: str = '',
    rank: int = 1,
    due: timedelta = DUE,
    wanted: int = GROUPS,
) -> StepProgress:
    """Build a step whose items all wait.

    :param item: seconds that an item runs.
    """
    groups = [GroupProgress((name, str(number))) for number in range(GROUPS)]
    for group in groups:
        for _ in range(ITEMS):
            group.add(ItemState.waiting, timedelta(seconds=item))
    owner = trainer or name
    tolerated = due + TOLERATED
    return StepProgress(
        (owner, 'r', owner), rank, due, tolerated, wanted, groups
    )


def count_in_time(plan: GroupPlan) -> Counter[str]:
    """Count the groups of each batch that can be complete in time."""
    return Counter(
        batch
        for (batch, _), turn in plan.turns.items()
        if turn.outlook is Outlook.in_time
    )


def plan_at_start(*steps: StepProgress) -> GroupPlan:
    """Plan the groups before any of them has begun."""
    return plan_groups(steps, TrainerRecords(), SLOTS, NOW)


def find_outlooks(
    plan: GroupPlan, batch: str, numbers: Sequence[int]
) -> set[Outlook]:
    """Find the outlooks of some groups of a batch."""
    return {plan.find_outlook((batch, str(number))) for number in numbers}


def test_all_groups_are_in_time_while_slots_suffice() -> None:
    """Without a shortage no group is deferred."""
    plan = plan_at_start(build_step('a', 0.2), build_step('b', 0.2))
    assert not plan.shortage
    assert plan.count(Outlook.in_time) == len(plan.turns)


def test_trainers_share_the_groups_in_time() -> None:
    # Two trainers ask for three times what the slots can run, one of them
    # with items twice as long. Chosen by their work alone, nearly all groups
    # in time would be those of the short items.
    plan = plan_at_start(build_step('long', 2), build_step('short', 1))
    chosen = count_in_time(plan)
    assert plan.shortage
    assert chosen['long'] >= 2
    assert abs(chosen['long'] - chosen['short']) <= 1


def test_older_step_of_a_trainer_goes_first() -> None:
    """Two steps of one trainer don't slow each other."""
    later = DUE + timedelta(seconds=4)
    plan = plan_at_start(
        build_step('new', trainer='t', due=later),
        build_step('old', trainer='t'),
    )
    chosen = count_in_time(plan)
    assert chosen['old'] >= 6
    assert 3 <= chosen['new'] <= 4


def test_step_that_can_not_be_in_time_yields_to_one_that_can() -> None:
    """A step a second before its due time takes no slots from a fresh one."""
    plan = plan_at_start(
        build_step('late', 3, due=timedelta(seconds=1)), build_step('fresh')
    )
    assert count_in_time(plan)['fresh'] == count_in_time(
        plan_at_start(build_step('fresh'))
    ).get('fresh')
    assert find_outlooks(plan, 'late', range(GROUPS)) == {Outlook.late}


def test_tolerable_lateness_is_no_shortage() -> None:
    """By latest start all groups are complete, some a little late."""
    step = build_step('a', 0.9)
    assert not plan_at_start(step).shortage
    kept = plan_groups([step], TrainerRecords(), SLOTS, NOW, in_shortage=True)
    assert kept.shortage


def test_more_urgent_trainer_is_chosen_first() -> None:
    """Its groups are all in time before another one's are chosen."""
    plan = plan_at_start(
        build_step('less', 0.5, rank=2), build_step('more', 0.5, rank=0)
    )
    chosen = count_in_time(plan)
    assert chosen['more'] == GROUPS
    assert 0 < chosen['less'] < GROUPS


def test_groups_that_nobody_waits_for_are_spare() -> None:
    # The first groups of a step may be those that come again from an earlier
    # one; its caller waits for them in any case, so they are never spare.
    step = build_step('a', wanted=6)
    for group in step.groups[:3]:
        group.waiting += timedelta(seconds=20)
    plan = plan_at_start(step)
    assert plan.count(Outlook.spare) == 4
    assert Outlook.spare not in find_outlooks(plan, 'a', range(3))


def test_trainer_that_was_late_catches_up() -> None:
    """One that got nothing in its last step gets more of the next ones."""
    records = TrainerRecords()
    records.on_step_end(build_step('late'))
    served = build_step('served')
    for group in served.groups:
        group.complete = True
    records.on_step_end(served)
    steps = [build_step('late'), build_step('served')]
    chosen = count_in_time(plan_groups(steps, records, SLOTS, NOW))
    assert chosen['late'] > chosen['served']


def test_group_that_has_begun_stays_chosen() -> None:
    """Groups are completed one by one instead of all by halves."""
    step = build_step('a', 3)
    begun = step.groups[7]
    begun.waiting -= timedelta(seconds=3)
    begun.add(ItemState.running, timedelta(seconds=2))
    plan = plan_at_start(step)
    assert plan.find_outlook(begun.key) is Outlook.in_time
    assert plan.count(Outlook.in_time) <= 2
