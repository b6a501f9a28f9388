"""How many prompts find their prefix in the engine's cache."""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from bench.figure import Figure, at_least
from quetzalcourse.coordination.routing.prefixes import PrefixCacheHints
from quetzalcourse.coordination.routing.reports import EngineReports
from quetzalcourse.coordination.routing.routing import Router
from quetzalcourse.state.engines import CacheChange, EngineReport
from quetzalcourse.state.generation import GenerationRequest, TrafficClass
from quetzalcourse.state.manifest import Manifest, Upstream, UpstreamKind

if TYPE_CHECKING:
    from collections.abc import Sequence

FIGURES = ('prefix_hit_ratio',)
SEEDS = (1, 2, 3)
ENGINES = 8
SLOTS = 8
CACHED = 24
PREFIXES = 400
REQUESTS = 6000
DAEMONS = 3
IN_FLIGHT = 40
REPORT_EVERY = 60
LOST_SHARE = 0.1
NEVER = REQUESTS + 1


class Cache:
    """An engine's prefix cache, the least recently used going first."""

    def __init__(self) -> None:
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.changes: list[CacheChange] = []
        self.running = 0

    def use(self, prefix: str) -> bool:
        """Run a prompt and tell whether its prefix was there."""
        hit = prefix in self.prefixes
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if hit:
            return True
        if len(self.prefixes) > CACHED:
            gone, _ = self.prefixes.popitem(last=False)
            self._tell(gone, stored=False)
        self._tell(prefix, stored=True)
        return False

    def _tell(self, prefix: str, *, stored: bool) -> None:
        sequence = len(self.changes) + 1
        self.changes.append(CacheChange(sequence, stored, prefix))


class Daemon:
    """A daemon's router with hints that lag and have gaps."""

    def __init__(self, names: Sequence[str]) -> None:
        self.reports = EngineReports()
        self.prefixes = PrefixCacheHints()
        self.router = Router('hall', None, self.reports, self.prefixes)
        self.running = dict.fromkeys(names, 0)
        upstreams = {
            name: Upstream(
                name, UpstreamKind.engine, 'hall', '', SLOTS, ('verse',)
            )
            for name in names
        }
        self.router.on_manifest(Manifest(upstreams=upstreams))

    def hear(self, name: str, cache: Cache, random: Random) -> None:
        """Take an engine's report, without the changes that got lost."""
        report = EngineReport(SLOTS, cache.running, 0, 1, ('verse',), ())
        self.reports.on_report(name, report, self.running[name])
        after = self.prefixes.find_last_sequence(name)
        heard = [
            change
            for change in cache.changes[after:]
            if random.random() > LOST_SHARE
        ]
        self.prefixes.on_changes(name, heard)

    def choose(self, prefix: str, free: Sequence[str]) -> str:
        """Place a prompt as the product does."""
        request = GenerationRequest(
            '', '', TrafficClass.human, 'verse', prefix, 1, timedelta()
        )
        ranked = self.router.rank_engines(request, self.running.__getitem__)
        chosen = next(name for name in ranked if name in free)
        self.router.on_sent(chosen, request)
        return chosen


def draw_prompts(random: Random) -> list[str]:
    """Draw prefixes as prompts come: a few are asked for very often."""
    names = [f'prefix {number}' for number in range(PREFIXES)]
    weights = [1 / (number + 1) for number in range(PREFIXES)]
    return random.choices(names, weights, k=REQUESTS)


def measure_placement(
    prompts: Sequence[str],
    random: Random,
    *,
    routed: bool,
) -> float:
    """Place the prompts and tell which share found its prefix.

    :param routed: by the product's router, or else at random.
    """
    names = [f'engine-{number}' for number in range(ENGINES)]
    caches = {name: Cache() for name in names}
    daemons = [Daemon(names) for _ in range(DAEMONS)]
    running: list[tuple[Daemon, str]] = []
    hits = 0
    for number, prefix in enumerate(prompts):
        if len(running) == IN_FLIGHT:
            done, name = running.pop(random.randrange(IN_FLIGHT))
            done.running[name] -= 1
            caches[name].running -= 1
        free = [name for name in names if caches[name].running < SLOTS]
        daemon = daemons[number % DAEMONS]
        if routed:
            chosen = daemon.choose(prefix, free)
        else:
            chosen = random.choice(free)
        hits += caches[chosen].use(prefix)
        caches[chosen].running += 1
        daemon.running[chosen] += 1
        running.append((daemon, chosen))
        if number % REPORT_EVERY == 0:
            for each in daemons:
                for name, cache in caches.items():
                    each.hear(name, cache, random)
    return hits / len(prompts)


def measure_most(prompts: Sequence[str]) -> float:
    """Tell the share that no placement can exceed.

    All caches together are one, which drops the prefix that is needed
    last, knowing the future.
    """
    following = [NEVER] * len(prompts)
    seen: dict[str, int] = {}
    for number in range(len(prompts) - 1, -1, -1):
        following[number] = seen.get(prompts[number], NEVER)
        seen[prompts[number]] = number
    cached: dict[str, int] = {}
    hits = 0
    for number, prefix in enumerate(prompts):
        hits += prefix in cached
        cached[prefix] = following[number]
        if len(cached) > ENGINES * CACHED:
            del cached[max(cached, key=cached.__getitem__)]
    return hits / len(prompts)


async def measure() -> list[Figure]:
    """Place the same prompts in three ways."""
    routed, by_chance, most = [], [], []
    for seed in SEEDS:
        prompts = draw_prompts(Random(seed))
        routed.append(measure_placement(prompts, Random(seed), routed=True))
        by_chance.append(measure_placement(prompts, Random(seed), routed=False))
        most.append(measure_most(prompts))
    total = sum(most)
    return [
        Figure(
            'prefix_hit_ratio',
            sum(routed) / total,
            'of the most possible',
            at_least(0.8),
            baseline=sum(by_chance) / total,
            detail=(
                f'hits {sum(routed) / len(SEEDS):.3f}, at random '
                f'{sum(by_chance) / len(SEEDS):.3f}, most '
                f'{total / len(SEEDS):.3f}'
            ),
        )
    ]
