"""HTTP client that runs generation requests on engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from aiohttp.http_exceptions import HttpProcessingError

from quetzalcourse.coordination.requests.attempt import Attempt, AttemptError
from quetzalcourse.protocol.engines import (
    build_request,
    parse_chunk,
    parse_refusal,
)
from quetzalcourse.protocol.events import END_MARKER, decode_line
from quetzalcourse.state.decoding import MalformedMessageError
from quetzalcourse.state.generation import AttemptState

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.generation import Chunk, GenerationRequest
    from quetzalcourse.state.manifest import Upstream

HTTP_OK = 200
CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 20.0
CANCEL_TIMEOUT_SECONDS = 2.0
MAX_REFUSAL_BYTES = 4096
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
STREAM_ERRORS = (
    aiohttp.ClientError,
    HttpProcessingError,
    asyncio.TimeoutError,
    MalformedMessageError,
    OSError,
)


class EngineClient:
    """Runs requests on engines over HTTP.

    :param session: shared HTTP session.
    :param clock: measures the time left until a deadline.
    """

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        """Store the session, which the application owns."""
        self._session = session
        self._clock = clock

    async def generate(
        self,
        upstream: Upstream,
        request: GenerationRequest,
        tokens: tuple[str, ...],
    ) -> AsyncIterator[Chunk]:
        """Run a request and yield its chunks.

        :param upstream: engine to run it on.
        :param request: the request.
        :param tokens: tokens already received, to resume after.
        :raises AttemptError: with the state in which the attempt ended.
        """
        attempt = Attempt()
        time_left = request.deadline - self._clock.elapsed()
        body = msgspec.json.encode(
            build_request(request, tokens, time_left.total_seconds())
        )
        try:
            async for chunk in self._stream(upstream, body, attempt):
                yield chunk
        except CONNECT_ERRORS as error:
            raise AttemptError(
                attempt.state, 'connect', upstream.name
            ) from error
        except STREAM_ERRORS as error:
            attempt.advance(AttemptState.maybe_sent)
            attempt.advance(AttemptState.broken)
            raise AttemptError(
                attempt.state, 'generate', upstream.name
            ) from error
        if attempt.state is not AttemptState.complete:
            attempt.advance(AttemptState.broken)
            raise AttemptError(attempt.state, 'generate', upstream.name)

    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Ask an engine to cancel a request; failure is ignored."""
        url = f'http://{upstream.address}/v1/requests/{request_id}'
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_SECONDS)
        try:
            async with self._session.delete(url, timeout=timeout):
                return
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return

    async def _stream(
        self,
        upstream: Upstream,
        body: bytes,
        attempt: Attempt,
    ) -> AsyncIterator[Chunk]:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=READ_TIMEOUT_SECONDS,
        )
        url = f'http://{upstream.address}/v1/completions'
        async with self._session.post(
            url, data=body, timeout=timeout
        ) as response:
            attempt.advance(AttemptState.maybe_sent)
            if response.status != HTTP_OK:
                await _read_refusal(response, attempt)
                return
            attempt.advance(AttemptState.running)
            async for line in response.content:
                content = decode_line(line)
                if content == END_MARKER:
                    attempt.advance(AttemptState.complete)
                    return
                if content is not None:
                    yield parse_chunk(content, upstream.name)


async def _read_refusal(
    response: aiohttp.ClientResponse,
    attempt: Attempt,
) -> None:
    content = await response.content.read(MAX_REFUSAL_BYTES)
    if parse_refusal(content) is not None:
        attempt.advance(AttemptState.refused)
