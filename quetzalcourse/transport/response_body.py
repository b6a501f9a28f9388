"""Bounded reading of response bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.exceptions import QuetzalcourseError
from quetzalcourse.transport.response_head import MalformedResponseError

if TYPE_CHECKING:
    import aiohttp

EVENT_SEPARATOR = b'\n\n'
# Far above any event of a stream, and small beside a daemon's memory.
MAX_EVENT_BYTES = 1_048_576
# Far above any answer of the store, whose pages hold 1 MB.
MAX_BODY_BYTES = 8_388_608


class OversizedEventError(QuetzalcourseError):
    """A stream goes on without a separator of events."""


class EventSplitter:
    """Splits the bytes of a stream into events."""

    def __init__(self) -> None:
        """Start without a byte."""
        self._rest = bytearray()

    @property
    def rest(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._rest)

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add bytes of the stream.

        :returns: the events that they complete, without separators.
        :raises OversizedEventError: if an event is too long.
        """
        # A separator may be split between two chunks.
        search_from = max(len(self._rest) - len(EVENT_SEPARATOR) + 1, 0)
        self._rest += chunk
        events: list[bytes] = []
        if self._rest.find(EVENT_SEPARATOR, search_from) >= 0:
            *events, rest = bytes(self._rest).split(EVENT_SEPARATOR)
            self._rest = bytearray(rest)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise OversizedEventError('event is too long')
        return events


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Read a complete body into memory.

    :raises MalformedResponseError: if it is longer than the limit.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise MalformedResponseError('body is too long')
        chunks.append(chunk)
    return b''.join(chunks)
