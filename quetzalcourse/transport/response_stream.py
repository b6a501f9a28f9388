"""Answers on their way to callers, however slowly these read."""

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
    """Caller that took nothing of its answer for too long."""


class ResponseStream:
    """Answer that goes to a caller piece by piece.

    :param request: the caller's request.
    :param stream: the answer that was begun.
    :param write_timeout_seconds: how long the caller may take nothing.
    """

    def __init__(
        self,
        request: Request,
        stream: HTTPResponse,
        write_timeout_seconds: float,
    ) -> None:
        """Keep the connection."""
        self._request = request
        self._stream = stream
        self._write_timeout = write_timeout_seconds

    async def send(self, chunk: bytes, *, last: bool = False) -> None:
        """Send a piece, waiting while the caller reads slowly.

        A caller that stops reading would hold its upstream's slot for as
        long as it likes, so its connection is cut after a while.

        :raises CallerLostError: if the caller takes nothing for too long.
        """
        try:
            async with asyncio.timeout(self._write_timeout):
                await self._stream.send(chunk, end_stream=last)
        except TimeoutError:
            abort_connection(self._request)
            raise CallerLostError('caller does not read') from None


async def relay_response(
    request: Request,
    answer: aiohttp.ClientResponse,
    first: bytes,
    *,
    whole: bool,
    write_timeout_seconds: float,
) -> None:
    """Send an upstream's answer to the caller as it arrives.

    :param first: what was read of the body already.
    :param whole: whether that is all of it.
    :param write_timeout_seconds: how long the caller may take nothing.
    """
    headers = filter_response_headers(answer.headers.items())
    stream = await request.respond(
        status=answer.status,
        headers=headers,
        content_type=headers.get('content-type', ''),
    )
    writer = ResponseStream(request, stream, write_timeout_seconds)
    await writer.send(first, last=whole)
    if whole:
        return
    async for chunk in answer.content.iter_chunked(CHUNK_BYTES):
        await writer.send(chunk)
    await writer.send(b'', last=True)
