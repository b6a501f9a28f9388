"""Simulation of daemons, a trainer and faults on virtual time."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from quetzalcourse.coordination.service_levels.service_levels import (
    ServiceLevelTracker,
)
from quetzalcourse.coordination.steps.step_assembly import build_step_service
from quetzalcourse.standins.scripted_generation import (
    ScriptedEngine,
    ScriptedGeneration,
)
from quetzalcourse.standins.virtual_time import VirtualClock
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.state.rows import FaultKind, StoreFault
from quetzalcourse.state.steps import StepSpec
from quetzalcourse.tests.peers import FakeMembers
from quetzalcourse.tests.tables import FakeStore, make_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.steps.step_service import StepService
    from quetzalcourse.state.generation import GenerationRequest
    from quetzalcourse.state.steps import DeliveredBatch, Sample

MODEL = 'verse'
TRAINER = 'drill'
VERSION_PROPAGATION = timedelta(seconds=3)


class FakePlatform(FakeStore):
    """Store, weight store and scoring service with fault injection.

    :ivar published: publication time and number of each weight version.
    """

    def __init__(self) -> None:
        """Start with version 1."""
        super().__init__()
        self.published: list[tuple[float, int]] = [(0.0, 1)]
        self.weights_down = False
        self.scorings: list[str] = []
        self.scoring_faults: list[FaultKind] = []

    async def newest(self, model: str) -> Result[int, StoreFault]:
        """Return the newest version."""
        if self.down or self.weights_down:
            return Err(make_fault(FaultKind.not_applied))
        return Ok(self.published[-1][1])

    async def score(
        self, sample_id: str, text: str
    ) -> Result[float, FaultKind]:
        """Return the length of the text as its score."""
        fault = self.scoring_faults.pop() if self.scoring_faults else None
        if fault is FaultKind.not_applied:
            return Err(fault)
        self.scorings.append(sample_id)
        return Err(fault) if fault else Ok(float(len(text)))

    def publish(self) -> int:
        """Publish the next weight version."""
        version = self.published[-1][1] + 1
        self.published.append((asyncio.get_running_loop().time(), version))
        return version

    def find_newest_at(self, moment: float) -> int:
        """Return the version that was newest at a loop time."""
        return max(
            (version for at, version in self.published if at <= moment),
            default=1,
        )


class DaemonLink:
    """Connection of one daemon to the platform, which can be blocked.

    :param latency: latency of a request in seconds.
    """

    def __init__(self, platform: FakePlatform, latency: float) -> None:
        """Start connected."""
        self._platform = platform
        self._latency = latency
        self.open = asyncio.Event()
        self.open.set()

    def __getattr__(self, name: str) -> Callable[..., Any]:
        """Forward a request once the link is open."""
        call = getattr(self._platform, name)

        async def pass_on(*args: Any) -> Any:
            await self.open.wait()
            await asyncio.sleep(self._latency)
            return await call(*args)

        return pass_on


@dataclass(eq=False)
class FakeDaemon:
    """Step service of one daemon with its link."""

    member: Member
    link: DaemonLink
    steps: StepService
    counters: Counters
    scan: asyncio.Task[None]


@dataclass(eq=False)
class StepSimulation:
    """Simulation of daemons, engines and the platform around steps.

    :param seed: seed of all random choices.
    """

    seed: int
    engines: list[ScriptedEngine]
    plan_length: Callable[[GenerationRequest], int]
    latency: float = 0.01
    chunk_tokens: int = 50
    platform: FakePlatform = field(default_factory=FakePlatform)
    daemons: list[FakeDaemon] = field(default_factory=list)
    counters: list[Counters] = field(default_factory=list)
    started: int = 0

    def __post_init__(self) -> None:
        """Create the generation and the random source."""
        self.random = random.Random(self.seed)
        self.generation = ScriptedGeneration(
            self.engines, self.plan_length, self.chunk_tokens
        )
        self._members: list[FakeMembers] = []
        self._stopping: list[asyncio.Task[None]] = []

    def start_daemon(self, **changes: Any) -> FakeDaemon:
        """Start a daemon.

        :param changes: parts of dispatch that replace the defaults.
        """
        self.started += 1
        name = f'daemon-{self.started}'
        member = Member(name, name, 'hall', '127.0.0.1:1')
        members = FakeMembers(member, [])
        self._members.append(members)
        link = DaemonLink(self.platform, self.latency)
        clock = VirtualClock(timedelta(seconds=100 * self.started))
        counters = Counters()
        steps = build_step_service(
            link,  # type: ignore[arg-type]
            self.generation,
            clock,
            counters,
            ServiceLevelTracker(clock, counters),
            members,
            **changes,
        )
        scan = asyncio.get_running_loop().create_task(
            steps.adopt_orphaned_steps()
        )
        daemon = FakeDaemon(member, link, steps, counters, scan)
        self.daemons.append(daemon)
        self.counters.append(counters)
        self._update_membership()
        return daemon

    def kill(self, daemon: FakeDaemon) -> None:
        """Kill a daemon: its streams end and it writes nothing more."""
        daemon.link.open.clear()
        daemon.scan.cancel()
        self.daemons.remove(daemon)
        self._update_membership()
        loop = asyncio.get_running_loop()
        self._stopping.append(loop.create_task(daemon.steps.stop()))

    async def stop(self) -> None:
        """Stop every daemon."""
        for daemon in self.daemons:
            daemon.scan.cancel()
            daemon.link.open.set()
            await daemon.steps.stop()

    def count(self, name: str, **labels: str) -> float:
        """Sum a counter over all daemons that ever ran."""
        return sum(one.read(name, **labels) for one in self.counters)

    def _update_membership(self) -> None:
        live = [daemon.member for daemon in self.daemons]
        for members in self._members:
            members.change(live)


def build_spec(**changes: Any) -> StepSpec:
    """Build a step of four groups of eight samples."""
    fields: dict[str, Any] = {
        'trainer': TRAINER,
        'step': 1,
        'client_account': 'trainers',
        'model': MODEL,
        'prompts_name': '',
        'groups': 4,
        'samples_per_group': 8,
        'max_tokens': 4000,
        'weight_version': 1,
        'staleness_bound': 1,
        'deadline_seconds': 600.0,
        'body_digest': 'body',
        'created': datetime(2026, 1, 1, tzinfo=UTC),
    }
    return StepSpec(**fields | changes)


def list_prompts(spec: StepSpec) -> tuple[str, ...]:
    """Return a prompt for each group of a step."""
    return tuple(f'prompt-{group}' for group in range(spec.groups))


class FakeTrainer:
    """Reads a step from random daemons and checks the batches.

    :ivar faults: violated invariants.
    """

    def __init__(self, simulation: StepSimulation, spec: StepSpec) -> None:
        """Start at the first batch."""
        self.samples: dict[tuple[int, int], Sample] = {}
        self.faults: list[str] = []
        self.ages: list[int] = []
        self._simulation = simulation
        self._spec = spec
        self._seen: dict[int, DeliveredBatch] = {}
        self._cursor = 0

    async def run(self, limit: float = 3000.0, poll: float = 1.0) -> None:
        """Create the step and read until it is complete.

        :param limit: seconds after which samples count as lost.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + limit
        while not await self._create():
            await asyncio.sleep(poll)
        while not await self._read():
            if loop.time() > end:
                missing = self._spec.total - len(self.samples)
                self.faults.append(f'{missing} samples lost')
                return
            await asyncio.sleep(poll)

    def _choose(self) -> StepService | None:
        reachable = [
            daemon.steps
            for daemon in self._simulation.daemons
            if daemon.link.open.is_set()
        ]
        return self._simulation.random.choice(reachable) if reachable else None

    async def _create(self) -> bool:
        steps = self._choose()
        if steps is None:
            return False
        created = steps.create(self._spec, list_prompts(self._spec))
        try:
            answer = await asyncio.wait_for(created, 5)
        except asyncio.TimeoutError:
            return False
        return isinstance(answer, Ok)

    async def _read(self) -> bool:
        steps = self._choose()
        if steps is None:
            return False
        spec = self._spec
        reading = steps.read(spec.trainer, spec.step, self._cursor)
        try:
            answer = await asyncio.wait_for(reading, 5)
        except asyncio.TimeoutError:
            return False
        if isinstance(answer, Err):
            return False
        for batch in answer.ok_value:
            self._check(batch)
        if self._simulation.random.random() < 0.2:
            return False
        for batch in answer.ok_value:
            self._accept(batch)
        acknowledged = steps.acknowledge(spec.trainer, spec.step, self._cursor)
        if self._simulation.random.random() < 0.5 and answer.ok_value:
            try:
                await asyncio.wait_for(acknowledged, 5)
            except asyncio.TimeoutError:
                return False
        else:
            acknowledged.close()
        return any(batch.whole for batch in answer.ok_value)

    def _check(self, batch: DeliveredBatch) -> None:
        known = self._seen.setdefault(batch.position, batch)
        if known != batch:
            self.faults.append(f'batch {batch.position} differs')
        if known is batch:
            for sample in batch.samples:
                self._check_sample(sample)

    def _check_sample(self, sample: Sample) -> None:
        spec = self._spec
        now = asyncio.get_running_loop().time()
        propagated = now - VERSION_PROPAGATION.total_seconds()
        newest = self._simulation.platform.find_newest_at(propagated)
        versions = read_versions(sample.text)
        listed = [
            part.weight_version
            for part in sample.versions
            for _ in range(part.start, part.end)
        ]
        if versions != listed:
            self.faults.append(f'{sample.key} mislabelled')
        age = max(newest, spec.weight_version) - min(versions)
        self.ages.append(max(0, age))
        if age > spec.staleness_bound:
            self.faults.append(f'{sample.key} is {age} versions old')
        if spec.scored and sample.score != len(sample.text):
            self.faults.append(f'{sample.key} has no score')

    def _accept(self, batch: DeliveredBatch) -> None:
        if batch.position < self._cursor:
            return
        for sample in batch.samples:
            place = (sample.group, sample.index)
            if place in self.samples:
                self.faults.append(f'{place} delivered twice')
            self.samples[place] = sample
        self._cursor = batch.position + 1


def read_versions(text: str) -> list[int]:
    """Return the weight version that generated each token of a text."""
    return [int(token.partition('@')[2]) for token in text.split()]
