"""Routes of ``/services/NAME/…``, which proxy calls to plain services."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import aiohttp
from sanic import Request
from yarl import URL

from quetzalcourse.coordination.requests.idempotency import (
    Claim,
    KeyedCall,
    digest_call,
)
from quetzalcourse.coordination.requests.service_dispatcher import (
    ServiceCall,
    adjust_not_run,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import NEVER_RAN, AttemptState
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.transport.request_body import RequestBody, allow_streaming
from quetzalcourse.transport.caller_app import (
    authenticate,
    read_request_id,
    read_secret,
)
from quetzalcourse.transport.headers import (
    IDEMPOTENCY_KEY_HEADER,
    TIMEOUT_HEADER,
    filter_query,
    filter_request_headers,
)
from quetzalcourse.transport.key_sessions import serve_until_withdrawn
from quetzalcourse.transport.response_stream import relay_response

if TYPE_CHECKING:
    from sanic import Sanic

    from quetzalcourse.coordination.slots.admission import Grant
    from quetzalcourse.transport.caller_app import RouteDependencies

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
MAX_BUFFERED_BYTES = 65536
MAX_KEYED_BODY_BYTES = 1_000_000
CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 30.0
MIN_TIMEOUT_SECONDS = 0.001
UNHEALTHY_STATUSES = frozenset((502, 503, 504))
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
CALL_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@dataclass(slots=True)
class ProxiedCall:
    """A caller's call that is proxied to an upstream.

    :param path: path and query at the upstream.
    :param keyed: idempotency key and digest, if the caller sent a key.
    :param claim: claim of the idempotency key, once it is made.
    :param status: status of the upstream's response.
    """

    request: Request
    call: ServiceCall
    path: str
    body: RequestBody
    keyed: KeyedCall | None = None
    claim: Claim | None = None
    status: int = 0


class ServiceRoutes:
    """Proxies calls to plain services.

    :param session: HTTP session shared by calls to upstreams.
    """

    def __init__(
        self,
        app: Sanic,
        dependencies: RouteDependencies,
        session: aiohttp.ClientSession,
    ) -> None:
        """Register the route."""
        self._dependencies = dependencies
        self._session = session
        app.add_route(
            allow_streaming(self._call),
            '/services/<name:str>/<path:path>',
            methods=METHODS,
            name='call',
            stream=True,
        )

    async def _call(self, request: Request, name: str, path: str) -> None:
        identity = authenticate(request, self._dependencies.keys)
        self._dependencies.services.find(name)
        call = ServiceCall(
            name,
            request.method,
            identity.client_account,
            self._read_deadline(request),
        )
        limits = self._dependencies.settings.limits
        body = RequestBody(
            request, limits.service_body_bytes, limits.sender_seconds
        )
        query = filter_query(request.query_string, read_secret(request))
        target = f'/{path}?{query}' if query else f'/{path}'
        proxied = ProxiedCall(request, call, target, body)
        human = self._dependencies.human_service
        with (
            self._dependencies.activity.track(),
            human.track(call.client_account),
        ):
            await serve_until_withdrawn(
                self._serve(proxied),
                request,
                self._dependencies.keys,
                identity.key_id,
            )

    async def _serve(self, proxied: ProxiedCall) -> None:
        await self._prepare(proxied)
        await self._forward(proxied)

    def _read_deadline(self, request: Request) -> timedelta | None:
        text = request.headers.get(TIMEOUT_HEADER)
        if text is None:
            return None
        with suppress(ValueError, OverflowError):
            timeout = timedelta(seconds=float(text))
            if timeout > timedelta(0):
                return self._dependencies.clock.elapsed() + timeout
        raise RefusedError(
            Refusal(
                RefusalCode.invalid_body,
                f'{TIMEOUT_HEADER} must be a number above zero.',
                not_run=True,
                step='read request',
            )
        )

    async def _prepare(self, proxied: ProxiedCall) -> None:
        request = proxied.request
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        repeatable = self._dependencies.services.is_repeatable(proxied.call)
        if key and not repeatable:
            content = await proxied.body.buffer(MAX_KEYED_BODY_BYTES)
            named = f'{proxied.call.service}{proxied.path}'
            proxied.keyed = KeyedCall(
                read_request_id(request),
                proxied.call.client_account,
                key,
                digest_call(request.method, named, content),
            )
        elif proxied.body.length is not None:
            if proxied.body.length <= MAX_BUFFERED_BYTES:
                await proxied.body.buffer(MAX_BUFFERED_BYTES)

    async def _forward(self, proxied: ProxiedCall) -> None:
        try:
            await self._attempt_all(proxied)
        except RefusedError as error:
            if proxied.claim is not None and error.refusal.not_run:
                await self._dependencies.claims.on_not_run(proxied.claim)
            raise
        if proxied.claim is not None:
            await self._dependencies.claims.on_answered(
                proxied.claim, proxied.status
            )

    async def _attempt_all(self, proxied: ProxiedCall) -> None:
        services = self._dependencies.services
        call = proxied.call
        while call.state is not AttemptState.complete:
            grant = await services.acquire(call)
            try:
                await self._attempt(proxied, grant)
            except CALL_ERRORS as error:
                self._handle_failure(proxied, grant, error)
            finally:
                services.release(grant)

    def _handle_failure(
        self,
        proxied: ProxiedCall,
        grant: Grant,
        error: Exception,
    ) -> None:
        call = proxied.call
        if isinstance(error, CONNECT_ERRORS):
            call.state = AttemptState.not_sent
        refusal = proxied.body.refusal
        if refusal is not None:
            # The caller is at fault, so the upstream's health is unaffected.
            call.may_have_run = call.may_have_run or call.state not in NEVER_RAN
            raise RefusedError(adjust_not_run(refusal, call)) from error
        call.replayable = proxied.body.replayable
        self._dependencies.services.on_failed(call, grant)
        self._dependencies.counters.add('retries')

    async def _attempt(self, proxied: ProxiedCall, grant: Grant) -> None:
        if proxied.keyed is not None and proxied.claim is None:
            proxied.claim = await self._dependencies.claims.claim(proxied.keyed)
        request = proxied.request
        call = proxied.call
        # Any failure other than a failed connect may have reached the upstream.
        call.state = AttemptState.maybe_sent
        async with self._session.request(
            request.method,
            URL(f'http://{grant.upstream.address}{proxied.path}', encoded=True),
            headers=self._build_headers(request, call),
            data=proxied.body.open(),
            allow_redirects=False,
            auto_decompress=False,
            timeout=self._build_timeout(call),
        ) as response:
            call.state = AttemptState.running
            await self._relay(proxied, grant, response)

    async def _relay(
        self,
        proxied: ProxiedCall,
        grant: Grant,
        response: aiohttp.ClientResponse,
    ) -> None:
        proxied.status = response.status
        length = response.content_length
        complete = length is not None and length <= MAX_BUFFERED_BYTES
        if proxied.request.method == 'HEAD':
            complete = True
        first = await response.read() if complete else b''
        proxied.call.answer_started = True
        await relay_response(
            proxied.request,
            response,
            first,
            complete=complete,
            timeout_seconds=self._dependencies.settings.limits.reader_seconds,
        )
        self._dependencies.services.on_answered(proxied.call, grant)
        if response.status in UNHEALTHY_STATUSES:
            self._dependencies.services.on_unhealthy(grant)

    def _build_headers(
        self,
        request: Request,
        call: ServiceCall,
    ) -> list[tuple[str, str]]:
        headers = filter_request_headers(
            request.headers.items(), read_secret(request)
        )
        if call.deadline is not None:
            time_left = call.deadline - self._dependencies.clock.elapsed()
            headers.append((TIMEOUT_HEADER, f'{time_left.total_seconds():.3f}'))
        return headers

    def _build_timeout(self, call: ServiceCall) -> aiohttp.ClientTimeout:
        total: float | None = None
        if call.deadline is not None:
            time_left = call.deadline - self._dependencies.clock.elapsed()
            total = max(time_left.total_seconds(), MIN_TIMEOUT_SECONDS)
        return aiohttp.ClientTimeout(
            total=total,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=READ_TIMEOUT_SECONDS,
        )
