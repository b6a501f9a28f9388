"""A sample is made whole, labelled and new enough, or made again."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.coordination.steps.sample_making import (
    MakingParts,
    SampleMaking,
)
from quetzalcourse.coordination.steps.sample_stream import SampleOrder
from quetzalcourse.coordination.steps.staleness import (
    NewestVersions,
    is_labelled,
)
from quetzalcourse.coordination.steps.stragglers import RescueKind
from quetzalcourse.standins.rollouts import ScriptedEngine, ScriptedGeneration
from quetzalcourse.standins.virtual_time import VirtualClock, run_virtual
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.steps import Sample, SampleKey, VersionRange
from quetzalcourse.tests.step_world import (
    MODEL,
    FakePlatform,
    build_spec,
    read_versions,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LENGTH = 100


class Making:
    """One sample on two scripted engines of one slot each."""

    def __init__(self, bound: int = 1) -> None:
        self.first = ScriptedEngine('first', 1, 0.1)
        self.second = ScriptedEngine('second', 1, 0.05)
        self.generation = ScriptedGeneration(
            [self.first, self.second], lambda request: LENGTH, chunk_tokens=10
        )
        self.platform = FakePlatform()
        clock, self.counters = VirtualClock(), Counters()
        self.newest = NewestVersions(self.platform, clock)
        order = SampleOrder(
            build_spec(staleness_bound=bound),
            SampleKey(0, 0),
            'prompt',
            0,
            clock.elapsed() + timedelta(seconds=60),
            'run',
        )
        parts = MakingParts(
            self.generation, clock, self.counters, self.newest, lambda: None
        )
        self.making = SampleMaking(order, parts)

    async def run(self, script: Callable[[Making], Awaitable[None]]) -> Sample:
        making = asyncio.ensure_future(self.making.make())
        await script(self)
        sample = await making
        await asyncio.sleep(0.01)
        assert self.first.running + self.second.running == 0
        return sample


async def copy(made: Making) -> None:
    await asyncio.sleep(3.05)
    await made.making.rescue(RescueKind.copy)


async def move(made: Making) -> None:
    await asyncio.sleep(3.05)
    await made.making.rescue(RescueKind.move)


async def rescue_twice(made: Making) -> None:
    await copy(made)
    await made.making.rescue(RescueKind.copy)


async def crash(made: Making) -> None:
    await asyncio.sleep(3.05)
    made.first.up = False


async def refuse(made: Making) -> None:
    made.generation.refuse_next = 3


async def swap(made: Making) -> None:
    await asyncio.sleep(3.05)
    made.first.weight_version = 2


async def outdate(made: Making) -> None:
    await asyncio.sleep(3.05)
    for engine in made.generation.engines:
        engine.weight_version = 3
    made.newest.observe(MODEL, 3)


async def hide(made: Making) -> None:
    made.first.names_versions = False


@pytest.mark.parametrize(
    ('script', 'made', 'versions'),
    [
        (copy, 160, [1] * LENGTH),
        (move, 100, [1] * LENGTH),
        (rescue_twice, 160, [1] * LENGTH),
        (crash, 100, [1] * LENGTH),
        (refuse, 100, [1] * LENGTH),
        (swap, 100, [1] * 30 + [2] * 70),
        (outdate, 140, [3] * LENGTH),
        (hide, 110, [1] * LENGTH),
    ],
)
def test_sample_is_whole_and_truly_labelled(
    script: Callable[[Making], Awaitable[None]],
    made: int,
    versions: list[int],
) -> None:
    # Engines crash, refuse, swap weights, fall behind or hide versions in
    # the middle of a sample. What the trainer gets must be one whole text
    # whose labels say which weights made which tokens.
    async def run() -> tuple[Sample, int]:
        scene = Making()
        sample = await scene.run(script)
        return sample, scene.generation.made

    sample, tokens = run_virtual(run())
    assert read_versions(sample.text) == versions
    assert sample.token_count == LENGTH
    assert is_labelled(sample)
    assert tokens <= made


@pytest.mark.parametrize(
    ('ranges', 'expected'),
    [
        ((), False),
        (((1, 0, 10),), True),
        (((1, 0, 4), (2, 4, 10)), True),
        (((1, 0, 4), (2, 5, 10)), False),
        (((1, 0, 4), (0, 4, 10)), False),
        (((1, 0, 9),), False),
    ],
)
def test_labels_cover_every_token(
    ranges: tuple[tuple[int, int, int], ...],
    expected: bool,
) -> None:
    parts = tuple(VersionRange(*one) for one in ranges)
    sample = Sample(0, 0, 'text', 10, 'stop', parts)
    assert is_labelled(sample) is expected
