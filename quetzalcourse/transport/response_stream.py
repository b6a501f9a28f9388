"""Streaming of responses to callers that may read slowly."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import QuetzalcourseError
from quetzalcourse.transport.headers import filter_response_headers
from quetzalcourse.transport.web import abort_connection

if TYPE_CHECKING:
    import aiohttp
    from sanic import Request
    from sanic.response import HTTPResponse

CHUNK_BYTES = 65536


class CallerLostError(QuetzalcourseError):
    """The caller read nothing of its response for too long."""


class ResponseStream:
    """Response that is sent to a caller in chunks.

    :param request: the caller's request.
    :param stream: the started response.
    :param timeout_seconds: timeout of sending one chunk.
    """

    def __init__(
        self,
        request: Request,
        stream: HTTPResponse,
        timeout_seconds: float,
    ) -> None:
        """Store the request and its started response."""
        self._request = request
        self._stream = stream
        self._write_timeout = timeout_seconds

    async def send(self, chunk: bytes, *, last: bool = False) -> None:
        """Send a chunk, waiting while the caller reads slowly.

        A caller that stops reading would hold its upstream's slot
        indefinitely, so its connection is aborted after the timeout.

        :raises CallerLostError: if the caller does not read in time.
        """
        try:
            async with asyncio.timeout(self._write_timeout):
                await self._stream.send(chunk, end_stream=last)
        except TimeoutError:
            abort_connection(self._request)
            raise CallerLostError(
                'caller stopped reading the response'
            ) from None


async def relay_response(
    request: Request,
    response: aiohttp.ClientResponse,
    first: bytes,
    *,
    complete: bool,
    timeout_seconds: float,
) -> None:
    """Relay an upstream's response to the caller as it arrives.

    :param first: the part of the body that was already read.
    :param complete: whether ``first`` is the complete body.
    :param timeout_seconds: timeout of sending one chunk.
    """
    headers = filter_response_headers(response.headers.items())
    stream = await request.respond(
        status=response.status,
        headers=headers,
        content_type=headers.get('content-type', ''),
    )
    writer = ResponseStream(request, stream, timeout_seconds)
    await writer.send(first, last=complete)
    if complete:
        return
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        await writer.send(chunk)
    await writer.send(b'', last=True)
