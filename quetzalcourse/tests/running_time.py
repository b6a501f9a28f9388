"""Time that passes while this process runs."""

from __future__ import annotations

import asyncio
import threading
import time
from dataclasses import dataclass

TICK_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Pause:
    """Interval in which the process did not run for some time.

    :param idle: seconds of the interval in which it neither ran nor slept.
    """

    began: float
    ended: float
    idle: float

    def measure_overlap(self, began: float, ended: float) -> float:
        """Measure how much of the pause may lie in an interval."""
        overlap = min(self.ended, ended) - max(self.began, began)
        return max(0, min(self.idle, overlap))


class RunningTime:
    """Measures time without the pauses in which the process did not run.

    On an overloaded machine a process may stand still for seconds. A thread
    that sleeps in short steps notices it, since it wakes up late without any
    processor time spent; a blocked event loop does not delay it.
    """

    def __init__(self) -> None:
        """Start to watch for pauses."""
        self._pauses: list[Pause] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()
        self._thread.join()

    def measure(self, began: float, ended: float) -> float:
        """Measure the running time between two monotonic times in seconds."""
        paused = sum(
            pause.measure_overlap(began, ended) for pause in self._pauses
        )
        return ended - began - paused

    async def sleep(self, seconds: float) -> None:
        """Wait until the process has run for a time."""
        began = time.monotonic()
        while self.measure(began, time.monotonic()) < seconds:
            await asyncio.sleep(TICK_SECONDS)

    def _watch(self) -> None:
        while not self._stopped.is_set():
            began = time.monotonic()
            used = time.process_time()
            time.sleep(TICK_SECONDS)
            ended = time.monotonic()
            used = time.process_time() - used
            idle = ended - began - TICK_SECONDS - used
            if idle > TICK_SECONDS:
                self._pauses.append(Pause(began, ended, idle))
