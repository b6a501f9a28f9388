"""Whole steps of 1,024 samples on virtual time: idle time and waste."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import xxhash

from bench.figure import Figure, at_most
from quetzalcourse.coordination.steps.dispatch_order import LengthEstimator
from quetzalcourse.standins.scripted_generation import ScriptedEngine
from quetzalcourse.standins.virtual_time import run_virtual
from quetzalcourse.tests.step_simulation import (
    StepSimulation,
    FakeTrainer,
    build_spec,
)

if TYPE_CHECKING:
    from quetzalcourse.state.generation import GenerationRequest
    from quetzalcourse.state.steps import StepSpec

FIGURES = (
    'trainer_idle_ratio',
    'trainer_idle_ratio_faults',
    'staleness_mean',
    'staleness_max',
    'wasted_tokens_ratio',
    'wasted_tokens_ratio_faults',
    'store_writes_per_step',
    'store_writes_per_second',
)
STEPS = 3
GROUPS = 128
SAMPLES = 8
SLOTS = 16
FAST_ENGINES = 3
SLOW_ENGINES = 1
TOKEN_SECONDS = 0.2
SLOW_TOKEN_SECONDS = 0.3
CHUNK_TOKENS = 5
TYPICAL_TOKENS = 70
STRAGGLER_SHARE = 50
STRAGGLER_FACTOR = 4
BOUND = 1
WEIGHTS_SECONDS = 180.0
SWAP_SECONDS = 3.0
WAVE_SECONDS = 4.0
REPAIR_SECONDS = 60.0
SEED = 5


class NoLengths(LengthEstimator):
    """Memory that learns nothing: samples begin first come, first served."""

    def observe(self, trainer: str, prompt: str, tokens: int) -> None:
        """Forget the length."""


@dataclass(frozen=True)
class Course:
    """A few steps in a row, or at once, and what they need.

    :param ratios: step time over the time of a perfect schedule.
    """

    ratios: list[float]
    ages: list[int]
    wasted: float
    writes: int
    seconds: float
    faults: list[str]


async def measure() -> list[Figure]:
    """Run the courses, each in its own virtual time."""
    plain = await run_course(faults=False, helped=True)
    plain_base = await run_course(faults=False, helped=False)
    broken = await run_course(faults=True, helped=True)
    broken_base = await run_course(faults=True, helped=False)
    unbound = await run_course(faults=True, helped=True, bound=100)
    trio = await run_course(faults=False, helped=True, trainers=3, steps=1)
    wrong = plain.faults + broken.faults + trio.faults
    if wrong:
        raise AssertionError(wrong[:5])
    return [
        compare('trainer_idle_ratio', plain, plain_base, 1.15),
        compare('trainer_idle_ratio_faults', broken, broken_base, 1.35),
        Figure(
            'staleness_mean',
            sum(broken.ages) / len(broken.ages),
            'versions',
            at_most(BOUND),
            baseline=sum(unbound.ages) / len(unbound.ages),
            detail='baseline without a bound',
        ),
        Figure(
            'staleness_max',
            max(broken.ages),
            'versions',
            at_most(BOUND),
            baseline=max(unbound.ages),
            detail='baseline without a bound',
        ),
        Figure(
            'wasted_tokens_ratio',
            plain.wasted,
            'wasted/delivered',
            at_most(0.02),
            baseline=plain_base.wasted,
        ),
        Figure(
            'wasted_tokens_ratio_faults',
            broken.wasted,
            'wasted/delivered',
            at_most(0.2),
            baseline=broken_base.wasted,
        ),
        Figure(
            'store_writes_per_step',
            plain.writes / STEPS,
            'writes',
            at_most(GROUPS * SAMPLES / 2),
            baseline=GROUPS * SAMPLES,
            detail='baseline: a write a sample',
        ),
        Figure(
            'store_writes_per_second',
            trio.writes / trio.seconds,
            'writes/s at 3 trainers',
            at_most(10),
            baseline=3 * GROUPS * SAMPLES / trio.seconds,
            detail='baseline: a write a sample',
        ),
    ]


def compare(name: str, found: Course, base: Course, limit: float) -> Figure:
    """Make the figure of the mean ratio against the baseline's."""
    ratios = ' '.join(f'{ratio:.3f}' for ratio in found.ratios)
    return Figure(
        name,
        sum(found.ratios) / len(found.ratios),
        'step/perfect',
        at_most(limit),
        baseline=sum(base.ratios) / len(base.ratios),
        detail=f'steps {ratios}',
    )


async def run_course(
    *,
    faults: bool,
    helped: bool,
    bound: int = BOUND,
    trainers: int = 1,
    steps: int = STEPS,
) -> Course:
    """Run a course on a virtual loop in a thread of its own.

    :param helped: with learnt lengths and stragglers helped along.
    :param trainers: steps of how many trainers run at once.
    """
    course = CourseRun(faults, helped, bound, trainers, steps)
    return await asyncio.to_thread(lambda: run_virtual(course.run()))


class CourseRun:
    """One course."""

    def __init__(
        self,
        faults: bool,
        helped: bool,
        bound: int,
        trainers: int,
        steps: int,
    ) -> None:
        """Keep what to run."""
        self._faults = faults
        self._helped = helped
        self._bound = bound
        self._trainers = trainers
        self._steps = steps

    async def run(self) -> Course:
        """Run the steps and say what they needed."""
        self._world = StepSimulation(
            SEED, build_engines(), plan_length, chunk_tokens=CHUNK_TOKENS
        )
        for _ in range(3):
            self._start_daemon()
        loop = asyncio.get_running_loop()
        publishing = loop.create_task(self._publish())
        self._ratios: list[float] = []
        self._readers: list[FakeTrainer] = []
        for step in range(1, self._steps + 1):
            await asyncio.gather(
                *(
                    self._run_step(f'trainer-{number}', step)
                    for number in range(self._trainers)
                )
            )
        seconds = loop.time()
        publishing.cancel()
        await self._world.stop()
        return self._sum_up(seconds)

    def _start_daemon(self) -> None:
        if self._helped:
            self._world.start_daemon()
        else:
            self._world.start_daemon(
                lengths=NoLengths(), plan=lambda running, idle: []
            )

    async def _run_step(self, trainer: str, step: int) -> None:
        loop = asyncio.get_running_loop()
        newest = self._world.platform.published[-1][1]
        spec = build_spec(
            trainer=trainer,
            step=step,
            groups=GROUPS,
            samples_per_group=SAMPLES,
            max_tokens=100_000,
            weight_version=newest,
            staleness_bound=self._bound,
        )
        reader = FakeTrainer(self._world, spec)
        self._readers.append(reader)
        perfect = find_perfect(spec, self._world.engines) * self._trainers
        began = loop.time()
        breaking = []
        if self._faults:
            breaking = [
                loop.create_task(self._crash_engine(perfect * 0.3)),
                loop.create_task(self._kill_runner(spec, perfect * 0.6)),
            ]
        await reader.run()
        self._ratios.append((loop.time() - began) / perfect)
        await asyncio.gather(*breaking)

    async def _publish(self) -> None:
        while True:
            await asyncio.sleep(WEIGHTS_SECONDS / 2)
            version = self._world.platform.publish()
            for engine in self._world.engines:
                now = asyncio.get_running_loop().time()
                engine.paused_until = now + SWAP_SECONDS
                engine.weight_version = version
                await self._world.generation.wake()
                await asyncio.sleep(WAVE_SECONDS)
            spread = WAVE_SECONDS * len(self._world.engines)
            await asyncio.sleep(WEIGHTS_SECONDS / 2 - spread)

    async def _crash_engine(self, after: float) -> None:
        await asyncio.sleep(after)
        engine = self._world.engines[0]
        engine.up = False
        await asyncio.sleep(REPAIR_SECONDS)
        engine.up = True
        await self._world.generation.wake()

    async def _kill_runner(self, spec: StepSpec, after: float) -> None:
        await asyncio.sleep(after)
        steps = self._world.daemons[0].steps
        progress = (await steps.get_progress(spec.trainer, spec.step)).unwrap()
        for daemon in tuple(self._world.daemons):
            run = progress.run
            if run and run.holder == daemon.member.incarnation:
                self._world.kill(daemon)
        self._start_daemon()

    def _sum_up(self, seconds: float) -> Course:
        delivered = sum(
            sample.token_count
            for reader in self._readers
            for sample in reader.samples.values()
        )
        return Course(
            self._ratios,
            [age for reader in self._readers for age in reader.ages],
            self._world.generation.generated_tokens / delivered - 1,
            self._world.platform.writes,
            seconds,
            [fault for reader in self._readers for fault in reader.faults],
        )


def build_engines() -> list[ScriptedEngine]:
    """Build fast engines and a few slower ones."""
    fast = ScriptedEngine('', SLOTS, TOKEN_SECONDS)
    slow = replace(fast, token_seconds=SLOW_TOKEN_SECONDS)
    kinds = [fast] * FAST_ENGINES + [slow] * SLOW_ENGINES
    return [
        replace(kind, name=f'engine-{index}')
        for index, kind in enumerate(kinds)
    ]


def plan_length(request: GenerationRequest) -> int:
    """Give each group its typical length, and a few samples far more."""
    return choose_length(request.prompt, request.seed)


def choose_length(prompt: str, seed: int) -> int:
    """Choose the length of a sample, the same in every run."""
    group = draw(prompt)
    own = draw(f'{prompt} {seed}')
    tokens = TYPICAL_TOKENS * math.exp(group - 0.5) * (0.8 + 0.4 * own)
    if draw(f'{prompt} {seed} straggler') < 1 / STRAGGLER_SHARE:
        tokens *= STRAGGLER_FACTOR
    return int(tokens)


def draw(name: str) -> float:
    """Draw a number below one, the same for the same name."""
    return xxhash.xxh32_intdigest(name.encode()) / 2**32


def find_perfect(spec: StepSpec, engines: list[ScriptedEngine]) -> float:
    """Find the least time that any schedule of a step could need.

    All slots busy to the end with all engines up, and no less than the
    longest sample on the fastest engine.
    """
    lengths = [
        choose_length(f'prompt-{group}', index)
        for group in range(spec.groups)
        for index in range(spec.samples_per_group)
    ]
    rate = sum(engine.slots / engine.token_seconds for engine in engines)
    fastest = min(engine.token_seconds for engine in engines)
    return max(sum(lengths) / rate, max(lengths) * fastest)
