"""Seeded fault schedules for one step."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from quetzalcourse.standins.scripted_generation import ScriptedEngine
from quetzalcourse.state.rows import FaultKind
from quetzalcourse.tests.step_simulation import (
    StepSimulation,
    FakeTrainer,
    build_spec,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzalcourse.state.generation import GenerationRequest

MAX_FAULTS = 8
FAULT_WINDOW_SECONDS = 50.0
WRITE_FAULTS = ('not_applied', 'lost_before', 'lost_after')


@dataclass(frozen=True, slots=True)
class ScheduleOutcome:
    """Result of a schedule.

    :param faults: violated invariants.
    :param dropped: samples that were too old when they were read.
    """

    seed: int
    faults: tuple[str, ...]
    log: tuple[str, ...]
    seconds: float
    dropped: float


class Schedule:
    """Faults injected at random times while a step runs.

    :param seed: determines the faults and their times.
    """

    def __init__(self, seed: int) -> None:
        """Build the simulation."""
        self.log: list[str] = []
        self._simulation = StepSimulation(
            seed,
            [ScriptedEngine(f'engine-{index}', 4) for index in range(3)],
            plan_length,
            chunk_tokens=50,
        )
        self._random = self._simulation.random
        self._kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill_daemon,
            self._pause_daemon,
            self._stop_store,
            self._lose_writes,
            self._crash_engine,
            self._refuse,
            self._publish,
            self._hide_versions,
            self._fail_scoring,
        )

    async def run(self) -> ScheduleOutcome:
        """Run the step with its faults and return the result."""
        simulation = self._simulation
        for _ in range(3):
            simulation.start_daemon()
        scored = self._random.random() < 0.4
        spec = build_spec(
            staleness_bound=self._random.choice((1, 1, 2)),
            scored=scored,
            scoring_repeatable=self._random.random() < 0.5,
        )
        trainer = FakeTrainer(simulation, spec)
        loop = asyncio.get_running_loop()
        faults = [
            loop.create_task(self._inject_fault())
            for _ in range(self._random.randint(1, MAX_FAULTS))
        ]
        await trainer.run()
        await asyncio.gather(*faults)
        await simulation.stop()
        scorings = simulation.platform.scorings
        if not spec.scoring_repeatable and len(set(scorings)) < len(scorings):
            trainer.faults.append('a scoring call was repeated')
        return ScheduleOutcome(
            simulation.seed,
            tuple(trainer.faults),
            tuple(self.log),
            loop.time(),
            simulation.count('samples_dropped_at_reading'),
        )

    async def _inject_fault(self) -> None:
        await asyncio.sleep(self._random.uniform(0, FAULT_WINDOW_SECONDS))
        kind = self._random.choice(self._kinds)
        moment = asyncio.get_running_loop().time()
        self.log.append(f'{moment:.1f} {kind.__name__}')
        await kind()

    async def _kill_daemon(self) -> None:
        if self._simulation.daemons:
            self._simulation.kill(self._random.choice(self._simulation.daemons))
        await asyncio.sleep(self._random.uniform(0, 20))
        self._simulation.start_daemon()

    async def _pause_daemon(self) -> None:
        if not self._simulation.daemons:
            return
        daemon = self._random.choice(self._simulation.daemons)
        daemon.link.open.clear()
        await asyncio.sleep(self._random.uniform(1, 40))
        if daemon in self._simulation.daemons:
            daemon.link.open.set()

    async def _stop_store(self) -> None:
        self._simulation.platform.down = True
        await asyncio.sleep(self._random.uniform(1, 40))
        self._simulation.platform.down = False

    async def _lose_writes(self) -> None:
        for _ in range(self._random.randint(1, 6)):
            fault = self._random.choice(WRITE_FAULTS)
            self._simulation.platform.write_faults.append(fault)
            await asyncio.sleep(self._random.uniform(0, 1))

    async def _crash_engine(self) -> None:
        engine = self._random.choice(self._simulation.engines)
        engine.up = False
        await asyncio.sleep(self._random.uniform(1, 30))
        engine.up = True
        await self._simulation.generation.wake()

    async def _refuse(self) -> None:
        self._simulation.generation.refuse_next += self._random.randint(1, 20)

    async def _publish(self) -> None:
        version = self._simulation.platform.publish()
        for engine in self._simulation.engines:
            await asyncio.sleep(self._random.uniform(0, 4))
            engine.weight_version = max(engine.weight_version, version)
            await self._simulation.generation.wake()

    async def _hide_versions(self) -> None:
        engine = self._random.choice(self._simulation.engines)
        engine.names_versions = False
        await asyncio.sleep(self._random.uniform(1, 10))
        engine.names_versions = True

    async def _fail_scoring(self) -> None:
        for _ in range(self._random.randint(1, 6)):
            fault = self._random.choice(tuple(FaultKind))
            self._simulation.platform.scoring_faults.append(fault)


def plan_length(request: GenerationRequest) -> int:
    """Give most samples 50 to 250 tokens, and a few of them 900."""
    name = f'{request.prompt} {request.seed}'
    chance = xxhash.xxh32_intdigest(name.encode())
    return 900 if chance % 20 == 0 else 50 + chance % 200
