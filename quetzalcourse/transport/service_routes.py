"""Routes of ``/services/NAME/…``: plain services, bodies streamed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from sanic import Request

from quetzalcourse.coordination.attempt import Attempt
from quetzalcourse.coordination.services import ServiceCall
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import AttemptState
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.transport.callers import authenticate
from quetzalcourse.transport.headers import (
    clean_request_headers,
    clean_response_headers,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sanic import Sanic

    from quetzalcourse.coordination.admission import Grant
    from quetzalcourse.transport.callers import CallerParts

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
MAX_ATTEMPTS = 3
PIECE_BYTES = 65536
CONNECT_SECONDS = 2.0
SILENCE_SECONDS = 30.0
FAILED_CALL = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class BodySource:
    """Body of a caller's request, read once.

    :param request: the caller's request.
    :param limit: largest body in bytes.
    """

    def __init__(self, request: Request, limit: int) -> None:
        """Begin before the first byte."""
        self.touched = False
        self._stream: Any = request.stream
        self._limit = limit

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece.

        :raises RefusedError: if the body is larger than the limit.
        """
        size = 0
        while True:
            piece = await self._stream.read()
            if piece is None:
                return
            self.touched = True
            size += len(piece)
            if size > self._limit:
                raise RefusedError(_refuse_large())
            yield piece


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

        # Sanic marks a streaming handler by an attribute, which a bound
        # method can't carry.
        async def call(request: Request, name: str, path: str) -> None:
            await self._call(request, name, path)

        app.add_route(
            call,
            '/services/<name:str>/<path:path>',
            methods=METHODS,
            stream=True,
        )

    async def _call(self, request: Request, name: str, path: str) -> None:
        identity = authenticate(request, self._parts.keys)
        call = ServiceCall(name, request.method, identity.client_account)
        limit = self._parts.settings.limits.service_body_bytes
        body = BodySource(request, limit)
        human = self._parts.human_service
        with self._parts.activity.track(), human.track(call.client_account):
            await self._attempt_all(request, call, path, body)

    async def _attempt_all(
        self,
        request: Request,
        call: ServiceCall,
        path: str,
        body: BodySource,
    ) -> None:
        failed: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            attempt = Attempt()
            services = self._parts.services
            grant = await services.acquire(call, frozenset(failed))
            try:
                await self._attempt(request, grant, path, body, attempt)
            except FAILED_CALL as error:
                self._judge(call, body, attempt, grant, error)
                failed.add(grant.upstream.name)
                continue
            finally:
                services.release(grant)
            return
        raise RefusedError(_refuse_failed(Attempt(), ''))

    def _judge(
        self,
        call: ServiceCall,
        body: BodySource,
        attempt: Attempt,
        grant: Grant,
        error: Exception,
    ) -> None:
        # A call that may have run must not run again, and one whose body
        # was read can't be sent again; both end here.
        if not isinstance(error, aiohttp.ClientConnectorError):
            attempt.advance(AttemptState.maybe_sent)
        may_repeat = self._parts.services.may_repeat(call, attempt.state)
        answering = attempt.state is AttemptState.running
        if body.touched or answering or not may_repeat:
            peer = grant.upstream.name
            raise RefusedError(_refuse_failed(attempt, peer)) from error

    async def _attempt(
        self,
        request: Request,
        grant: Grant,
        path: str,
        body: BodySource,
        attempt: Attempt,
    ) -> None:
        query = f'?{request.query_string}' if request.query_string else ''
        has_body = 'content-length' in request.headers or (
            'transfer-encoding' in request.headers
        )
        async with self._session.request(
            request.method,
            f'http://{grant.upstream.address}/{path}{query}',
            headers=clean_request_headers(request.headers.items()),
            data=body.read() if has_body else None,
            allow_redirects=False,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_SECONDS,
                sock_read=SILENCE_SECONDS,
            ),
        ) as answer:
            attempt.advance(AttemptState.maybe_sent)
            attempt.advance(AttemptState.running)
            await relay_answer(request, answer)


async def relay_answer(
    request: Request,
    answer: aiohttp.ClientResponse,
) -> None:
    """Send an upstream's answer to the caller as it arrives."""
    headers = clean_response_headers(answer.headers)
    encoding = answer.headers.get('content-encoding')
    if encoding:
        headers['content-encoding'] = encoding
    stream = await request.respond(
        status=answer.status,
        headers=headers,
        content_type=headers.get('content-type', ''),
    )
    if request.method != 'HEAD':
        async for piece in answer.content.iter_chunked(PIECE_BYTES):
            await stream.send(piece)
    await stream.eof()


def _refuse_large() -> Refusal:
    return Refusal(
        RefusalCode.body_too_large,
        'The body is larger than the limit.',
        not_run=False,
        step='read body',
    )


def _refuse_failed(attempt: Attempt, peer: str) -> Refusal:
    code = RefusalCode.outcome_unknown
    if attempt.never_ran:
        code = RefusalCode.upstream_failed
    return Refusal(
        code,
        'The service gave no whole answer.',
        not_run=attempt.never_ran,
        step='call service',
        peer=peer,
    )
