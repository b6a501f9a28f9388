"""Tests of predicted durations and of the order that follows."""

from __future__ import annotations

import random
from dataclasses import dataclass
from datetime import timedelta

import pytest

from quetzalcourse.coordination.batches.batch_run import (
    BatchRun,
    build_batch_run,
)
from quetzalcourse.coordination.batches.item_run import ItemRun
from quetzalcourse.coordination.batches.duration_predictor import (
    DurationPredictor,
)
from quetzalcourse.state.batches import BatchHead, BatchItem

DUE = 7500
PACE = 0.04
# Tokens of one event, which callers count in.
TOKENS = 46
BURST_ITEMS = 224
BURST_SLOTS = 108
LONG_SHARE = 0.08
MAX_EVENTS = 130


def build_run(name: str, estimates: list[int], due: int = DUE) -> BatchRun:
    """Build a batch whose items have length estimates.

    :param due: age in milliseconds at which its results are due.
    """
    head = BatchHead(name, 'a', 'r', 'h', len(estimates), 0, due, 20_000, 'm')
    items = [
        BatchItem(f'{name}-{number}', '/i', {}, b'', length_estimate=estimate)
        for number, estimate in enumerate(estimates)
    ]
    return build_batch_run(head, items, (), 1, timedelta(0))


def list_waiting(*batches: BatchRun) -> list[tuple[BatchRun, ItemRun]]:
    """List all items of the batches in their order."""
    return [(batch, run) for batch in batches for run in batch.items]


def observe_exact_estimates(
    durations: DurationPredictor, count: int = 64
) -> None:
    """Observe items whose estimates are exact."""
    for number in range(count):
        events = 5 + number % 20
        took = timedelta(seconds=events * PACE)
        durations.observe('m', events * TOKENS, events, took)


def test_long_items_start_first() -> None:
    """Their position in the batch does not matter."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    batch = build_run('b', [500, 3000, 100, 6000])
    ordered = [
        run.index for _, run in durations.sort_by_urgency(list_waiting(batch))
    ]
    assert ordered == [3, 1, 0, 2]


def test_long_items_start_first_without_observations() -> None:
    # A daemon has just taken a step over, or restarted after a power loss. In
    # the order of the batch, its longest item would wait for a second, and
    # the trainer with it.
    batch = build_run('b', [100, 6000, 0, 500])
    ordered = DurationPredictor().sort_by_urgency(list_waiting(batch))
    assert [run.index for _, run in ordered] == [1, 3, 0, 2]


def test_batch_that_is_due_sooner_goes_first_without_observations() -> None:
    """Estimates only order items of batches due at the same time."""
    late = build_run('late', [100], due=DUE - 4000)
    new = build_run('new', [9000])
    ordered = DurationPredictor().sort_by_urgency(list_waiting(new, late))
    assert [batch.head.id for batch, _ in ordered] == ['late', 'new']


def test_items_without_estimates_keep_their_order() -> None:
    """Observations of other items do not matter."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    batch = build_run('b', [0, 0, 0])
    ordered = durations.sort_by_urgency(list_waiting(batch))
    assert [run.index for _, run in ordered] == [0, 1, 2]


def test_batch_that_is_due_sooner_goes_first() -> None:
    # A step is already three seconds late when the next one arrives. Its short
    # items go before those items of the new one that are not longer by more
    # than the time between both steps.
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    late = build_run('late', [1000], due=DUE - 4000)
    new = build_run('new', [2000, 9000])
    ordered = durations.sort_by_urgency(list_waiting(new, late))
    assert [run.item.id for _, run in ordered] == ['new-1', 'late-0', 'new-0']


def test_generated_text_reduces_the_remaining_duration() -> None:
    """An item that continues elsewhere counts by its remaining events."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    batch = build_run('b', [4600, 2300])
    batch.items[0].texts = ['x'] * 90
    ordered = [
        run.index for _, run in durations.sort_by_urgency(list_waiting(batch))
    ]
    assert ordered == [1, 0]


@pytest.mark.parametrize(
    ('estimate', 'made', 'left'),
    [
        (100 * TOKENS, 0, 100),
        (100 * TOKENS, 60, 40),
        (100 * TOKENS, 120, 30),
        (0, 50, 50),
    ],
)
def test_remaining_events_follow_from_the_estimate(
    estimate: int,
    made: int,
    left: int,
) -> None:
    """An item that exceeds its estimate is expected to continue."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    assert (
        abs(durations.predict_remaining_events('m', estimate, made) - left) <= 1
    )


@dataclass(slots=True)
class Item:
    """Item of a simulated step: its duration and its estimate."""

    seconds: float
    estimate: int


def replay(slots: int, items: list[Item]) -> float:
    """Run items in their order, and return when the last one ends."""
    free = [0.0] * slots
    for item in items:
        free.sort()
        free[0] += item.seconds
    return max(free)


def build_burst(seed: int) -> list[Item]:
    """Build the items that four models submit at the same time."""
    source = random.Random(seed)
    items = []
    for _ in range(BURST_ITEMS):
        events = source.lognormvariate(2.4, 0.8)
        if source.random() < LONG_SHARE:
            events *= 5
        events = min(events, MAX_EVENTS)
        error = source.lognormvariate(0, 0.5)
        estimate = max(int(events * TOKENS * error), 1)
        items.append(Item(events * PACE, estimate))
    return items


def order_burst(items: list[Item]) -> list[Item]:
    """Sort items as a daemon with enough observations does."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    batch = build_run('b', [item.estimate for item in items])
    ordered = durations.sort_by_urgency(list_waiting(batch))
    return [items[run.index] for _, run in ordered]


@pytest.mark.parametrize('seed', range(6))
def test_sorted_items_end_a_burst_early(seed: int) -> None:
    # Four models submit 224 items at once for 108 slots; one in twelve is five
    # times as long as the others. In the order of submission the last step
    # ends only with a long item that had to wait, a second later.
    items = build_burst(seed)
    ordered = order_burst(items)
    longest = max(item.seconds for item in items)
    assert replay(BURST_SLOTS, ordered) <= longest + 0.35
    assert replay(BURST_SLOTS, ordered) <= replay(BURST_SLOTS, items)
