"""Periodic polling of engines for reports, cache changes and drain notices."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Ok

from quetzalcourse.state.engines import OrderProblem
from quetzalcourse.state.manifest import Manifest, Upstream, UpstreamKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.ports import EngineControl
    from quetzalcourse.coordination.routing.drain_tracker import (
        DrainNotice,
        DrainTracker,
    )
    from quetzalcourse.coordination.routing.prefixes import PrefixCacheHints
    from quetzalcourse.coordination.routing.reports import EngineReports
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

POLL_INTERVAL = timedelta(seconds=1)
# Engines of other data centres are polled in every second round.
REMOTE_POLL_ROUNDS = 2
MAX_MISSED_REPORTS = 3


class EnginePoller:
    """Polls the engines for their reports once a second.

    Engines of other data centres are polled every other time, since they only
    get work that local engines can't take. A draining engine in any data
    centre has to be detected within three seconds.

    :param data_centre: data centre of this daemon.
    :param control: connections to the engines.
    :param running: returns the requests of this daemon on an upstream.
    """

    def __init__(
        self,
        data_centre: str,
        control: EngineControl,
        drain_tracker: DrainTracker,
        reports: EngineReports,
        prefixes: PrefixCacheHints,
        clock: Clock,
        counters: Counters,
        running: Callable[[str], int],
    ) -> None:
        """Start without upstreams."""
        self._data_centre = data_centre
        self._control = control
        self._drain_tracker = drain_tracker
        self._reports = reports
        self._prefixes = prefixes
        self._clock = clock
        self._counters = counters
        self._running = running
        self._manifest = Manifest()
        self._missed_reports: dict[str, int] = {}
        self._listeners: list[Callable[[DrainNotice], None]] = []

    def on_drain(self, listener: Callable[[DrainNotice], None]) -> None:
        """Register a listener for upstreams that start to drain."""
        self._listeners.append(listener)

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the upstreams and maintenance windows of a manifest."""
        self._manifest = manifest
        self._drain_tracker.on_manifest(manifest)
        self._check()

    async def run(self) -> None:
        """Poll the engines until cancelled."""
        began = self._clock.elapsed()
        rounds = 0
        while True:
            await self.poll_all(include_remote=rounds % REMOTE_POLL_ROUNDS == 0)
            # An engine that hangs delays its own round, but must not delay
            # the following rounds.
            now = self._clock.elapsed()
            rounds = max(rounds + 1, (now - began) // POLL_INTERVAL)
            await self._clock.sleep(began + POLL_INTERVAL * rounds - now)

    async def poll_all(self, *, include_remote: bool) -> None:
        """Poll the engines once.

        :param include_remote: whether to poll engines of other data centres
            too.
        """
        polled = [
            upstream
            for upstream in self._manifest.upstreams.values()
            if upstream.kind is UpstreamKind.engine
            and (include_remote or upstream.data_centre == self._data_centre)
        ]
        await asyncio.gather(*(self._poll(upstream) for upstream in polled))
        self._check()

    async def _poll(self, upstream: Upstream) -> None:
        name = upstream.name
        answer = await self._control.observe(upstream)
        if isinstance(answer, Err):
            self._on_missed(name, answer.err_value)
            return
        report = answer.ok_value
        self._missed_reports[name] = 0
        self._reports.on_report(name, report, self._running(name))
        self._drain_tracker.on_notice(name, leaving=report.leaving)
        after = self._prefixes.find_last_sequence(name)
        changes = await self._control.list_changes(upstream, after)
        if isinstance(changes, Ok):
            self._prefixes.on_changes(name, changes.ok_value)

    def _on_missed(self, name: str, problem: OrderProblem) -> None:
        self._counters.add('reports_missed', upstream=name)
        missed = self._missed_reports.get(name, 0) + 1
        self._missed_reports[name] = missed
        if missed >= MAX_MISSED_REPORTS:
            self._reports.discard(name)
        # No process listens there, so the next one starts with an empty cache
        # and numbers its changes from one again.
        if missed >= MAX_MISSED_REPORTS or problem is OrderProblem.not_sent:
            self._prefixes.on_restart(name)

    def _check(self) -> None:
        for notice in self._drain_tracker.check():
            for listener in self._listeners:
                listener(notice)
        draining = len(self._drain_tracker.list_draining())
        self._counters.set('upstreams_leaving', draining)
