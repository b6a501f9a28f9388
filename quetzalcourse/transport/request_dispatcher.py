"""Dispatch of callers' requests to the proxy or the batch service."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.admission.drain_limits import DrainLimits
from quetzalcourse.coordination.forwarding.forwarding import ForwardedRequest
from quetzalcourse.coordination.forwarding.route_table import (
    choose_service,
    digest_key,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.routing import RouteKind
from quetzalcourse.transport.request_body import RequestBody
from quetzalcourse.transport.request_cutoff import (
    RequestCutError,
    RequestCutoff,
)
from quetzalcourse.transport.gateway import disable_keep_alive
from quetzalcourse.transport.spooled_body import SpooledBody
from quetzalcourse.transport.web import abort_connection

if TYPE_CHECKING:
    from sanic import Request

    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.state.calls import CallerMetadata, RequestHead
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.routing import Route
    from quetzalcourse.transport.batch_routes import BatchRoutes
    from quetzalcourse.transport.caller_app import Activity
    from quetzalcourse.transport.dialect import CallerDialect
    from quetzalcourse.transport.request_proxy import RequestProxy

# Longest time of a call about a batch, apart from waiting for results: three
# calls of a slow store.
BATCH_CALL_TIME = timedelta(seconds=1)
# Timeout between two chunks of a request body.
BODY_IDLE_TIMEOUT_SECONDS = 10.0
SUBMIT_METHOD = 'POST'


class RequestDispatcher:
    """Dispatches every request of a caller.

    ``drain_limits`` and ``cutoff`` let the application stop it.

    :param activity: counts the requests in flight.
    """

    def __init__(
        self,
        dialect: CallerDialect,
        residency: Residency,
        proxy: RequestProxy,
        batches: BatchRoutes,
        activity: Activity,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Store the components that serve requests."""
        self.drain_limits = DrainLimits(clock)
        self.cutoff = RequestCutoff()
        self._dialect = dialect
        self._routes = residency.routes
        self._residency = residency
        self._proxy = proxy
        self._batches = batches
        self._activity = activity
        self._clock = clock
        self._counters = counters

    async def serve(self, request: Request, head: RequestHead) -> None:
        """Serve a request.

        :raises RefusedError: if the request is refused.
        """
        started_at = self._clock.elapsed()
        if self._activity.draining:
            disable_keep_alive(request)
        kind = 'refused'
        with self._activity.track():
            try:
                async with self.cutoff.track():
                    kind = await self._route(request, head, started_at)
            except RequestCutError:
                _answer_cut(request)
            except RefusedError as error:
                self._counters.add('refusals', code=error.refusal.code.value)
                raise
            finally:
                self._observe(kind, started_at)

    def _observe(self, kind: str, started_at: timedelta) -> None:
        duration = self._clock.elapsed() - started_at
        self._counters.observe('request', duration.total_seconds(), kind=kind)

    async def _route(
        self,
        request: Request,
        head: RequestHead,
        started_at: timedelta,
    ) -> str:
        metadata = self._dialect.read_metadata(head)
        try:
            call = self._dialect.read_call(head)
        except ValueError:
            raise RefusedError(_refuse_query()) from None
        if call is not None:
            holder = self._routes.authenticate(metadata.key)
            account = holder.client_account if holder else ''
            self.drain_limits.check(started_at + call.wait + BATCH_CALL_TIME)
            await self._batches.serve(request, call, account)
            return call.verb.value
        route = self._routes.match(head.host, head.path)
        holder = (
            None if route.public else self._routes.authenticate(metadata.key)
        )
        account = holder.client_account if holder else ''
        body = self._read_body(request)
        if route.kind is RouteKind.batch and head.method == SUBMIT_METHOD:
            self.drain_limits.check(started_at + BATCH_CALL_TIME)
            content = await body.buffer(self._find_body_limit())
            await self._batches.submit(
                request, metadata.request_id, account, route, content
            )
        else:
            forwarding = _build_forwarding(route, metadata, account, started_at)
            self.drain_limits.check(forwarding.deadline)
            spooled = SpooledBody(body)
            await spooled.fill()
            forwarding.fingerprint = spooled.compute_fingerprint(head, account)
            forwarding.rank = self._routes.find_rank(route.name, account)
            if holder is not None:
                forwarding.key_digest = digest_key(metadata.key)
            forwarding.allowed_regions = self._residency.find_allowed(
                route, account
            )
            await self._proxy.serve(request, head, forwarding, spooled)
        return route.kind.value

    def _read_body(self, request: Request) -> RequestBody:
        return RequestBody(
            request, self._find_body_limit(), BODY_IDLE_TIMEOUT_SECONDS
        )

    def _find_body_limit(self) -> int:
        manifest = self._routes.manifest
        return manifest.limits.body_bytes if manifest else 0


def _build_forwarding(
    route: Route,
    metadata: CallerMetadata,
    client_account: str,
    started_at: timedelta,
) -> ForwardedRequest:
    timeout = route.timeout
    if metadata.time_left is not None:
        timeout = min(timeout, metadata.time_left)
    return ForwardedRequest(
        metadata.request_id,
        route,
        choose_service(route, metadata.request_id),
        client_account,
        started_at + timeout,
        arrived_at=started_at,
    )


def _answer_cut(request: Request) -> None:
    """Answer a request that is cut as the daemon stops.

    :raises RefusedError: unless its response has started, which then must not
        look complete.
    """
    if request.responded:
        abort_connection(request)
        return
    raise RefusedError(
        Refusal(
            RefusalCode.outcome_unknown,
            'This daemon stopped before the answer came.',
            not_run=False,
            step='drain',
        )
    )


def _refuse_query() -> Refusal:
    return Refusal(
        RefusalCode.invalid_body,
        'The query is malformed.',
        not_run=True,
        step='route',
    )
