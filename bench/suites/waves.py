"""New weights onto 890 engines of seven data centres."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta

from bench.figure import SHOWN, Figure, at_least, at_most
from quetzalcourse.coordination.weights.waves import Wave
from quetzalcourse.state.waves import EngineView, WaveLimits

FIGURES = (
    'version_spread_s',
    'version_spread_higher_share_s',
    'serving_share_min',
    'weight_loads_per_s',
)
SEED = 11
ENGINES = 890
DATA_CENTRES = 7
SLOTS = 16
SHARE = 0.75
HIGHER_SHARE = 0.8
LOADS_PER_SECOND = 8.0
LOAD_SECONDS = (2.5, 4.5)
FAIL_SHARE = 0.02
REPORT_LAG = 1.0
TICK = 0.5
LIMIT_SECONDS = 31.0
SWAP_TIMEOUT = timedelta(seconds=6.5)


@dataclass
class EngineFake:
    """Engine that takes a while to load, and sometimes fails to."""

    name: str
    fails: bool
    load_seconds: float
    loading_until: float | None = None

    def load(self, now: float) -> None:
        """Begin to load, or fail once."""
        if self.fails:
            self.fails = False
        else:
            self.loading_until = now + self.load_seconds

    def is_serving(self, now: float) -> bool:
        """Whether it serves, on whichever weights."""
        return self.loading_until is None or now >= self.loading_until

    def report(self, now: float) -> EngineView:
        """Tell what it reported a while ago."""
        until = self.loading_until
        loaded = until is not None and now - REPORT_LAG >= until
        return EngineView(self.name, SLOTS, 2 if loaded else 1)


@dataclass
class Spread:
    """What came of a version's way onto one data centre's engines."""

    seconds: float = 0.0
    share: float = 1.0
    loads: list[float] = field(default_factory=list)


async def measure() -> list[Figure]:
    """Spread a version with waves, and one engine after another."""
    plan = WaveLimits(SHARE, LOADS_PER_SECOND, SWAP_TIMEOUT)
    waves = [spread_all(number, plan) for number in range(DATA_CENTRES)]
    single = WaveLimits(1.0, LOADS_PER_SECOND, SWAP_TIMEOUT)
    alone = [spread_all(number, single) for number in range(DATA_CENTRES)]
    higher = WaveLimits(HIGHER_SHARE, LOADS_PER_SECOND, SWAP_TIMEOUT)
    slower = [spread_all(number, higher) for number in range(DATA_CENTRES)]
    loads = sorted(at for wave in waves for at in wave.loads)
    return [
        Figure(
            'version_spread_s',
            max(wave.seconds for wave in waves),
            's, all engines',
            at_most(LIMIT_SECONDS),
            baseline=max(wave.seconds for wave in alone),
            detail=f'{ENGINES} engines; baseline one after another',
        ),
        Figure(
            'version_spread_higher_share_s',
            max(wave.seconds for wave in slower),
            f's at a share of {HIGHER_SHARE:g}',
            SHOWN,
        ),
        Figure(
            'serving_share_min',
            min(wave.share for wave in waves),
            'of the slots',
            at_least(SHARE),
        ),
        Figure(
            'weight_loads_per_s',
            max(count_within(loads, at) for at in loads),
            'most in a second',
            at_most(DATA_CENTRES * LOADS_PER_SECOND * 2),
            detail=f'allowed on average {DATA_CENTRES * LOADS_PER_SECOND:g}',
        ),
    ]


def spread_all(number: int, plan: WaveLimits) -> Spread:
    """Bring a version onto the engines of one data centre."""
    chance = random.Random(SEED + number)
    count = ENGINES // DATA_CENTRES + (number < ENGINES % DATA_CENTRES)
    engines = {
        str(index): EngineFake(
            str(index),
            chance.random() < FAIL_SHARE,
            chance.uniform(*LOAD_SECONDS),
        )
        for index in range(count)
    }
    wave = Wave(2, plan)
    found = Spread()
    now = 0.0
    while True:
        views = [engine.report(now) for engine in engines.values()]
        if not wave.count_behind(views):
            found.seconds = now
            return found
        for swap in wave.choose_swaps(timedelta(seconds=now), views):
            engines[swap.engine].load(now)
            found.loads.append(now)
        serving = sum(one.is_serving(now) for one in engines.values())
        found.share = min(found.share, serving / count)
        now += TICK


def count_within(loads: list[float], since: float) -> int:
    """Count the loads that began within a second."""
    return sum(since <= at < since + 1 for at in loads)
