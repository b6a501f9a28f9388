"""Selection of stragglers, and the dispatch order of samples."""

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


def build_running_sample(
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


FAST = build_running_sample(0, 'fast', 100)
SLOW = build_running_sample(1, 'slow', 50)
SLOWER = build_running_sample(2, 'slow', 50, tokens=40)
NEARLY = build_running_sample(3, 'nearly', 90)
STALLED = build_running_sample(4, 'slow', 50, idle=9)
STARTED = build_running_sample(5, 'slow', 1, tokens=2)


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
def test_stragglers_are_moved_or_copied(
    running: list[RunningSample],
    idle: int,
    expected: list[tuple[int, MitigationKind]],
) -> None:
    found = plan_mitigations(running, idle)
    assert [(one.key.index, one.kind) for one in found] == expected


def test_longest_group_starts_first() -> None:
    # If a group of long answers started last, its samples would run alone at
    # the end while the trainer and the other slots wait.
    estimator = LengthEstimator()
    estimator.observe('drill', 'short', 10)
    estimator.observe('drill', 'long', 1000)
    backlog = Backlog(estimator, 'drill', ('short', 'long', 'new'))
    keys = [SampleKey(group, index) for group in range(3) for index in (0, 1)]
    backlog.add(keys)
    order = [backlog.pop() for _ in range(len(keys))]
    assert [key.group for key in order] == [1, 1, 2, 2, 0, 0]
    assert len(backlog) == 0


def test_unknown_groups_alternate() -> None:
    # No group has a length estimate. If the first one started as a whole,
    # the lengths of the others would be learnt too late to order by them.
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
