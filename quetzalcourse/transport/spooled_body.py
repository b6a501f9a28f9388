"""Bodies of callers' requests, kept while small so that they can repeat."""

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

# Most of a body that is kept; hundreds at once fit a daemon's memory.
MAX_BUFFERED_BYTES = BODY_BYTES


class SpooledBody:
    """Body that is kept whole if it is small.

    :param source: where it comes from.
    """

    def __init__(self, source: RequestBody) -> None:
        """Begin before the first byte."""
        self.whole = False
        self._source = source
        self._chunks: list[bytes] = []
        self._rest: AsyncIterator[bytes] = source.read()

    async def fill(self) -> None:
        """Read until the end, or until it is too large to keep."""
        size = 0
        async for chunk in self._rest:
            self._chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                return
        self.whole = True

    @property
    def length(self) -> int | None:
        """Length, if the caller declared it."""
        return self._source.length

    def compute_fingerprint(self, head: RequestHead, account: str) -> str:
        """Compute the fingerprint of its request, before it is opened.

        :param account: client account that the request runs for.
        """
        return compute_fingerprint(
            head.method,
            head.host,
            head.target,
            account,
            self._chunks,
            None if self.whole else self.length,
        )

    def open(self) -> bytes | AsyncIterator[bytes] | None:
        """Give the body in the form that the HTTP client sends."""
        if self.whole:
            return b''.join(self._chunks) or None
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        chunks = self._chunks
        self._chunks = []
        for chunk in chunks:
            yield chunk
        async for chunk in self._rest:
            yield chunk
