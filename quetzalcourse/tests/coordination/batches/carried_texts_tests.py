"""Tests of texts that a later batch uses from an ended one."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest
from msgspec.structs import replace

from quetzalcourse.coordination.batches import carried_texts
from quetzalcourse.coordination.batches.batch_run import build_batch_run
from quetzalcourse.coordination.batches.carried_texts import CarriedTexts
from quetzalcourse.coordination.batches.item_run import ItemState
from quetzalcourse.coordination.forwarding.pool import Pool
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.platform.documents import read_manifest
from quetzalcourse.standins.rollout import documents
from quetzalcourse.state.batches import (
    BatchHead,
    BatchItem,
    ScoringCall,
    StreamEvent,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.pool import PoolMember
from quetzalcourse.tests.clocks import FakeClock

if TYPE_CHECKING:
    from typing import Any

    from quetzalcourse.coordination.batches.batch_run import BatchRun

LENGTH = 20
HEAD = BatchHead(
    'b', 'desk', 'r-drill', 'h', 1, 0, 7500, 20_000, 'm', min_version=3
)
ITEM = BatchItem('i-0', '/i', {'a': 'b'}, b'x', group='g-0')


def build_batch(*numbers: int, item: BatchItem = ITEM, **head: Any) -> BatchRun:
    """Build a batch of items in groups of four."""
    items = [
        replace(item, id=f'i-{number}', group=f'g-{number // 4}')
        for number in numbers
    ]
    built = replace(HEAD, total=len(items), **head)
    return build_batch_run(built, items, (), 1, timedelta(0))


def generate(
    batch: BatchRun, index: int, events: int, version: int = 3
) -> None:
    """Append events to an item, and finish it with its last one."""
    run = batch.items[index]
    for number in range(len(run.texts) + 1, len(run.texts) + events + 1):
        run.append(StreamEvent(number, f'{run.item.id}.{number}'), version)
    if run.last_event == LENGTH:
        batch.finish(run, run.build_completed_result())


class World:
    """Texts of one daemon, whose upstream holds version 4."""

    def __init__(self) -> None:
        """Start without texts."""
        self.clock = FakeClock()
        self.counters = Counters()
        pool = Pool('hall-a', self.clock, self.counters)
        pool.replace(
            PoolMember(
                'e', documents.ENGINES, 'e', 'hall-a', 8, versions={'m': 4}
            )
        )
        routes = RouteTable()
        config = json.dumps(documents.build_config()).encode()
        routes.adopt(read_manifest(config).unwrap())
        self.texts = CarriedTexts(pool, routes, self.clock, self.counters)

    def repeat(self, events: int, *versions: int, **changes: Any) -> Any:
        """End a batch of one item, and return the run of its repetition.

        :param events: events of each version.
        """
        first = build_batch(0)
        for version in versions:
            generate(first, 0, events, version)
        self.texts.keep(first)
        second = build_batch(0, **changes)
        self.texts.restore(second, ())
        return second.items[0]

    def count(self, name: str) -> dict[str, float]:
        """Return a counter by the value of its only label."""
        series = self.counters.counts.get(name, {})
        return {dict(key).popitem()[1]: value for key, value in series.items()}


def test_step_continues_the_groups_of_the_last_one() -> None:
    # Load: a step is ended with a third of its groups incomplete, half of
    # their items done, and the next step repeats these groups first.
    world = World()
    first = build_batch(*range(36))
    for index in range(36):
        generate(first, index, 10 if index < 12 and index % 2 else LENGTH)
    world.texts.keep(first)
    second = build_batch(*range(12), *range(100, 120), id='c')
    world.texts.restore(second, ())
    assert world.count('texts_carried') == {'whole': 6, 'partial': 6}
    assert sum(world.counters.counts['carried_events'].values()) == 180
    for index in range(1, 12, 2):
        assert second.items[index].resume_after == '10'
        generate(second, index, 10)
    assert len({result.id for result in second.uncommitted}) == 12
    assert len(second.uncommitted) == 12
    for result in second.uncommitted:
        assert result.text.split('\n') == [
            f'{result.id}.{number}' for number in range(1, LENGTH + 1)
        ]
        assert result.versions == [3]
    assert all(run.is_untouched for run in second.items[12:])


@pytest.mark.parametrize(
    ('versions', 'changes', 'reason'),
    [
        ((2, 3), {}, 'old_version'),
        ((3,), {'min_version': 4}, 'old_version'),
        ((0,), {}, 'old_version'),
        ((3, 4), {'single_version': True}, 'mixed_versions'),
        ((3,), {'single_version': True}, 'mixed_versions'),
        ((3,), {'item': replace(ITEM, body=b'y')}, 'changed_item'),
        ((3,), {'item': replace(ITEM, headers={})}, 'changed_item'),
        ((3,), {'item': replace(ITEM, path='/j')}, 'changed_item'),
        ((3,), {'client_account': 'other'}, None),
        ((3,), {'model': 'other'}, None),
    ],
)
def test_unfit_text_is_not_used(
    versions: tuple[int, ...], changes: dict[str, Any], reason: str | None
) -> None:
    # Guards against samples of weights that the trainer does not accept,
    # against texts that no upstream can continue on their only version, and
    # against the answer to another prompt under a repeated id.
    world = World()
    assert world.repeat(4, *versions, **changes).is_untouched
    assert world.count('texts_not_carried') == ({reason: 1} if reason else {})


def test_fit_text_is_used() -> None:
    world = World()
    mixed = world.repeat(4, 3, 4)
    assert (mixed.resume_after, mixed.versions) == ('8', [3, 4])
    assert world.repeat(LENGTH, 3, single_version=True).completed
    assert world.repeat(4, 4, single_version=True).resume_after == '4'
    scored = replace(ITEM, scoring=ScoringCall('s', 'h', '/s'))
    run = world.repeat(LENGTH, 3, item=scored)
    assert run.state is ItemState.unscored
    assert run.build_partial().whole


def test_batch_is_repeated_before_its_end_is_known() -> None:
    # Guards against work that is lost because the end of a batch, made at
    # another daemon, arrives here after the next batch.
    first, second = build_batch(0), build_batch(0, id='c')
    generate(first, 0, 4)
    World().texts.restore(second, [first])
    generate(first, 0, 1)
    assert second.items[0].resume_after == '4'


def test_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(carried_texts, 'MAX_TEXTS', 8)
    world = World()
    batch = build_batch(*range(12))
    for index in range(12):
        # The complete group in the middle is evicted first.
        generate(batch, index, LENGTH if 4 <= index < 8 else 1)
    world.texts.keep(batch)
    assert len(world.texts) == 8
    assert world.count('texts_not_carried') == {'evicted': 4}
    world.texts.restore(batch := build_batch(*range(12)), ())
    assert [run.index for run in batch.items if run.is_untouched] == [
        4,
        5,
        6,
        7,
    ]
    monkeypatch.setattr(carried_texts, 'MAX_BYTES', 9)
    assert world.repeat(2, 3).is_untouched
    world.texts.keep(batch)
    world.clock.move(carried_texts.MAX_AGE + timedelta(seconds=1))
    world.texts.keep(build_batch(30))
    assert len(world.texts) == 0
