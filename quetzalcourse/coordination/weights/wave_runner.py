"""Deploys new weight versions to the engines of one data centre."""

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

POLL_INTERVAL = timedelta(milliseconds=500)
log = get_log('waves')


class WaveRunner:
    """Orders engines to load new versions while the lease is held.

    :param data_centre: data centre of the engines.
    :param lease: lease on orders to the engines of the data centre, acquired
        and renewed elsewhere.
    :param find_report: returns an engine's last report, if it is recent.
    :param plan: limits that every wave respects.
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
        """Start with an empty manifest."""
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
        self._order_tasks: set[asyncio.Task[None]] = set()

    def on_manifest(self, manifest: Manifest) -> None:
        """Use the engines of a manifest that came into force."""
        self._manifest = manifest

    async def run(self) -> None:
        """Advance the waves until cancelled."""
        while True:
            if self._lease.may_send:
                await self.advance()
            else:
                self._waves.clear()
            await self._clock.sleep(POLL_INTERVAL)

    async def finish(self) -> None:
        """Wait until every order in flight was answered or timed out."""
        if self._order_tasks:
            await asyncio.wait(self._order_tasks)

    def describe(self) -> dict[str, WaveStatus]:
        """Return the status of the newest version's wave, by model."""
        return {
            model: WaveStatus(wave.version, wave.behind, wave.failed)
            for model, wave in self._waves.items()
        }

    async def advance(self) -> None:
        """Choose the engines that load a version now, and order them to."""
        for model, engines in self._list_engines().items():
            answer = await self._newest.fetch(model)
            if isinstance(answer, Err) or not answer.ok_value:
                continue
            wave = self._get_wave(model, answer.ok_value)
            views = self._build_views(engines)
            self._publish(model, wave, views)
            for swap in wave.choose_swaps(self._clock.elapsed(), views):
                self._start_order(wave, engines[swap.engine], swap)

    def _get_wave(self, model: str, version: int) -> Wave:
        wave = self._waves.get(model)
        if wave is None or wave.version < version:
            wave = Wave(version, self._plan)
            self._waves[model] = wave
            log.info(
                'New weight version; starting a wave.',
                model=model,
                version=version,
            )
        return wave

    def _list_engines(self) -> dict[str, dict[str, Upstream]]:
        models: dict[str, dict[str, Upstream]] = defaultdict(dict)
        for name, upstream in self._manifest.upstreams.items():
            if upstream.data_centre != self._data_centre:
                continue
            if upstream.kind is UpstreamKind.engine and upstream.models:
                # An engine has one set of weights, named by its first model.
                models[upstream.models[0]][name] = upstream
        return models

    def _build_views(self, engines: dict[str, Upstream]) -> list[EngineView]:
        views = []
        for name, upstream in engines.items():
            report = self._find_report(name)
            if report is not None:
                views.append(
                    EngineView(name, upstream.slots, report.weight_version)
                )
        return views

    def _start_order(self, wave: Wave, upstream: Upstream, swap: Swap) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._send_order(wave, upstream, swap))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)

    async def _send_order(
        self,
        wave: Wave,
        upstream: Upstream,
        swap: Swap,
    ) -> None:
        # The lease may have ended since the engine was chosen. An engine that
        # ignores fencing tokens would obey two lease holders.
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
                wave.mark_timed_out(swap)

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
