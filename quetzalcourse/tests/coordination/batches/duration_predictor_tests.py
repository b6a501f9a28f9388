"""Order of items by what their callers expect of their lengths."""

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
    """Build a batch whose items have estimates."""
    head = BatchHead(name, 'a', 'r', 'h', len(estimates), 0, due, 20_000, 'm')
    items = [
        BatchItem(f'{name}-{number}', '/i', {}, b'', length_estimate=estimate)
        for number, estimate in enumerate(estimates)
    ]
    return build_batch_run(head, items, (), 1, timedelta(0))


def list_waiting(*batches: BatchRun) -> list[tuple[BatchRun, ItemRun]]:
    """List all items of batches in their order."""
    return [(batch, run) for batch in batches for run in batch.items]


def observe_exact_estimates(
    durations: DurationPredictor, count: int = 64
) -> None:
    """Show items whose estimates are right."""
    for number in range(count):
        events = 5 + number % 20
        took = timedelta(seconds=events * PACE)
        durations.observe('m', events * TOKENS, events, took)


def test_long_items_start_first() -> None:
    """Also where they stand last in their batch."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    batch = build_run('b', [500, 3000, 100, 6000])
    ordered = [
        run.index for _, run in durations.sort_by_urgency(list_waiting(batch))
    ]
    assert ordered == [3, 1, 0, 2]


def test_long_items_start_first_without_observations() -> None:
    # A daemon has just taken a step over, or begun anew after a loss of
    # power. Its longest item, begun in the order of the batch, waits for a
    # second, and the trainer with it.
    batch = build_run('b', [100, 6000, 0, 500])
    ordered = DurationPredictor().sort_by_urgency(list_waiting(batch))
    assert [run.index for _, run in ordered] == [1, 3, 0, 2]


def test_batch_that_is_due_sooner_goes_first_without_observations() -> None:
    """Estimates order the items of batches that are due at the same time."""
    late = build_run('late', [100], due=DUE - 4000)
    new = build_run('new', [9000])
    ordered = DurationPredictor().sort_by_urgency(list_waiting(new, late))
    assert [batch.head.id for batch, _ in ordered] == ['late', 'new']


def test_items_without_estimates_keep_their_order() -> None:
    """Whatever was learned of others."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    batch = build_run('b', [0, 0, 0])
    ordered = durations.sort_by_urgency(list_waiting(batch))
    assert [run.index for _, run in ordered] == [0, 1, 2]


def test_batch_that_is_due_sooner_goes_first() -> None:
    # A step is already three seconds late when the next one comes. Its short
    # items go before those of the new one that are no longer than the time
    # between them.
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    late = build_run('late', [1000], due=DUE - 4000)
    new = build_run('new', [2000, 9000])
    ordered = durations.sort_by_urgency(list_waiting(new, late))
    assert [run.item.id for _, run in ordered] == ['new-1', 'late-0', 'new-0']


def test_generated_text_reduces_the_remaining_duration() -> None:
    """An item that goes on elsewhere counts by what is left of it."""
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
    """An item that is longer than estimated still goes on for a while."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    assert (
        abs(durations.predict_remaining_events('m', estimate, made) - left) <= 1
    )


@dataclass(slots=True)
class Item:
    """An item of a replayed step: its length and its estimate."""

    seconds: float
    estimate: int


def replay(slots: int, items: list[Item]) -> float:
    """Run items in their order, and tell when the last one ends."""
    free = [0.0] * slots
    for item in items:
        free.sort()
        free[0] += item.seconds
    return max(free)


def build_burst(seed: int) -> list[Item]:
    """Build the items that four models submit at the same moment."""
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
    """Order items as a daemon does that has learned their lengths."""
    durations = DurationPredictor()
    observe_exact_estimates(durations)
    batch = build_run('b', [item.estimate for item in items])
    ordered = durations.sort_by_urgency(list_waiting(batch))
    return [items[run.index] for _, run in ordered]


@pytest.mark.parametrize('seed', range(6))
def test_sorted_items_end_a_burst_early(seed: int) -> None:
    # Four models submit 224 items at once for 108 slots, one in twelve five
    # times as long as the others. In the order of their submission the last
    # step ends when a long item that waited ends.
    items = build_burst(seed)
    ordered = order_burst(items)
    longest = max(item.seconds for item in items)
    assert replay(BURST_SLOTS, ordered) <= longest + 0.35
    assert replay(BURST_SLOTS, ordered) <= replay(BURST_SLOTS, items)
