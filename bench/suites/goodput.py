"""What is served while a data centre of upstreams is lost."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from bench.figure import Figure, at_least, at_most
from bench.virtual_time import VirtualClock, run_virtual
from quetzalcourse.coordination.slots.admission import Admission
from quetzalcourse.coordination.requests.attempt import AttemptError
from quetzalcourse.coordination.requests.generation_runner import (
    GenerationRunner,
)
from quetzalcourse.coordination.routing.outlier_detection import OutlierDetector
from quetzalcourse.coordination.requests.retries import RetryBudget
from quetzalcourse.coordination.routing.routing import Router
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.generation import (
    AttemptState,
    Chunk,
    GenerationRequest,
    TrafficClass,
)
from quetzalcourse.state.manifest import (
    ClientAccount,
    Manifest,
    Upstream,
    UpstreamKind,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

FIGURES = (
    'goodput_ratio',
    'goodput_ratio_overloaded',
    'connects_to_lost_per_s',
)
SEEDS = (1, 2)
SLOTS = 8
HALLS = ('lost-hall', 'other-hall')
ENGINES = 4
CHUNKS = 10
CHUNK_SECONDS = 0.1
CONNECT_SECONDS = 2.0
PATIENCE = timedelta(seconds=5)
LOSS = 10.0
END = 40.0
SECONDS_A_REQUEST = CHUNKS * CHUNK_SECONDS
LEFT_RATE = ENGINES * SLOTS / SECONDS_A_REQUEST
LOADS = (0.9, 1.3)


class TrustingHealth(OutlierDetector):
    """Baseline: every upstream may always be tried."""

    def admits(self, name: str) -> bool:
        """Admit without a look at failures."""
        return True


class EndlessBudget(RetryBudget):
    """Baseline: every failure is retried."""

    def spend(self, client_account: str) -> bool:
        """Allow one more retry."""
        return True


@dataclass
class Engines:
    """Engines of which one data centre is gone from a moment on.

    A connection to a machine that is gone gets no answer at all.
    """

    connects: int = 0
    lost: asyncio.Event = field(default_factory=asyncio.Event)

    async def generate(
        self,
        upstream: Upstream,
        request: GenerationRequest,
        tokens: tuple[str, ...],
    ) -> AsyncIterator[Chunk]:
        """Send a chunk every tenth of a second."""
        mortal = upstream.data_centre == HALLS[0]
        if mortal and self.lost.is_set():
            self.connects += 1
            await asyncio.sleep(CONNECT_SECONDS)
            raise AttemptError(AttemptState.not_sent, 'connect', upstream.name)
        for offset in range(len(tokens), CHUNKS):
            await asyncio.sleep(CHUNK_SECONDS)
            if mortal and self.lost.is_set():
                raise AttemptError(
                    AttemptState.broken, 'generate', upstream.name
                )
            reason = 'stop' if offset + 1 == CHUNKS else ''
            yield Chunk(request.request_id, offset, ('a',), 1, reason)

    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Wait for a machine that is gone as long as for a connect."""
        if upstream.data_centre == HALLS[0] and self.lost.is_set():
            await asyncio.sleep(CONNECT_SECONDS)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one run came to.

    :param goodput: served in time over what the slots left allow.
    :param connects: tries of lost engines a second.
    """

    goodput: float
    connects: float


def build_manifest() -> Manifest:
    """List the engines of both data centres."""
    upstreams = {
        f'{hall}-{number}': Upstream(
            f'{hall}-{number}',
            UpstreamKind.engine,
            hall,
            '',
            SLOTS,
            ('verse',),
            cheap=True,
        )
        for hall in HALLS
        for number in range(ENGINES)
    }
    account = ClientAccount('trainers', 1.0, 1e6, 10**6, 10**6)
    return Manifest(client_accounts={'trainers': account}, upstreams=upstreams)


class World:
    """A daemon's generation before the engines.

    :param guarded: with health and budget, or else retrying naively.
    """

    def __init__(self, seed: int, *, guarded: bool) -> None:
        """Build the parts inside the running loop."""
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.engines = Engines()
        counters = Counters()
        kind = OutlierDetector if guarded else TrustingHealth
        health = kind(self.clock, counters, random.Random(seed))
        admission = Admission(self.clock)
        router = Router(HALLS[0])
        self.generation = GenerationRunner(
            admission,
            router,
            health,
            RetryBudget() if guarded else EndlessBudget(),
            self.engines,
            self.clock,
            counters,
        )
        for part in (admission, router, health):
            part.on_manifest(build_manifest())
        self.arrived = 0
        self.served = 0

    async def play(self, load: float) -> Outcome:
        """Send requests as they come, whether or not others are served."""
        tasks = []
        loop = asyncio.get_running_loop()
        loop.call_at(LOSS, self.engines.lost.set)
        number = 0
        while loop.time() < END:
            gap = self.random.expovariate(load * LEFT_RATE)
            await asyncio.sleep(gap)
            number += 1
            tasks.append(loop.create_task(self._ask(number)))
        await asyncio.gather(*tasks)
        await self.generation.stop()
        # What came last may be served until its patience ends.
        seconds = END - LOSS + PATIENCE.total_seconds()
        possible = min(self.arrived, LEFT_RATE * seconds)
        return Outcome(
            self.served / possible, self.engines.connects / (END - LOSS)
        )

    async def _ask(self, number: int) -> None:
        began = self.clock.elapsed()
        counted = began >= timedelta(seconds=LOSS)
        self.arrived += counted
        request = GenerationRequest(
            str(number),
            'trainers',
            TrafficClass.training,
            'verse',
            f'prompt {number}',
            CHUNKS,
            began + PATIENCE,
        )
        with suppress(RefusedError):
            async for _ in self.generation.run(request):
                continue
            self.served += counted


def play(seed: int, load: float, *, guarded: bool) -> Outcome:
    """Run one schedule in virtual time."""

    async def work() -> Outcome:
        return await World(seed, guarded=guarded).play(load)

    outcome: Outcome = run_virtual(work)
    return outcome


def play_all(load: float, *, guarded: bool) -> Outcome:
    """Average one load over the seeds."""
    outcomes = [play(seed, load, guarded=guarded) for seed in SEEDS]
    return Outcome(
        sum(one.goodput for one in outcomes) / len(SEEDS),
        sum(one.connects for one in outcomes) / len(SEEDS),
    )


async def measure() -> list[Figure]:
    """Lose a data centre with and without health and budget."""
    return await asyncio.to_thread(compare)


def compare() -> list[Figure]:
    """Play every load both ways."""
    below, above = LOADS
    guarded = play_all(below, guarded=True)
    naive = play_all(below, guarded=False)
    crowded = play_all(above, guarded=True)
    crowded_naive = play_all(above, guarded=False)
    return [
        Figure(
            'goodput_ratio',
            guarded.goodput,
            'served in time over possible',
            at_least(0.9),
            baseline=naive.goodput,
            detail=f'load {below:g} of the slots left',
        ),
        Figure(
            'goodput_ratio_overloaded',
            crowded.goodput,
            'served in time over possible',
            at_least(0.9),
            baseline=crowded_naive.goodput,
            detail=f'load {above:g} of the slots left',
        ),
        Figure(
            'connects_to_lost_per_s',
            guarded.connects,
            '1/s',
            at_most(1.0),
            baseline=naive.connects,
        ),
    ]
