"""Log lines on their way out: bounded in number, and never waited for."""

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

# Lines a second of one event; a site's busiest second has some thirty
# requests a daemon, each with a few lines.
LINES_PER_SECOND = 100
# Lines that wait for a slow reader; about ten seconds of a busy daemon.
BUFFER_BYTES = 262_144


@dataclass(slots=True)
class TokenBucket:
    """Lines of one event.

    :param tokens: lines that may still be written.
    :param refilled_at: when it was last refilled, in seconds.
    :param suppressed: lines that were not written since the last one.
    """

    tokens: float
    refilled_at: float
    suppressed: int = 0


class LogRateLimiter:
    """Lets a bounded number of lines of each event pass.

    A flood of one kind, as of refusals while a service is down, would
    otherwise hide every other line and cost the time of the requests.

    :param read_time: tells seconds.
    """

    def __init__(
        self,
        lines_per_second: float = LINES_PER_SECOND,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        """Begin with a full allowance for every event."""
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
        """Pass a line, with the number of those left out before it.

        :raises structlog.DropEvent: if the event has no allowance left.
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
    """Writes lines to a descriptor without ever waiting for its reader.

    A reader that stops would stop the loop with the next line, and with it
    every request; lines that do not fit are dropped and counted instead.

    :param descriptor: where lines go; it is set to be non-blocking.
    """

    def __init__(
        self,
        descriptor: int,
        buffer_bytes: int = BUFFER_BYTES,
    ) -> None:
        """Begin with nothing waiting."""
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer_bytes = buffer_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._watched_loop: asyncio.AbstractEventLoop | None = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or keep it until the reader goes on."""
        line = text.encode()
        if self._buffered_bytes + len(line) > self._buffer_bytes:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self._flush()

    def flush(self) -> None:
        """Do nothing: lines are written as they come."""

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
        # Nobody reads any more; there is nowhere to say so.
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
            # Before the loop runs, or for a file that can't be watched, the
            # next line tries again.
            return
        self._watched_loop = loop

    def _unwatch_descriptor(self) -> None:
        if self._watched_loop is not None:
            self._watched_loop.remove_writer(self._descriptor)
            self._watched_loop = None
