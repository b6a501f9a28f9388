"""Samples are complete, labelled and recent, or generated again."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.coordination.steps.sample_producer import (
    ProducerParts,
    SampleProducer,
)
from quetzalcourse.coordination.steps.sample_stream import SampleSpec
from quetzalcourse.coordination.steps.staleness import (
    NewestVersions,
    is_labelled,
)
from quetzalcourse.coordination.steps.stragglers import MitigationKind
from quetzalcourse.standins.scripted_generation import (
    ScriptedEngine,
    ScriptedGeneration,
)
from quetzalcourse.standins.virtual_time import VirtualClock, run_virtual
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.steps import Sample, SampleKey, VersionRange
from quetzalcourse.tests.step_simulation import (
    MODEL,
    FakePlatform,
    build_spec,
    read_versions,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LENGTH = 100


class ProducerScenario:
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
        sample_spec = SampleSpec(
            build_spec(staleness_bound=bound),
            SampleKey(0, 0),
            'prompt',
            0,
            clock.elapsed() + timedelta(seconds=60),
            'run',
        )
        parts = ProducerParts(
            self.generation, clock, self.counters, self.newest, lambda: None
        )
        self.producer = SampleProducer(sample_spec, parts)

    async def run(
        self,
        script: Callable[[ProducerScenario], Awaitable[None]],
    ) -> Sample:
        task = asyncio.ensure_future(self.producer.produce())
        await script(self)
        sample = await task
        await asyncio.sleep(0.01)
        assert self.first.running + self.second.running == 0
        return sample


async def start_copy(scenario: ProducerScenario) -> None:
    await asyncio.sleep(3.05)
    await scenario.producer.mitigate(MitigationKind.copy)


async def move_stream(scenario: ProducerScenario) -> None:
    await asyncio.sleep(3.05)
    await scenario.producer.mitigate(MitigationKind.move)


async def start_copy_twice(scenario: ProducerScenario) -> None:
    await start_copy(scenario)
    await scenario.producer.mitigate(MitigationKind.copy)


async def crash_engine(scenario: ProducerScenario) -> None:
    await asyncio.sleep(3.05)
    scenario.first.up = False


async def refuse_requests(scenario: ProducerScenario) -> None:
    scenario.generation.refuse_next = 3


async def swap_weights(scenario: ProducerScenario) -> None:
    await asyncio.sleep(3.05)
    scenario.first.weight_version = 2


async def outdate_versions(scenario: ProducerScenario) -> None:
    await asyncio.sleep(3.05)
    for engine in scenario.generation.engines:
        engine.weight_version = 3
    scenario.newest.observe(MODEL, 3)


async def hide_versions(scenario: ProducerScenario) -> None:
    scenario.first.names_versions = False


@pytest.mark.parametrize(
    ('script', 'max_tokens', 'versions'),
    [
        (start_copy, 160, [1] * LENGTH),
        (move_stream, 100, [1] * LENGTH),
        (start_copy_twice, 160, [1] * LENGTH),
        (crash_engine, 100, [1] * LENGTH),
        (refuse_requests, 100, [1] * LENGTH),
        (swap_weights, 100, [1] * 30 + [2] * 70),
        (outdate_versions, 140, [3] * LENGTH),
        (hide_versions, 110, [1] * LENGTH),
    ],
)
def test_sample_is_complete_and_correctly_labelled(
    script: Callable[[ProducerScenario], Awaitable[None]],
    max_tokens: int,
    versions: list[int],
) -> None:
    # Engines crash, refuse requests, swap weights, fall behind or omit
    # versions in the middle of a sample. The trainer must get one complete
    # text whose labels name the weights that generated each token.
    async def run() -> tuple[Sample, int]:
        scenario = ProducerScenario()
        sample = await scenario.run(script)
        return sample, scenario.generation.generated_tokens

    sample, tokens = run_virtual(run())
    assert read_versions(sample.text) == versions
    assert sample.token_count == LENGTH
    assert is_labelled(sample)
    assert tokens <= max_tokens


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
