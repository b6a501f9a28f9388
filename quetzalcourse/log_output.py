"""Rate limit and non-blocking output of log lines."""

from __future__ import annotations

import asyncio
import os
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines of one event. In its busiest second a daemon serves some thirty
# requests, each with a few lines.
LINES_PER_SECOND = 100
# Holds about ten seconds of a busy daemon's lines for a slow reader.
BUFFER_BYTES = 262_144


@dataclass(slots=True)
class TokenBucket:
    """Rate limit of one event.

    :param tokens: lines that may still be written.
    :param refilled_at: time of the last refill, in seconds.
    :param suppressed: lines dropped since the last one written.
    """

    tokens: float
    refilled_at: float
    suppressed: int = 0


class LogRateLimiter:
    """structlog processor that limits the rate of lines for each event.

    A flood of one event, such as refusals while a service is down, would
    otherwise hide every other line and slow the requests down.

    :param read_time: returns a monotonic time in seconds.
    """

    def __init__(
        self,
        lines_per_second: float = LINES_PER_SECOND,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with a full bucket for every event."""
        self.suppressed = 0
        self._lines_per_second = lines_per_second
        self._read_time = read_time
        self._buckets: dict[str, TokenBucket] = {}

    def __call__(
        self,
        _: Any,
        name: str,
        line: dict[str, Any],
    ) -> dict[str, Any]:
        """Pass a line on, with the number of lines suppressed before it.

        :raises structlog.DropEvent: if the event's bucket is empty.
        """
        now = self._read_time()
        event = str(line.get('event', name))
        bucket = self._buckets.setdefault(
            event, TokenBucket(self._lines_per_second, now)
        )
        refill = (now - bucket.refilled_at) * self._lines_per_second
        bucket.tokens = min(self._lines_per_second, bucket.tokens + refill)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            self.suppressed += 1
            raise structlog.DropEvent
        bucket.tokens -= 1
        if bucket.suppressed:
            line['left_out'] = bucket.suppressed
            bucket.suppressed = 0
        return line


class NonBlockingOutput:
    """Writes lines to a file descriptor without blocking.

    A reader that stops would otherwise block the event loop, and with it
    every request. Lines that exceed the buffer are dropped and counted.

    :param descriptor: destination of the lines; set to non-blocking mode.
    :param buffer_bytes: most bytes to hold for a slow reader.
    """

    def __init__(
        self,
        descriptor: int,
        buffer_bytes: int = BUFFER_BYTES,
    ) -> None:
        """Start with an empty buffer."""
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer_bytes = buffer_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._watched_loop: asyncio.AbstractEventLoop | None = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or buffer it until the reader continues."""
        line = text.encode()
        if self._buffered_bytes + len(line) > self._buffer_bytes:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self._flush()

    def flush(self) -> None:
        """Do nothing, since lines are written immediately."""

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._watch_descriptor()
                return
            except OSError:
                self._drop_all()
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
            else:
                self._buffer.popleft()
        self._unwatch_descriptor()

    def _drop_all(self) -> None:
        # The reader has closed its end, so the loss cannot be logged.
        self.dropped += len(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        self._unwatch_descriptor()

    def _watch_descriptor(self) -> None:
        if self._watched_loop is not None:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._flush)
        except (RuntimeError, OSError, ValueError):
            # The loop does not run yet, or the descriptor cannot be watched;
            # the next line tries again.
            return
        self._watched_loop = loop

    def _unwatch_descriptor(self) -> None:
        if self._watched_loop is not None:
            self._watched_loop.remove_writer(self._descriptor)
            self._watched_loop = None
