"""Syntax check of the heads of HTTP/1.1 responses."""

from __future__ import annotations

import re

import aiohttp

HEAD_END = b'\r\n\r\n'
# All heads of one response, the interim ones included.
MAX_HEAD_BYTES = 131072
SWITCHING_PROTOCOLS = 101
MIN_FINAL_STATUS = 200
# The HTTP client takes statuses that are not defined, folds lines that begin
# with a blank into the line before, and accepts lines without a CR. Each of
# them can change what a head means, its length included.
HEAD_PATTERN = re.compile(
    rb'HTTP/1\.[01] ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?'
    rb"(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)*"
)


class MalformedResponseError(aiohttp.ClientError):
    """The peer sent bytes that are no HTTP/1.1 response."""


class HeadChecker:
    """Collects the bytes of a response until its final head is checked."""

    def __init__(self) -> None:
        """Start without a byte."""
        self._received = bytearray()
        self._head_start = 0

    def feed(self, content: bytes) -> bytes | None:
        """Add bytes of the connection.

        :returns: all bytes received so far, once they hold the final head;
            ``None`` before.
        :raises MalformedResponseError: if they are no response.
        """
        # The end of a head may be split between two calls.
        search_from = max(
            self._head_start, len(self._received) - len(HEAD_END) + 1
        )
        self._received += content
        while True:
            head_end = self._received.find(HEAD_END, search_from)
            if head_end < 0:
                break
            status = _read_status(self._received[self._head_start : head_end])
            if status >= MIN_FINAL_STATUS:
                return bytes(self._received)
            if status == SWITCHING_PROTOCOLS:
                raise MalformedResponseError('unrequested protocol switch')
            self._head_start = head_end + len(HEAD_END)
            search_from = self._head_start
        if len(self._received) > MAX_HEAD_BYTES:
            raise MalformedResponseError('head is too long')
        return None


def _read_status(head: bytearray) -> int:
    match = HEAD_PATTERN.fullmatch(head)
    if match is None:
        raise MalformedResponseError('head is malformed')
    return int(match[1])
