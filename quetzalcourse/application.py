"""Application object that builds, runs and stops a daemon's components."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING


from quetzalcourse.lease_components import build_lease_components
from quetzalcourse.coordination.service_levels.daily_event_sums import (
    DailySumsWriter,
)
from quetzalcourse.coordination.service_levels.human_requests import (
    HumanRequestTracker,
)
from quetzalcourse.coordination.manifest.keys import KeyRing
from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
from quetzalcourse.coordination.service_levels.service_levels import (
    ServiceLevelTracker,
)
from quetzalcourse.coordination.membership.status import StatusRegistry
from quetzalcourse.coordination.steps.step_assembly import build_step_service
from quetzalcourse.incarnation import generate_incarnation
from quetzalcourse.lifecycle import Lifecycle
from quetzalcourse.log import get_log
from quetzalcourse.peering import Peering
from quetzalcourse.slot_components import SlotComponents
from quetzalcourse.state.counters import Counters
from quetzalcourse.transport.caller_app import (
    Activity,
    RouteDependencies,
    RequestIdGenerator,
    prepare_app,
)
from quetzalcourse.transport.clock import SystemClock
from quetzalcourse.transport.caller_protocol import CallerProtocol
from quetzalcourse.transport.connections import open_session, send_once
from quetzalcourse.transport.key_sessions import KeySessions
from quetzalcourse.transport.platform_client import PlatformClient
from quetzalcourse.transport.routes import add_routes
from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.web import WebServer, build_app
from quetzalcourse.request_components import build_request_components
from quetzalcourse.weight_components import build_weight_components

if TYPE_CHECKING:
    from quetzalcourse.settings.process import ProcessSettings
    from quetzalcourse.state.manifest import Manifest

FINAL_RESPONSES_TIMEOUT = timedelta(seconds=1)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
log = get_log('application')


class Application:
    """Runs one daemon from its start to its graceful shutdown.

    :param settings: validated settings of the process.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Open the listening socket, which fixes the address."""
        self.settings = settings
        self.clock = SystemClock()
        self.counters = Counters()
        self.activity = Activity()
        self.incarnation = generate_incarnation(settings.vm)
        self._listener = open_listener(settings.listen.callers)
        self.address = read_address(self._listener)
        self.lifecycle = Lifecycle(self.clock, self.counters)
        self.status = StatusRegistry()
        self.peering = Peering(
            settings, self.incarnation, self.clock, self.counters
        )
        self.lifecycle.on_stop(self.peering.stop)
        self.members = self.peering.members
        self.peers = self.peering.link

    async def on_start(self) -> None:
        """Build the components, load a manifest and start serving."""
        self._session = open_session(
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
            middlewares=(send_once,),
        )
        self.lifecycle.on_stop(self._session.close)
        self._build_components()
        self._server = self._build_server()
        await self.peering.start(self.lifecycle)
        await self.lifecycle.start()
        self.lifecycle.on_stop(self._server.stop)
        self.lifecycle.on_stop(self.slots.on_stop)
        self.lifecycle.on_stop(self.lease_components.on_stop)
        self.lifecycle.on_stop(self.generation.stop)
        self.lifecycle.on_stop(self.steps.stop)
        self.lifecycle.on_stop(self.burn_ledger.flush)
        await self._server.start()
        self.lifecycle.run('burn ledger', self.burn_ledger.run)
        self.lifecycle.run('upstreams', self.upstreams.engine_poller.run)
        self.lifecycle.run('steps', self.steps.adopt_orphaned_steps)
        self.lease_components.start(self.lifecycle)
        self.weights.start(self.lifecycle)
        log.info(
            'Daemon started.', address=self.address, peers=self.peers.address
        )

    async def on_drain(self) -> None:
        """Hand over leases and steps, and finish the running requests.

        Callers are served until the drain ends. The load balancer learns of
        the drain from the readiness probe, the other daemons from heartbeats.
        """
        self.activity.draining = True
        self.activity.ready = False
        self.members.announce_leaving()
        log.info('Drain began.', serving=self.activity.serving)
        drain = self.settings.drain
        await self.clock.sleep(timedelta(seconds=drain.balancer_seconds))
        await self.steps.stop()
        deadline = self.clock.elapsed() + timedelta(
            seconds=drain.deadline_seconds
        )
        hand_over = asyncio.ensure_future(self.lifecycle.drain())
        while self.clock.elapsed() < deadline:
            busy = self._server.close_idle() or self.activity.serving
            if hand_over.done() and not busy:
                break
            await self.clock.sleep(DRAIN_POLL_INTERVAL)
        hand_over.cancel()
        log.info('Drain ended.', cut=self.activity.serving)

    async def on_stop(self) -> None:
        """Close everything that was opened, also after a partial start."""
        await self.lifecycle.stop()
        # Requests that were cut off have lost their upstream connections by
        # now; their callers still have to receive the refusal.
        deadline = self.clock.elapsed() + FINAL_RESPONSES_TIMEOUT
        while self.activity.serving and self.clock.elapsed() < deadline:
            await self.clock.sleep(DRAIN_POLL_INTERVAL)
        self._listener.close()
        log.info('Daemon stopped.')

    def _build_components(self) -> None:
        platform = self.settings.platform
        self.platform = PlatformClient(
            self._session, platform.address, platform.timeout_seconds
        )
        self.keys = KeyRing()
        self.manifest = ManifestStore(self.platform, self.platform)
        self.slots = SlotComponents(
            self.members,
            self.peers,
            self._session,
            self.clock,
            self.counters,
        )
        self.admission = self.slots.admission
        self.slots.on_start()
        self.upstreams = build_request_components(
            self.settings.data_centre,
            self.incarnation,
            self._session,
            self.platform,
            self.admission,
            self.clock,
            self.counters,
        )
        self.generation = self.upstreams.generation
        self.service_levels = ServiceLevelTracker(self.clock, self.counters)
        self.steps = build_step_service(
            self.platform,
            self.generation,
            self.clock,
            self.counters,
            self.service_levels,
            self.members,
        )
        self.lease_components = build_lease_components(
            self.settings,
            self.incarnation,
            self._session,
            self.platform,
            self.peers,
            self.members,
            self.clock,
            self.counters,
        )
        self.weights = build_weight_components(
            self.settings,
            self._session,
            self.platform,
            self.members,
            self.upstreams.reports.find,
            self.clock,
            self.counters,
        )
        self.lease_components.usage_reporter.on_sent = (
            self.service_levels.on_report
        )
        self.generation.usage = self.lease_components.usage
        self.upstreams.services.usage = self.lease_components.usage
        self.burn_ledger = DailySumsWriter(
            self.platform, self.clock, self.counters, self.incarnation
        )
        self.sessions = KeySessions(self.keys)
        self.manifest.on_manifest(self.on_manifest)
        self.peering.build_store_sync(self.platform, self.manifest, self.keys)
        self.peering.on_vms(self.upstreams.drains.on_vms)
        self.status.add('peering', self.peering.describe)
        self.status.add('leases', self.lease_components.describe)
        self.status.add('weights', self.weights.describe)

    def on_manifest(self, manifest: Manifest) -> None:
        """Pass a newly effective manifest to every component."""
        self.keys.replace_grants(manifest.keys.values())
        self.slots.on_manifest(manifest)
        self.upstreams.on_manifest(manifest)
        self.weights.waves.on_manifest(manifest)
        self.service_levels.on_manifest(manifest)
        self.lease_components.fleet.on_manifest(manifest)
        self.activity.ready = not self.activity.draining
        log.info('Manifest in force.', version=manifest.version)

    def _build_server(self) -> WebServer:
        name = f'callers-{self.incarnation}'
        app = build_app(name, self.settings.limits.body_bytes)
        parts = RouteDependencies(
            settings=self.settings,
            clock=self.clock,
            counters=self.counters,
            activity=self.activity,
            keys=self.keys,
            manifest=self.manifest,
            router=self.upstreams.router,
            generation=self.generation,
            services=self.upstreams.services,
            steps=self.steps,
            service_levels=self.service_levels,
            human_service=HumanRequestTracker(self.service_levels, self.clock),
            claims=self.upstreams.idempotency,
            sessions=self.sessions,
            status=self.status,
        )
        prepare_app(app, parts, RequestIdGenerator(self.incarnation))
        add_routes(app, parts, self._session)
        return WebServer(app, self._listener, CallerProtocol)
