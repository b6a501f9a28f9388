"""Routes of ``/services/NAME/…``: plain services, bodies streamed."""

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
from quetzalcourse.transport.bodies import BodySource, allow_streaming
from quetzalcourse.transport.callers import (
    authenticate,
    read_request_id,
    read_secret,
)
from quetzalcourse.transport.headers import (
    IDEMPOTENCY_KEY,
    TIMEOUT,
    clean_query,
    clean_request_headers,
)
from quetzalcourse.transport.key_sessions import serve_while_granted
from quetzalcourse.transport.relay import relay_answer

if TYPE_CHECKING:
    from sanic import Sanic

    from quetzalcourse.coordination.slots.admission import Grant
    from quetzalcourse.transport.callers import CallerParts

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
BUFFERED_BYTES = 65536
KEYED_BYTES = 1_000_000
CONNECT_SECONDS = 2.0
SILENCE_SECONDS = 30.0
SHORTEST_SECONDS = 0.001
UNWELL = frozenset((502, 503, 504))
NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
FAILED_CALL = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@dataclass(slots=True)
class Passage:
    """A call on its way from the caller to an upstream.

    :param path: path and query at the upstream.
    :param keyed: idempotency key and digest, if the caller gave a key.
    :param claim: the key's claim, once it was made.
    """

    request: Request
    call: ServiceCall
    path: str
    body: BodySource
    keyed: KeyedCall | None = None
    claim: Claim | None = None
    status: int = 0


class ServiceRoutes:
    """Serves callers of plain services.

    :param session: shared connections to upstreams.
    """

    def __init__(
        self,
        app: Sanic,
        parts: CallerParts,
        session: aiohttp.ClientSession,
    ) -> None:
        """Add the route to the application."""
        self._parts = parts
        self._session = session
        app.add_route(
            allow_streaming(self._call),
            '/services/<name:str>/<path:path>',
            methods=METHODS,
            name='call',
            stream=True,
        )

    async def _call(self, request: Request, name: str, path: str) -> None:
        identity = authenticate(request, self._parts.keys)
        self._parts.services.find(name)
        call = ServiceCall(
            name,
            request.method,
            identity.client_account,
            self._read_deadline(request),
        )
        limits = self._parts.settings.limits
        body = BodySource(
            request, limits.service_body_bytes, limits.sender_seconds
        )
        query = clean_query(request.query_string, read_secret(request))
        target = f'/{path}?{query}' if query else f'/{path}'
        passage = Passage(request, call, target, body)
        human = self._parts.human_service
        with self._parts.activity.track(), human.track(call.client_account):
            await serve_while_granted(
                self._serve(passage),
                request,
                self._parts.keys,
                identity.key_id,
            )

    async def _serve(self, passage: Passage) -> None:
        await self._prepare(passage)
        await self._pass(passage)

    def _read_deadline(self, request: Request) -> timedelta | None:
        text = request.headers.get(TIMEOUT)
        if text is None:
            return None
        with suppress(ValueError, OverflowError):
            patience = timedelta(seconds=float(text))
            if patience > timedelta(0):
                return self._parts.clock.elapsed() + patience
        raise RefusedError(
            Refusal(
                RefusalCode.invalid_body,
                f'{TIMEOUT} must be a number above zero.',
                not_run=True,
                step='read request',
            )
        )

    async def _prepare(self, passage: Passage) -> None:
        request = passage.request
        key = request.headers.get(IDEMPOTENCY_KEY)
        repeatable = self._parts.services.is_repeatable(passage.call)
        if key and not repeatable:
            content = await passage.body.buffer(KEYED_BYTES)
            named = f'{passage.call.service}{passage.path}'
            passage.keyed = KeyedCall(
                read_request_id(request),
                passage.call.client_account,
                key,
                digest_call(request.method, named, content),
            )
        elif passage.body.length is not None:
            if passage.body.length <= BUFFERED_BYTES:
                await passage.body.buffer(BUFFERED_BYTES)

    async def _pass(self, passage: Passage) -> None:
        try:
            await self._attempt_all(passage)
        except RefusedError as error:
            if passage.claim is not None and error.refusal.not_run:
                await self._parts.claims.on_not_run(passage.claim)
            raise
        if passage.claim is not None:
            await self._parts.claims.on_answered(passage.claim, passage.status)

    async def _attempt_all(self, passage: Passage) -> None:
        services = self._parts.services
        call = passage.call
        while call.state is not AttemptState.complete:
            grant = await services.acquire(call)
            try:
                await self._attempt(passage, grant)
            except FAILED_CALL as error:
                self._judge(passage, grant, error)
            finally:
                services.release(grant)

    def _judge(
        self,
        passage: Passage,
        grant: Grant,
        error: Exception,
    ) -> None:
        call = passage.call
        if isinstance(error, NOT_CONNECTED):
            call.state = AttemptState.not_sent
        refusal = passage.body.refusal
        if refusal is not None:
            # The caller's own fault, so the upstream's health is untouched.
            call.may_have_run = call.may_have_run or call.state not in NEVER_RAN
            raise RefusedError(adjust_not_run(refusal, call)) from error
        call.replayable = passage.body.replayable
        self._parts.services.on_failed(call, grant)
        self._parts.counters.add('retries')

    async def _attempt(self, passage: Passage, grant: Grant) -> None:
        if passage.keyed is not None and passage.claim is None:
            passage.claim = await self._parts.claims.claim(passage.keyed)
        request = passage.request
        call = passage.call
        # Everything but a failed connect may have reached the upstream.
        call.state = AttemptState.maybe_sent
        async with self._session.request(
            request.method,
            URL(f'http://{grant.upstream.address}{passage.path}', encoded=True),
            headers=self._list_headers(request, call),
            data=passage.body.open(),
            allow_redirects=False,
            auto_decompress=False,
            timeout=self._limit_time(call),
        ) as answer:
            call.state = AttemptState.running
            await self._relay(passage, grant, answer)

    async def _relay(
        self,
        passage: Passage,
        grant: Grant,
        answer: aiohttp.ClientResponse,
    ) -> None:
        passage.status = answer.status
        length = answer.content_length
        whole = length is not None and length <= BUFFERED_BYTES
        if passage.request.method == 'HEAD':
            whole = True
        first = await answer.read() if whole else b''
        passage.call.answer_started = True
        await relay_answer(
            passage.request,
            answer,
            first,
            whole=whole,
            patience_seconds=self._parts.settings.limits.reader_seconds,
        )
        self._parts.services.on_answered(passage.call, grant)
        if answer.status in UNWELL:
            self._parts.services.on_unhealthy(grant)

    def _list_headers(
        self,
        request: Request,
        call: ServiceCall,
    ) -> list[tuple[str, str]]:
        headers = clean_request_headers(
            request.headers.items(), read_secret(request)
        )
        if call.deadline is not None:
            left = call.deadline - self._parts.clock.elapsed()
            headers.append((TIMEOUT, f'{left.total_seconds():.3f}'))
        return headers

    def _limit_time(self, call: ServiceCall) -> aiohttp.ClientTimeout:
        total: float | None = None
        if call.deadline is not None:
            left = call.deadline - self._parts.clock.elapsed()
            total = max(left.total_seconds(), SHORTEST_SECONDS)
        return aiohttp.ClientTimeout(
            total=total,
            sock_connect=CONNECT_SECONDS,
            sock_read=SILENCE_SECONDS,
        )
