"""Brings new weight versions onto the engines of one data centre."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.weights.waves import Wave
from quetzalcourse.log import get_log
from quetzalcourse.state.engines import EngineOrder, OrderKind, OrderProblem
from quetzalcourse.state.manifest import Manifest, UpstreamKind
from quetzalcourse.state.waves import EngineView, WaveStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import EngineControl
    from quetzalcourse.coordination.steps.staleness import NewestVersions
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.engines import EngineReport
    from quetzalcourse.state.manifest import Upstream
    from quetzalcourse.state.waves import Swap, WaveLimits

INTERVAL = timedelta(milliseconds=500)
log = get_log('waves')


class WaveRunner:
    """Orders new versions while the data centre's lease is held.

    :param data_centre: whose engines to order.
    :param lease: the data centre's lease on orders to engines, which
        somebody else renews.
    :param find_report: tells an engine's last report, if it is recent.
    :param plan: what waves have to keep.
    """

    def __init__(
        self,
        data_centre: str,
        lease: Lease,
        control: EngineControl,
        newest: NewestVersions,
        find_report: Callable[[str], EngineReport | None],
        clock: Clock,
        counters: Counters,
        plan: WaveLimits,
    ) -> None:
        """Begin without a manifest."""
        self._data_centre = data_centre
        self._lease = lease
        self._control = control
        self._newest = newest
        self._find_report = find_report
        self._clock = clock
        self._counters = counters
        self._plan = plan
        self._manifest = Manifest()
        self._waves: dict[str, Wave] = {}
        self._orders: set[asyncio.Task[None]] = set()

    def on_manifest(self, manifest: Manifest) -> None:
        """Take the engines of a manifest that came into force."""
        self._manifest = manifest

    async def run(self) -> None:
        """Order what has to be ordered until cancelled."""
        while True:
            if self._lease.may_send:
                await self.advance()
            else:
                self._waves.clear()
            await self._clock.sleep(INTERVAL)

    async def finish(self) -> None:
        """Wait until every order on its way was answered or timed out."""
        if self._orders:
            await asyncio.wait(self._orders)

    def describe(self) -> dict[str, WaveStatus]:
        """Tell how far each model's newest version is, by model."""
        return {
            model: WaveStatus(wave.version, wave.behind, wave.failed)
            for model, wave in self._waves.items()
        }

    async def advance(self) -> None:
        """Choose the engines to tell now, and tell them."""
        for model, engines in self._list_engines().items():
            answer = await self._newest.find(model)
            if isinstance(answer, Err) or not answer.ok_value:
                continue
            wave = self._find_wave(model, answer.ok_value)
            views = self._view(engines)
            self._publish(model, wave, views)
            for swap in wave.choose(self._clock.elapsed(), views):
                self._send(wave, engines[swap.engine], swap)

    def _find_wave(self, model: str, version: int) -> Wave:
        wave = self._waves.get(model)
        if wave is None or wave.version < version:
            wave = Wave(version, self._plan)
            self._waves[model] = wave
            log.info('New weights.', model=model, version=version)
        return wave

    def _list_engines(self) -> dict[str, dict[str, Upstream]]:
        models: dict[str, dict[str, Upstream]] = defaultdict(dict)
        for name, upstream in self._manifest.upstreams.items():
            if upstream.data_centre != self._data_centre:
                continue
            if upstream.kind is UpstreamKind.engine and upstream.models:
                # An engine has one set of weights; its first model names it.
                models[upstream.models[0]][name] = upstream
        return models

    def _view(self, engines: dict[str, Upstream]) -> list[EngineView]:
        views = []
        for name, upstream in engines.items():
            report = self._find_report(name)
            if report is not None:
                views.append(
                    EngineView(name, upstream.slots, report.weight_version)
                )
        return views

    def _send(self, wave: Wave, upstream: Upstream, swap: Swap) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._order(wave, upstream, swap))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _order(self, wave: Wave, upstream: Upstream, swap: Swap) -> None:
        # Between the choice and this step of the loop the lease may have
        # ended; an engine that ignores tokens would obey two holders.
        if not self._lease.may_send:
            return
        token = self._lease.token
        order = EngineOrder(
            f'{swap.engine}/{swap.version}/{token}/{swap.attempt}',
            token,
            OrderKind.load_version,
            version=swap.version,
        )
        answer = await self._control.order(upstream, order)
        if isinstance(answer, Err):
            problem = answer.err_value
            self._counters.add('swaps_not_taken', problem=problem.value)
            if problem is not OrderProblem.unanswered:
                wave.give_up(swap)

    def _publish(
        self,
        model: str,
        wave: Wave,
        views: list[EngineView],
    ) -> None:
        self._counters.set('weights_newest', wave.version, model=model)
        wave.behind = wave.count_behind(views)
        self._counters.set('weights_engines_behind', wave.behind, model=model)
        self._counters.set('weights_swaps_failed', wave.failed, model=model)
