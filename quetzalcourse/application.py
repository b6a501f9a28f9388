"""The application object: owns every part of a daemon and cleans up."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

import aiohttp

from quetzalcourse.lease_parts import build_lease_parts
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
from quetzalcourse.incarnation import name_incarnation
from quetzalcourse.lifecycle import Lifecycle
from quetzalcourse.log import get_log
from quetzalcourse.peering import Peering
from quetzalcourse.slot_parts import SlotParts
from quetzalcourse.state.counters import Counters
from quetzalcourse.transport.caller_app import (
    Activity,
    RouteDependencies,
    RequestIdGenerator,
    prepare_app,
)
from quetzalcourse.transport.clock import SystemClock
from quetzalcourse.transport.caller_protocol import CallerProtocol
from quetzalcourse.transport.connections import (
    build_connector,
    send_once,
)
from quetzalcourse.transport.key_sessions import KeySessions
from quetzalcourse.transport.platform_client import PlatformClient
from quetzalcourse.transport.routes import add_routes
from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.web import WebServer, build_app
from quetzalcourse.upstreams import build_upstreams
from quetzalcourse.weight_parts import build_weights

if TYPE_CHECKING:
    from quetzalcourse.settings.process import ProcessSettings
    from quetzalcourse.state.manifest import Manifest

LAST_ANSWERS = timedelta(seconds=1)
DRAIN_POLL = timedelta(milliseconds=50)
log = get_log('application')


class Application:
    """One daemon, from its start to its graceful shutdown.

    :param settings: checked settings of the process.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Open the listening socket, so that the address is known."""
        self.settings = settings
        self.clock = SystemClock()
        self.counters = Counters()
        self.activity = Activity()
        self.incarnation = name_incarnation(settings.vm)
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
        """Build the parts, adopt a manifest and begin to serve."""
        self._session = aiohttp.ClientSession(
            connector=build_connector(),
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
            middlewares=(send_once,),
        )
        self.lifecycle.on_stop(self._session.close)
        self._build_parts()
        self._server = self._build_server()
        await self.peering.start(self.lifecycle)
        await self.lifecycle.start()
        self.lifecycle.on_stop(self._server.stop)
        self.lifecycle.on_stop(self.slots.on_stop)
        self.lifecycle.on_stop(self.lease_parts.on_stop)
        self.lifecycle.on_stop(self.generation.stop)
        self.lifecycle.on_stop(self.steps.stop)
        self.lifecycle.on_stop(self.burn_ledger.flush)
        await self._server.start()
        self.lifecycle.run('burn ledger', self.burn_ledger.run)
        self.lifecycle.run('upstreams', self.upstreams.observer.run)
        self.lifecycle.run('steps', self.steps.adopt_orphaned_steps)
        self.lease_parts.start(self.lifecycle)
        self.weights.start(self.lifecycle)
        log.info(
            'Daemon started.', address=self.address, peers=self.peers.address
        )

    async def on_drain(self) -> None:
        """Hand over what this daemon owns and finish what is being served.

        Callers are served until the end; readiness tells the balancer, and
        the heartbeats tell the other daemons.
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
        handing_over = asyncio.ensure_future(self.lifecycle.drain())
        while self.clock.elapsed() < deadline:
            busy = self._server.close_idle() or self.activity.serving
            if handing_over.done() and not busy:
                break
            await self.clock.sleep(DRAIN_POLL)
        handing_over.cancel()
        log.info('Drain ended.', cut=self.activity.serving)

    async def on_stop(self) -> None:
        """Close everything that the daemon opened, however far it got."""
        await self.lifecycle.stop()
        # Requests that are cut have lost their upstreams by now, and their
        # callers are owed the refusal that says so.
        deadline = self.clock.elapsed() + LAST_ANSWERS
        while self.activity.serving and self.clock.elapsed() < deadline:
            await self.clock.sleep(DRAIN_POLL)
        self._listener.close()
        log.info('Daemon stopped.')

    def _build_parts(self) -> None:
        platform = self.settings.platform
        self.platform = PlatformClient(
            self._session, platform.address, platform.timeout_seconds
        )
        self.keys = KeyRing()
        self.manifest = ManifestStore(self.platform, self.platform)
        self.slots = SlotParts(
            self.members,
            self.peers,
            self._session,
            self.clock,
            self.counters,
        )
        self.admission = self.slots.admission
        self.slots.on_start()
        self.upstreams = build_upstreams(
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
        self.lease_parts = build_lease_parts(
            self.settings,
            self.incarnation,
            self._session,
            self.platform,
            self.peers,
            self.members,
            self.clock,
            self.counters,
        )
        self.weights = build_weights(
            self.settings,
            self._session,
            self.platform,
            self.members,
            self.upstreams.reports.find,
            self.clock,
            self.counters,
        )
        self.lease_parts.reporter.on_sent = self.service_levels.on_report
        self.generation.usage = self.lease_parts.usage
        self.upstreams.services.usage = self.lease_parts.usage
        self.burn_ledger = DailySumsWriter(
            self.platform, self.clock, self.counters, self.incarnation
        )
        self.sessions = KeySessions(self.keys)
        self.manifest.on_manifest(self.on_manifest)
        self.peering.follow(self.platform, self.manifest, self.keys)
        self.peering.on_vms(self.upstreams.leaving.on_vms)
        self.status.add('peering', self.peering.describe)
        self.status.add('leases', self.lease_parts.describe)
        self.status.add('weights', self.weights.describe)

    def on_manifest(self, manifest: Manifest) -> None:
        """Hand a manifest that came into force to every part."""
        self.keys.replace_grants(manifest.keys.values())
        self.slots.on_manifest(manifest)
        self.upstreams.on_manifest(manifest)
        self.weights.waves.on_manifest(manifest)
        self.service_levels.on_manifest(manifest)
        self.lease_parts.fleet.on_manifest(manifest)
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
            claims=self.upstreams.claims,
            sessions=self.sessions,
            status=self.status,
        )
        prepare_app(app, parts, RequestIdGenerator(self.incarnation))
        add_routes(app, parts, self._session)
        return WebServer(app, self._listener, CallerProtocol)
