"""Request bodies that are buffered up to a limit, so they can be retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.forwarding.fingerprint import (
    BODY_BYTES,
    compute_fingerprint,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzalcourse.state.calls import RequestHead
    from quetzalcourse.transport.request_body import RequestBody

# Hundreds of buffered bodies fit a daemon's memory at the same time.
MAX_BUFFERED_BYTES = BODY_BYTES


class SpooledBody:
    """Request body that is buffered completely if it is small.

    :param source: the caller's request body.
    """

    def __init__(self, source: RequestBody) -> None:
        """Store the source; :meth:`fill` starts to read it."""
        self.complete = False
        self._source = source
        self._chunks: list[bytes] = []
        self._rest: AsyncIterator[bytes] = source.read()

    async def fill(self) -> None:
        """Read until the end of the body or the buffer limit."""
        size = 0
        async for chunk in self._rest:
            self._chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                return
        self.complete = True

    @property
    def length(self) -> int | None:
        """Length in bytes, ``None`` if the caller did not declare it."""
        return self._source.length

    def compute_fingerprint(self, head: RequestHead, account: str) -> str:
        """Compute the request's fingerprint; call it before :meth:`open`.

        :param account: client account of the request.
        """
        return compute_fingerprint(
            head.method,
            head.host,
            head.target,
            account,
            self._chunks,
            None if self.complete else self.length,
        )

    def open(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body in the form that the HTTP client expects."""
        if self.complete:
            return b''.join(self._chunks) or None
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        chunks = self._chunks
        self._chunks = []
        for chunk in chunks:
            yield chunk
        async for chunk in self._rest:
            yield chunk
