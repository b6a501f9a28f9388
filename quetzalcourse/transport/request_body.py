"""Request bodies with limits on size and on idle time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from sanic import Request
    from sanic.response import HTTPResponse

    from quetzalcourse.settings.process import LimitSettings

    Handler = Callable[..., Coroutine[Any, Any, HTTPResponse | None]]


class RequestBody:
    """Body of a caller's request.

    A small body is read before a slot is acquired, so that a slow sender
    holds no slot and the call can be retried. A large body is streamed as it
    arrives and can be sent only once.

    :param request: the caller's request.
    :param limit: maximum size in bytes.
    :param idle_timeout_seconds: timeout between two chunks.
    :raises RefusedError: if the declared length exceeds the limit.
    """

    def __init__(
        self,
        request: Request,
        limit: int,
        idle_timeout_seconds: float,
    ) -> None:
        """Check the declared length; nothing is read yet."""
        headers = request.headers
        declared = int(headers.get('content-length', '0'))
        if declared > limit:
            raise RefusedError(_refuse_large())
        self.exists = declared > 0 or 'transfer-encoding' in headers
        self.length = declared if 'content-length' in headers else None
        self.started = False
        self.refusal: Refusal | None = None
        self._content: bytes | None = None
        self._stream: Any = request.stream
        self._limit = limit
        self._idle_timeout = idle_timeout_seconds

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent again."""
        return self._content is not None or not self.started

    async def buffer(self, limit: int) -> bytes:
        """Read the whole body into memory before it is sent.

        :param limit: maximum number of bytes.
        :raises RefusedError: if the body is larger or arrives too slowly.
        """
        self._limit = min(self._limit, limit)
        chunks = [chunk async for chunk in self.read()]
        self._content = b''.join(chunks)
        return self._content

    def open(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body in the form that the HTTP client expects."""
        if self._content is not None:
            return self._content or None
        return self.read() if self.exists else None

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body chunk by chunk.

        :raises RefusedError: if the body exceeds the limit or arrives too
            slowly.
        """
        size = 0
        while self.exists:
            chunk = await self._read_chunk()
            if chunk is None:
                return
            self.started = True
            size += len(chunk)
            if size > self._limit:
                self._fail(_refuse_large())
            yield chunk

    async def _read_chunk(self) -> bytes | None:
        try:
            async with asyncio.timeout(self._idle_timeout):
                return await self._stream.read()
        except TimeoutError:
            self._close_after_response()
            self._fail(_refuse_slow())
        return None

    def _close_after_response(self) -> None:
        # Otherwise the server would wait for the rest of the body before it
        # closes the connection, while the caller waits for the close.
        self._stream.keep_alive = False
        self._stream.request_body = None

    def _fail(self, refusal: Refusal) -> None:
        # The HTTP client wraps errors of the body, so the refusal is kept for
        # the code that sends the call and knows whether it was sent.
        self.refusal = refusal
        raise RefusedError(refusal)


def allow_streaming(handler: Handler) -> Handler:
    """Wrap a handler so that sanic lets it read the request body itself.

    Before a normal handler starts, sanic reads the whole body without a
    timeout, so a stalled sender would never get an error. Sanic marks
    streaming handlers by an attribute, which a bound method cannot carry but
    a wrapper function can.
    """

    async def serve(request: Request, **names: Any) -> HTTPResponse | None:
        return await handler(request, **names)

    return serve


async def read_body(request: Request, limits: LimitSettings) -> bytes:
    """Read the whole body of a request that is not proxied.

    :raises RefusedError: if the body exceeds the limit or arrives slowly.
    """
    body = RequestBody(request, limits.body_bytes, limits.sender_seconds)
    return await body.buffer(limits.body_bytes)


def _refuse_large() -> Refusal:
    return Refusal(
        RefusalCode.body_too_large,
        'The body is larger than the limit.',
        not_run=True,
        step='read body',
    )


def _refuse_slow() -> Refusal:
    return Refusal(
        RefusalCode.body_timeout,
        'The body did not arrive in time.',
        not_run=True,
        step='read body',
    )
