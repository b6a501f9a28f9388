"""Every request of a caller: which part of the daemon serves it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.forwarding.forwarding import ForwardedRequest
from quetzalcourse.coordination.forwarding.route_table import choose_service
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.routing import RouteKind
from quetzalcourse.transport.bodies import BodySource
from quetzalcourse.transport.gateway import close_after
from quetzalcourse.transport.spooling import SpooledBody

if TYPE_CHECKING:
    from datetime import timedelta

    from sanic import Request

    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.state.calls import CallerMetadata, RequestHead
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.routing import Route
    from quetzalcourse.transport.batch_routes import BatchRoutes
    from quetzalcourse.transport.callers import Activity
    from quetzalcourse.transport.dialect import CallerDialect
    from quetzalcourse.transport.forward_routes import Forwards

# How long a caller may send nothing of a body.
SENDER_SECONDS = 10.0
SUBMIT = 'POST'


class Front:
    """Takes every request of a caller.

    :param activity: counts what is being served.
    """

    def __init__(
        self,
        dialect: CallerDialect,
        residency: Residency,
        forwards: Forwards,
        batches: BatchRoutes,
        activity: Activity,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Keep the parts."""
        self._dialect = dialect
        self._routes = residency.routes
        self._residency = residency
        self._forwards = forwards
        self._batches = batches
        self._activity = activity
        self._clock = clock
        self._counters = counters

    async def serve(self, request: Request, head: RequestHead) -> None:
        """Serve a request.

        :raises RefusedError: if it is not served.
        """
        began = self._clock.elapsed()
        if self._activity.draining:
            close_after(request)
        kind = 'refused'
        with self._activity.track():
            try:
                kind = await self._route(request, head, began)
            except RefusedError as error:
                self._counters.add('refusals', code=error.refusal.code.value)
                raise
            finally:
                self._observe(kind, began)

    def _observe(self, kind: str, began: timedelta) -> None:
        took = self._clock.elapsed() - began
        self._counters.observe('request', took.total_seconds(), kind=kind)

    async def _route(
        self,
        request: Request,
        head: RequestHead,
        began: timedelta,
    ) -> str:
        terms = self._dialect.read_terms(head)
        try:
            call = self._dialect.read_call(head)
        except ValueError:
            raise RefusedError(_refuse_query()) from None
        if call is not None:
            holder = self._routes.authenticate(terms.key)
            account = holder.client_account if holder else ''
            await self._batches.serve(request, call, account)
            return call.verb.value
        route = self._routes.match(head.host, head.path)
        holder = None if route.public else self._routes.authenticate(terms.key)
        account = holder.client_account if holder else ''
        body = self._read_body(request)
        if route.kind is RouteKind.batch and head.method == SUBMIT:
            whole = await body.buffer(self._find_body_limit())
            await self._batches.submit(
                request, terms.request_id, account, route, whole
            )
        else:
            spooled = SpooledBody(body)
            await spooled.fill()
            forwarding = _build_forwarding(route, terms, account, began)
            forwarding.fingerprint = spooled.compute_fingerprint(head, account)
            forwarding.allowed_regions = self._residency.find_allowed(
                route, account
            )
            await self._forwards.serve(request, head, forwarding, spooled)
        return route.kind.value

    def _read_body(self, request: Request) -> BodySource:
        return BodySource(request, self._find_body_limit(), SENDER_SECONDS)

    def _find_body_limit(self) -> int:
        manifest = self._routes.manifest
        return manifest.limits.body_bytes if manifest else 0


def _build_forwarding(
    route: Route,
    terms: CallerMetadata,
    client_account: str,
    began: timedelta,
) -> ForwardedRequest:
    timeout = route.timeout
    if terms.time_left is not None:
        timeout = min(timeout, terms.time_left)
    return ForwardedRequest(
        terms.request_id,
        route,
        choose_service(route, terms.request_id),
        client_account,
        began + timeout,
    )


def _refuse_query() -> Refusal:
    return Refusal(
        RefusalCode.invalid_body,
        'The query is malformed.',
        not_run=True,
        step='route',
    )
