"""Health, metrics and status routes for load balancers and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sanic import Request
from sanic import response as sanic_response

from quetzalcourse.transport.metrics import render_metrics

if TYPE_CHECKING:
    from sanic import Sanic
    from sanic.response import HTTPResponse

    from quetzalcourse.transport.caller_app import RouteDependencies

HTTP_UNAVAILABLE = 503


class HealthRoutes:
    """Serves liveness, readiness, metrics and status."""

    def __init__(self, app: Sanic, dependencies: RouteDependencies) -> None:
        """Register the routes."""
        self._dependencies = dependencies
        app.add_route(self._get_health, '/healthz')
        app.add_route(self._get_readiness, '/readyz')
        app.add_route(self._get_metrics, '/metrics')
        app.add_route(self._get_status, '/status')

    async def _get_health(self, _: Request) -> HTTPResponse:
        return sanic_response.text('ok')

    async def _get_readiness(self, _: Request) -> HTTPResponse:
        if self._dependencies.activity.ready:
            return sanic_response.text('ready')
        return sanic_response.text('not ready', status=HTTP_UNAVAILABLE)

    async def _get_metrics(self, _: Request) -> HTTPResponse:
        self._dependencies.service_levels.publish()
        return sanic_response.raw(
            render_metrics(self._dependencies.counters),
            content_type='text/plain; version=0.0.4',
        )

    async def _get_status(self, _: Request) -> HTTPResponse:
        settings = self._dependencies.settings
        return sanic_response.json(
            {
                'vm': settings.vm,
                'data_centre': settings.data_centre,
                'ready': self._dependencies.activity.ready,
                'serving': self._dependencies.activity.serving,
                'manifest_version': self._dependencies.manifest.current.version,
                **self._dependencies.status.collect(),
            }
        )
