"""Registration of all routes of the callers' server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.transport.generation_routes import GenerationRoutes
from quetzalcourse.transport.health_routes import HealthRoutes
from quetzalcourse.transport.operator_routes import OperatorRoutes
from quetzalcourse.transport.service_routes import ServiceRoutes
from quetzalcourse.transport.step_routes import StepRoutes

if TYPE_CHECKING:
    import aiohttp
    from sanic import Sanic

    from quetzalcourse.transport.caller_app import RouteDependencies


def add_routes(
    app: Sanic,
    dependencies: RouteDependencies,
    session: aiohttp.ClientSession,
) -> None:
    """Register every route.

    :param dependencies: components that the routes depend on.
    :param session: HTTP session shared by calls to upstreams.
    """
    GenerationRoutes(app, dependencies)
    ServiceRoutes(app, dependencies, session)
    StepRoutes(app, dependencies)
    HealthRoutes(app, dependencies)
    OperatorRoutes(app, dependencies)
