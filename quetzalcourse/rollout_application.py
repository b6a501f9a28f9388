"""Application object of a daemon that runs on a platform."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.admission_components import build_forwarding_components
from quetzalcourse.batch_components import (
    build_batch_components,
    carry_texts,
    use_step_triage,
)
from quetzalcourse.coordination.duties.usage_windows import WindowCounts
from quetzalcourse.coordination.feeds.wall_clock import WallClockEstimate
from quetzalcourse.coordination.forwarding.route_table import RouteTable
from quetzalcourse.duty_components import build_duty_components
from quetzalcourse.feed_components import build_feed_components
from quetzalcourse.incarnation import generate_incarnation
from quetzalcourse.item_components import build_batch_calls
from quetzalcourse.lifecycle import Lifecycle
from quetzalcourse.log import get_log
from quetzalcourse.quarantine_components import build_quarantine_components
from quetzalcourse.slot_grant_components import share_slots
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.transport.activity import Activity
from quetzalcourse.transport.batch_routes import BatchRoutes
from quetzalcourse.transport.clock import SystemClock
from quetzalcourse.transport.request_dispatcher import RequestDispatcher
from quetzalcourse.transport.gateway import (
    apply_limits,
    build_gateway,
    build_probe_app,
)
from quetzalcourse.transport.metrics import render_metrics
from quetzalcourse.transport.peer_link import PeerLink
from quetzalcourse.transport.sockets import open_listener
from quetzalcourse.transport.upstream_client import UpstreamClient
from quetzalcourse.transport.web import WebServer
from quetzalcourse.upstream_components import (
    audit_slots,
    build_upstream_components,
    limit_cold_starts,
)

if TYPE_CHECKING:
    from quetzalcourse.coordination.admission.slot_limits import SlotLimits
    from quetzalcourse.deployment import Deployment
    from quetzalcourse.log_output import LogRateLimiter, NonBlockingOutput
    from quetzalcourse.state.routing import RoutingManifest
    from quetzalcourse.state.rows import Row

OK = 200
UNAVAILABLE = 503
# The load balancer removes a daemon after two failed probes, one a second.
BALANCER_REMOVAL_TIME = timedelta(seconds=3)
# Time for the last responses before the platform kills the process.
STOP_MARGIN = timedelta(seconds=1.2)
LAST_ANSWERS_TIME = timedelta(milliseconds=200)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
log = get_log('application')


class RolloutApplication:
    """Runs one daemon on a platform from start to graceful shutdown.

    :param deployment: adapter to the platform.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Open the listening sockets, so that callers can connect."""
        self.settings = deployment.settings
        self.clock = SystemClock()
        self.counters = Counters()
        self.activity = Activity()
        self.incarnation = generate_incarnation(self.settings.vm)
        self.lifecycle = Lifecycle(self.clock, self.counters)
        self.peers = PeerLink(
            self.settings.listen.peers,
            (self.settings.peer_secret,),
            self.clock,
            self.counters,
        )
        self._deployment = deployment
        self._log_output: NonBlockingOutput | None = None
        self._log_limit: LogRateLimiter | None = None
        listen = self.settings.listen
        self._listeners = {
            address: open_listener(address)
            for address in (listen.callers, listen.readiness, listen.metrics)
        }

    def attach_log_output(
        self, output: NonBlockingOutput, limit: LogRateLimiter
    ) -> None:
        """Report suppressed and dropped log lines in the metrics."""
        self._log_output = output
        self._log_limit = limit

    async def on_start(self) -> None:
        """Build the components and start serving."""
        self.lifecycle.on_stop(self._deployment.close)
        self._build_store()
        self._build_upstreams()
        self._build_components()
        await self._build_servers()
        self._start_components()
        log.info(
            'Daemon started.',
            vm=self.settings.vm,
            incarnation=self.incarnation,
            address=self.settings.listen.callers,
        )

    async def on_drain(self) -> None:
        """Hand over batches and duties, and finish the running requests."""
        self.activity.draining = True
        self.activity.ready = False
        began = self.clock.elapsed()
        deadline = began + self.settings.timings.stop_deadline - STOP_MARGIN
        log.info('Drain began.', serving=self.activity.serving)
        self._dispatcher.drain_limits.on_drain(
            min(began + BALANCER_REMOVAL_TIME, began + (deadline - began) / 2),
            deadline,
        )
        self.forwarding.on_drain()
        await self.presence.leave()
        await self.batches.takeover.hand_over()
        await self.duties.hand_over()
        while self.clock.elapsed() < deadline:
            elapsed_drain = self.clock.elapsed() - began
            if elapsed_drain > BALANCER_REMOVAL_TIME:
                busy = self._servers[0].close_idle()
                if not busy and not self.activity.serving:
                    break
            await self.clock.sleep(DRAIN_POLL_INTERVAL)
        await self._end_drain()

    async def _end_drain(self) -> None:
        """Take no more requests, and answer the ones that still run."""
        self._dispatcher.drain_limits.on_drain_end()
        await self._servers[0].close_port()
        log.info('Drain ended.', cut=self.activity.serving)
        self._dispatcher.cutoff.interrupt_all()
        deadline = self.clock.elapsed() + LAST_ANSWERS_TIME
        while self.activity.serving and self.clock.elapsed() < deadline:
            await self.clock.sleep(DRAIN_POLL_INTERVAL)

    def list_servers(self) -> list[WebServer]:
        """List the servers of callers, health probes and metrics."""
        return list(self._servers)

    async def on_stop(self) -> None:
        """Close everything that was opened, also after a partial start."""
        await self.lifecycle.stop()
        self.peers.stop()
        for listener in self._listeners.values():
            listener.close()
        log.info('Daemon stopped.')

    def _build_store(self) -> None:
        self.store = self._deployment.open_store(self.clock, self.counters)
        self.routes = RouteTable()
        self.wall_clock = WallClockEstimate(self.clock, self.store.clock)
        self.counts = WindowCounts(
            self.wall_clock,
            self.settings.timings.usage_window,
            self._on_usage_counted,
        )
        own = Member(
            self.settings.vm,
            self.incarnation,
            self.settings.data_centre,
            self.settings.listen.peers,
            cores=self.settings.cores,
        )
        self.feeds = build_feed_components(
            own,
            self._deployment.documents,
            self.store,
            self.peers,
            self.counts,
            self.wall_clock,
            self.clock,
            self.counters,
        )
        self.presence = self.feeds.presence
        self.presence.set_window_source(self.counts.find_counted_window)
        self.feeds.operators.on_rows(self.on_operator_rows)
        self.peers.start(own)

    def _build_upstreams(self) -> None:
        self.upstreams = build_upstream_components(
            self.settings,
            self.feeds,
            self._deployment.documents,
            self.routes,
            self.clock,
            self.counters,
        )
        self.pool = self.upstreams.pool
        self.calls = UpstreamClient()
        self.quarantine = build_quarantine_components(
            self.pool,
            self.store,
            self.presence,
            self.peers,
            self.clock,
            self.counters,
        )
        self.lifecycle.on_stop(self.calls.close)
        # Runs once no more requests are served, and before the store's
        # connections are closed.
        self.lifecycle.on_stop(self._write_last_usage)

    def _build_components(self) -> None:
        calls = build_batch_calls(
            self.calls,
            self._deployment.upstreams,
            self.pool,
            self.quarantine.ends,
            self.peers,
            self.clock,
            self.counters,
        )
        self.batches = build_batch_components(
            self.feeds,
            self.store.clock,
            calls,
            self.pool,
            self.upstreams.residency,
            self.quarantine.quarantine,
            self.clock,
            self.counters,
        )
        if self.settings.load_control.step_triage:
            use_step_triage(self.batches, self.routes, self.clock)
        limit_cold_starts(
            self.upstreams,
            self.settings,
            self.feeds,
            self.batches.allocator,
            self.routes,
            self.clock,
        )
        carry_texts(
            self.batches,
            self.settings,
            self.pool,
            self.routes,
            self.clock,
            self.counters,
        )
        self.batches.takeover.result_retention = (
            self.settings.timings.batch_retention
        )
        self.duties = build_duty_components(
            self._deployment,
            self.store,
            self.presence,
            self.pool,
            self.routes,
            self.batches.directory,
            self.wall_clock,
            self.counters,
        )

        self.duties.load_controller.on_loads(self.batches.load_updates)

    def _share_limits(self, local: SlotLimits) -> SlotLimits:
        if not self.settings.load_control.shared_slots:
            return local
        return share_slots(
            local,
            self.pool,
            self.presence,
            self.peers,
            self.lifecycle,
            self.clock,
            self.counters,
        )

    async def _build_servers(self) -> None:
        self.forwarding = build_forwarding_components(
            self._deployment,
            self.upstreams,
            self.calls,
            self.quarantine,
            self.counts.record,
            self._share_limits,
            self.clock,
            self.counters,
        )
        self.lifecycle.on_stop(self.forwarding.stop)
        self._dispatcher = RequestDispatcher(
            self._deployment.callers,
            self.upstreams.residency,
            self.forwarding.proxy,
            BatchRoutes(self.batches.service, self._deployment.callers),
            self.activity,
            self.clock,
            self.counters,
        )
        listen = self.settings.listen
        self._gateway = build_gateway('callers', self._dispatcher.serve)
        apps = {
            listen.callers: self._gateway,
            listen.readiness: build_probe_app(
                'readiness', self._report_readiness
            ),
            listen.metrics: build_probe_app('metrics', self._report_metrics),
        }
        self._servers = [
            WebServer(app, self._listeners[address])
            for address, app in apps.items()
        ]
        for server in self._servers:
            self.lifecycle.on_stop(server.stop)
            await server.start()

    def _start_components(self) -> None:
        self.feeds.start(self.lifecycle)
        self.lifecycle.run('registrations', self.upstreams.registrations.run)
        self.quarantine.start(self.lifecycle)
        self.batches.start(self.lifecycle)
        self.duties.start(self.lifecycle)
        audit_slots(
            self.upstreams,
            self.calls,
            self.lifecycle,
            self.clock,
            self.counters,
        )
        self.routes.on_manifest(self.on_manifest)

    def on_operator_rows(self, rows: list[Row]) -> None:
        """Apply changed rows of operators and trainers."""
        documents = self._deployment.documents
        for row in rows:
            if row.key.startswith(documents.evacuation_prefix):
                self._on_evacuation_row(row)
            elif row.removed:
                continue
            elif row.key == documents.manifest_key:
                self._on_manifest_row(row)
            elif row.key.startswith(documents.version_prefix):
                self._on_version_row(row)

    def on_manifest(self, manifest: RoutingManifest) -> None:
        """Apply a newly effective manifest."""
        apply_limits(self._gateway, manifest.limits)

    def _on_manifest_row(self, row: Row) -> None:
        answer = self._deployment.documents.read_manifest(row.content)
        if isinstance(answer, Err):
            log.error('Manifest is malformed.', reason=answer.err_value)
            return
        self.routes.adopt(answer.ok_value)

    def _on_version_row(self, row: Row) -> None:
        answer = self._deployment.documents.read_version(row.content)
        if isinstance(answer, Err):
            log.error('Named version is malformed.', reason=answer.err_value)
            return
        self.duties.load_controller.on_named(*answer.ok_value)

    def _on_evacuation_row(self, row: Row) -> None:
        prefix = self._deployment.documents.evacuation_prefix
        data_centre = row.key.removeprefix(prefix)
        if row.removed:
            self.upstreams.evacuations.on_removal(data_centre)
        else:
            self.upstreams.evacuations.on_request(data_centre)

    async def _write_last_usage(self) -> None:
        """Write the usage of requests that ended just before the stop."""
        if self.counts.describe():
            await self.presence.flush()

    def _on_usage_counted(self) -> None:
        self.presence.announce()

    def _report_readiness(self, path: str) -> tuple[int, bytes]:
        ready = (
            self.routes.manifest is not None
            and self.feeds.upstreams.loaded
            and not self.activity.draining
            and self.feeds.store_readiness.is_ready()
        )
        known = path == self._deployment.readiness_path
        return (OK, b'ready') if ready and known else (UNAVAILABLE, b'')

    def _report_metrics(self, path: str) -> tuple[int, bytes]:
        self._set_gauges()
        if self._log_output is not None and self._log_limit is not None:
            self.counters.set('log_lines_dropped', self._log_output.dropped)
            self.counters.set('log_lines_left_out', self._log_limit.suppressed)
        return OK, render_metrics(self.counters)

    def _set_gauges(self) -> None:
        self.counters.set('manifest_version', self.routes.version)
        for feed in (
            self.feeds.operators,
            self.feeds.upstreams,
            self.feeds.batches,
            self.feeds.members,
        ):
            self.counters.set(
                'store_silence_seconds',
                feed.time_since_answer.total_seconds(),
                table=feed.table,
            )
        self.batches.runner.report_metrics(self.counters)
        self.pool.pace.report_metrics(
            self.pool.list_service, self.clock.elapsed(), self.counters
        )
