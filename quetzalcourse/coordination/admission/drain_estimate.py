"""Expected service time of requests, and when a waiting request will start.

Under a burst beyond the slots of a service, a request at the end of the queue
may be unable to start in time. Its expected start follows from the number of
requests ahead of it and the rate at which requests started lately. The
estimate is optimistic: only after a time without starts it expects a low rate.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

# Before any request has finished.
INITIAL_SERVICE_SECONDS = 0.03
MIN_SLOT_SECONDS = 0.001
SMOOTHING = 1 / 8
# Starts are counted over this time; longer than most bursts of completions,
# short against the deadlines of callers.
RATE_WINDOW = timedelta(seconds=1)


@dataclass(slots=True)
class ServiceTimes:
    """Running means of how long requests take, in seconds.

    :param slot_seconds: time that a request holds a slot, by service.
    :param answer_seconds: time until its response begins, by route.
    """

    slot_seconds: dict[str, float] = field(default_factory=dict)
    answer_seconds: dict[str, float] = field(default_factory=dict)

    def on_finished(
        self, service: str, route: str, held: timedelta, answered: timedelta
    ) -> None:
        """Record a request that its upstream ran.

        :param held: how long it held its slot.
        :param answered: time until its response began.
        """
        _update_mean(self.slot_seconds, service, held)
        _update_mean(self.answer_seconds, route, answered)

    def find_slot_time(self, service: str) -> timedelta:
        """Return how long a request is expected to hold its slot."""
        seconds = self.slot_seconds.get(service, INITIAL_SERVICE_SECONDS)
        return timedelta(seconds=max(seconds, MIN_SLOT_SECONDS))

    def find_answer_time(self, route: str) -> timedelta:
        """Return the expected time until a response begins."""
        seconds = self.answer_seconds.get(route, INITIAL_SERVICE_SECONDS)
        return timedelta(seconds=seconds)


class DrainEstimate:
    """Rate at which the requests of one queue, or a part of it, start."""

    def __init__(self) -> None:
        """Start without a queue."""
        self._starts: deque[timedelta] = deque()
        self._waiting_since: timedelta | None = None

    def on_waiting(self, now: timedelta) -> None:
        """Record that requests wait."""
        if self._waiting_since is None:
            self._waiting_since = now

    def on_empty(self) -> None:
        """Record that no request waits any more."""
        self._waiting_since = None
        self._starts.clear()

    def on_start(self, now: timedelta) -> None:
        """Record that a waiting request was sent."""
        self._starts.append(now)
        self._forget(now)

    def estimate(
        self, ahead: int, slots: int, slot_time: timedelta, now: timedelta
    ) -> timedelta:
        """Estimate the time until a request starts.

        :param ahead: number of waiting requests that go first.
        :param slots: known slots of the service.
        :param slot_time: expected time that a request holds one.
        """
        rate = self._estimate_rate(slots, slot_time, now)
        return timedelta(seconds=(ahead + 1) / rate)

    def _estimate_rate(
        self, slots: int, slot_time: timedelta, now: timedelta
    ) -> float:
        """Estimate the number of requests that start a second."""
        highest = max(slots, 1) / slot_time.total_seconds()
        if self._waiting_since is None:
            return highest
        self._forget(now)
        observed = min(now - self._waiting_since, RATE_WINDOW)
        if not observed:
            return highest
        # The next start may come at any moment, so it is counted already.
        return min((len(self._starts) + 1) / observed.total_seconds(), highest)

    def _forget(self, now: timedelta) -> None:
        while self._starts and now - self._starts[0] > RATE_WINDOW:
            self._starts.popleft()


def _update_mean(
    means: dict[str, float], name: str, duration: timedelta
) -> None:
    seconds = duration.total_seconds()
    mean = means.get(name, seconds)
    means[name] = mean + (seconds - mean) * SMOOTHING
