"""Builds the components that route admitted requests to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from quetzalcourse.coordination.requests.generation_runner import (
    GenerationRunner,
)
from quetzalcourse.coordination.routing.outlier_detection import OutlierDetector
from quetzalcourse.coordination.requests.idempotency import IdempotencyStore
from quetzalcourse.coordination.routing.drain_tracker import DrainTracker
from quetzalcourse.coordination.routing.engine_poller import EnginePoller
from quetzalcourse.coordination.routing.prefixes import PrefixCacheHints
from quetzalcourse.coordination.routing.reports import EngineReports
from quetzalcourse.coordination.requests.retries import RetryBudget
from quetzalcourse.coordination.routing.routing import Router
from quetzalcourse.coordination.requests.service_dispatcher import (
    ServiceDispatcher,
)
from quetzalcourse.transport.engine_client import EngineClient
from quetzalcourse.transport.engine_control import EngineControlClient

if TYPE_CHECKING:
    import aiohttp

    from quetzalcourse.coordination.slots.admission import Admission
    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.manifest import Manifest

REPORT_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class RequestComponents:
    """Components between an admitted request and its upstream."""

    drains: DrainTracker
    outlier_detector: OutlierDetector
    router: Router
    idempotency: IdempotencyStore
    services: ServiceDispatcher
    generation: GenerationRunner
    engine_poller: EnginePoller
    reports: EngineReports

    def on_manifest(self, manifest: Manifest) -> None:
        """Pass a newly effective manifest to every component."""
        self.router.on_manifest(manifest)
        self.outlier_detector.on_manifest(manifest)
        self.engine_poller.on_manifest(manifest)
        self.services.on_manifest(manifest)


def build_request_components(
    data_centre: str,
    incarnation: str,
    session: aiohttp.ClientSession,
    table: Table,
    admission: Admission,
    clock: Clock,
    counters: Counters,
) -> RequestComponents:
    """Build the components and connect them.

    :param data_centre: data centre of this daemon.
    :param incarnation: id of this run of the daemon.
    :param session: shared connections to upstreams.
    :param table: stores the claims of idempotency keys.
    """
    reports = EngineReports()
    prefixes = PrefixCacheHints()
    drains = DrainTracker(clock)
    router = Router(data_centre, drains, reports, prefixes)
    outlier_detector = OutlierDetector(clock, counters, Random(incarnation))
    budget = RetryBudget()
    generation = GenerationRunner(
        admission,
        router,
        outlier_detector,
        budget,
        EngineClient(session, clock),
        clock,
        counters,
    )
    engine_poller = EnginePoller(
        data_centre,
        EngineControlClient(session, incarnation, REPORT_TIMEOUT_SECONDS),
        drains,
        reports,
        prefixes,
        clock,
        counters,
        admission.running,
    )
    engine_poller.on_drain(generation.running_attempts.on_departure)
    return RequestComponents(
        drains,
        outlier_detector,
        router,
        IdempotencyStore(table),
        ServiceDispatcher(admission, router, outlier_detector, budget, clock),
        generation,
        engine_poller,
        reports,
    )
