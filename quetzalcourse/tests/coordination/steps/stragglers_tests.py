"""Which stragglers are helped, and in what order samples begin."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.steps.dispatch_order import (
    Backlog,
    LengthEstimator,
)
from quetzalcourse.coordination.steps.stragglers import (
    MitigationKind,
    RunningSample,
    plan_mitigations,
)
from quetzalcourse.state.steps import SampleKey

COPY, MOVE = MitigationKind.copy, MitigationKind.move


def run_on(
    index: int,
    upstream: str,
    rate: int,
    tokens: int = 100,
    idle: int = 0,
) -> RunningSample:
    return RunningSample(
        SampleKey(0, index),
        upstream,
        tokens,
        timedelta(seconds=tokens / rate),
        timedelta(seconds=idle),
    )


FAST = run_on(0, 'fast', 100)
SLOW = run_on(1, 'slow', 50)
SLOWER = run_on(2, 'slow', 50, tokens=40)
NEARLY = run_on(3, 'nearly', 90)
STALLED = run_on(4, 'slow', 50, idle=9)
STARTED = run_on(5, 'slow', 1, tokens=2)


@pytest.mark.parametrize(
    ('running', 'idle', 'expected'),
    [
        ([], 4, []),
        ([FAST, NEARLY], 4, []),
        ([FAST, SLOW], 0, []),
        ([FAST, SLOW], 4, [(1, COPY)]),
        ([FAST, SLOW, SLOWER], 1, [(2, COPY)]),
        ([FAST, STALLED], 0, [(4, MOVE)]),
        ([FAST, STALLED, SLOW], -3, [(4, MOVE)]),
        ([STARTED], 4, []),
    ],
)
def test_rescues(
    running: list[RunningSample],
    idle: int,
    expected: list[tuple[int, MitigationKind]],
) -> None:
    found = plan_mitigations(running, idle)
    assert [(one.key.index, one.kind) for one in found] == expected


def test_longest_group_begins_first() -> None:
    # A group of long answers begins last, and its samples run alone at the
    # end while the trainer and the other slots wait.
    memory = LengthEstimator()
    memory.observe('drill', 'short', 10)
    memory.observe('drill', 'long', 1000)
    backlog = Backlog(memory, 'drill', ('short', 'long', 'new'))
    keys = [SampleKey(group, index) for group in range(3) for index in (0, 1)]
    backlog.add(keys)
    order = [backlog.pop() for _ in range(len(keys))]
    assert [key.group for key in order] == [1, 1, 2, 2, 0, 0]
    assert len(backlog) == 0


def test_unknown_groups_take_turns() -> None:
    # Nothing is known of the groups. Were the first one begun whole, the
    # others' lengths would be learnt too late to order anything by them.
    backlog = Backlog(LengthEstimator(), 'drill', ('a', 'b'))
    backlog.add(
        [SampleKey(group, index) for group in (0, 1) for index in (0, 1)]
    )
    order = [backlog.pop() for _ in range(4)]
    assert [(key.group, key.index) for key in order] == [
        (0, 0),
        (1, 0),
        (0, 1),
        (1, 1),
    ]
