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
WAITING_BYTES = 262_144


@dataclass(slots=True)
class Allowance:
    """Lines of one event.

    :param left: lines that may still be written.
    :param refilled: when it was last refilled, in seconds.
    :param left_out: lines that were not written since the last one.
    """

    left: float
    refilled: float
    left_out: int = 0


class LineLimit:
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
        self.left_out = 0
        self._rate = lines_per_second
        self._read_time = read_time
        self._allowances: dict[str, Allowance] = {}

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
        allowance = self._allowances.setdefault(
            event, Allowance(self._rate, now)
        )
        refill = (now - allowance.refilled) * self._rate
        allowance.left = min(self._rate, allowance.left + refill)
        allowance.refilled = now
        if allowance.left < 1:
            allowance.left_out += 1
            self.left_out += 1
            raise structlog.DropEvent
        allowance.left -= 1
        if allowance.left_out:
            line['left_out'] = allowance.left_out
            allowance.left_out = 0
        return line


class LineOutput:
    """Writes lines to a descriptor without ever waiting for its reader.

    A reader that stops would stop the loop with the next line, and with it
    every request; lines that do not fit are dropped and counted instead.

    :param descriptor: where lines go; it is set to be non-blocking.
    """

    def __init__(
        self,
        descriptor: int,
        waiting_bytes: int = WAITING_BYTES,
    ) -> None:
        """Begin with nothing waiting."""
        self.dropped = 0
        self._descriptor = descriptor
        self._most = waiting_bytes
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self._watched: asyncio.AbstractEventLoop | None = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or keep it until the reader goes on."""
        line = text.encode()
        if self._size + len(line) > self._most:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._size += len(line)
        self._flush()

    def flush(self) -> None:
        """Do nothing: lines are written as they come."""

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                self._drop_all()
                return
            self._size -= written
            if written < len(line):
                self._waiting[0] = line[written:]
            else:
                self._waiting.popleft()
        self._unwatch()

    def _drop_all(self) -> None:
        # Nobody reads any more; there is nowhere to say so.
        self.dropped += len(self._waiting)
        self._waiting.clear()
        self._size = 0
        self._unwatch()

    def _watch(self) -> None:
        if self._watched is not None:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._flush)
        except (RuntimeError, OSError, ValueError):
            # Before the loop runs, or for a file that can't be watched, the
            # next line tries again.
            return
        self._watched = loop

    def _unwatch(self) -> None:
        if self._watched is not None:
            self._watched.remove_writer(self._descriptor)
            self._watched = None
