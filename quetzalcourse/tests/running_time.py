"""Time that passes while this process runs."""

from __future__ import annotations

import asyncio
import threading
import time
from dataclasses import dataclass

TICK_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Tick:
    """Start of a short sleep of the watching thread.

    :param used: processor time of the process until then, in seconds.
    """

    began: float
    used: float

    def find_pause(self) -> Pause | None:
        """Find the pause between the start and now, if there was one."""
        ended = time.monotonic()
        used = time.process_time() - self.used
        idle = ended - self.began - TICK_SECONDS - used
        if idle <= TICK_SECONDS:
            return None
        return Pause(self.began, ended, idle)


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
        self._tick = read_tick()
        self._lock = threading.Lock()
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
            pause.measure_overlap(began, ended) for pause in self._list_pauses()
        )
        return ended - began - paused

    async def sleep(self, seconds: float) -> None:
        """Wait until the process has run for a time."""
        began = time.monotonic()
        while self.measure(began, time.monotonic()) < seconds:
            await asyncio.sleep(TICK_SECONDS)

    def _list_pauses(self) -> list[Pause]:
        """List all pauses, even if the thread has not woken up since."""
        with self._lock:
            latest = self._tick.find_pause()
            if latest is None or self._stopped.is_set():
                return list(self._pauses)
            return [*self._pauses, latest]

    def _watch(self) -> None:
        while not self._stopped.is_set():
            time.sleep(TICK_SECONDS)
            with self._lock:
                pause = self._tick.find_pause()
                self._tick = read_tick()
                if pause is not None:
                    self._pauses.append(pause)


def read_tick() -> Tick:
    """Start a tick now."""
    return Tick(time.monotonic(), time.process_time())
