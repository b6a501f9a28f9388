"""Outlier detection: ejection of failing and slow upstreams, and recovery."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.manifest import Manifest, UpstreamKind

MAX_CONSECUTIVE_FAILURES = 3
BASE_EJECTION_TIME = timedelta(seconds=1)
MAX_EJECTION_TIME = timedelta(seconds=30)
MAX_BACKOFF_DOUBLINGS = 5
# Concurrent attempts during recovery at which an upstream is healthy again.
MAX_RECOVERY_ATTEMPTS = 16
# Share of the upstreams of a kind that failures after a connect and slow
# responses may eject.
MAX_EJECTED_SHARE = 0.5
# Share of the ejected upstreams that are probed at once.
MAX_PROBED_SHARE = 0.1
# An engine is slow if it takes this many times the median of its peers, and
# at least MIN_SLOW_SECONDS.
SLOW_FACTOR = 4.0
MIN_SLOW_SECONDS = 1.0
MIN_SAMPLES = 5
MIN_PEERS = 3
LATENCY_SMOOTHING = 0.3


@dataclass(slots=True)
class UpstreamState:
    """Health of one upstream.

    :param failures: failed attempts since the last successful one.
    :param ejections: number of ejections since it was last healthy.
    :param retry_at: time since boot from which it may be tried again,
        ``None`` if it is healthy.
    :param attempt_limit: concurrent attempts during recovery, 0 if unlimited.
    :param in_flight: attempts that have not finished.
    :param seconds: smoothed time to the first token.
    :param samples: number of samples of that time.
    """

    failures: int = 0
    ejections: int = 0
    retry_at: timedelta | None = None
    attempt_limit: int = 0
    in_flight: int = 0
    seconds: float = 0.0
    samples: int = 0


class OutlierDetector:
    """Ejects failing and slow upstreams, and readmits them gradually.

    :param clock: measures the ejection times.
    :param random: jitter that spreads the probes of many daemons over time.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        random: Random,
    ) -> None:
        """Start with every upstream healthy."""
        self._clock = clock
        self._counters = counters
        self._random = random
        self._states: dict[str, UpstreamState] = {}
        self._kinds: dict[str, UpstreamKind] = {}

    def on_manifest(self, manifest: Manifest) -> None:
        """Drop the state of upstreams that a manifest no longer has."""
        self._kinds = {
            name: upstream.kind for name, upstream in manifest.upstreams.items()
        }
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in self._kinds or state.in_flight
        }

    def admits(self, name: str) -> bool:
        """Return whether an upstream may get another attempt now."""
        state = self._states.get(name)
        if state is None or state.retry_at is None:
            return True
        if state.retry_at > self._clock.elapsed():
            return False
        if state.in_flight >= state.attempt_limit:
            return False
        return state.attempt_limit > 1 or self._may_probe()

    def find_retry_delay(self, names: Iterable[str]) -> timedelta:
        """Return the time until the first of some upstreams may be tried."""
        now = self._clock.elapsed()
        waits = [
            state.retry_at - now
            for state in map(self._states.get, names)
            if state is not None and state.retry_at is not None
        ]
        return max(min(waits, default=BASE_EJECTION_TIME), timedelta(0))

    def on_start(self, name: str) -> None:
        """Count an attempt that starts."""
        self._find(name).in_flight += 1

    def on_end(self, name: str) -> None:
        """Count an attempt that finished, with any outcome."""
        self._find(name).in_flight -= 1

    def on_success(self, name: str) -> None:
        """Record a successful attempt."""
        state = self._find(name)
        state.failures = 0
        self._restore(name, state)

    def on_failure(self, name: str, *, connected: bool) -> None:
        """Record an attempt that failed because of the upstream.

        :param connected: whether a connection was established.
        """
        state = self._find(name)
        state.failures += 1
        if state.retry_at is not None:
            if state.retry_at <= self._clock.elapsed():
                self._eject(name, state)
            return
        # Failures after a connect may be caused by the request itself, which
        # would repeat them at every upstream. So they eject at most half of
        # the upstreams.
        if state.failures >= MAX_CONSECUTIVE_FAILURES:
            if not connected or self._may_eject(name):
                self._eject(name, state)

    def on_first_token(self, name: str, waited: timedelta) -> None:
        """Record an engine's time to the first token.

        The first token counts as a success of a recovering engine, since a
        whole response can take minutes.

        :param waited: time from the request to its first token.
        """
        state = self._find(name)
        self._restore(name, state)
        seconds = waited.total_seconds()
        if state.samples:
            change = seconds - state.seconds
            seconds = state.seconds + LATENCY_SMOOTHING * change
        state.seconds = seconds
        state.samples += 1
        if state.retry_at is None and self._is_slow(name, state):
            if self._may_eject(name):
                self._eject(name, state)

    def list_ejected(self) -> list[str]:
        """List the upstreams that are ejected or recovering."""
        return sorted(
            name
            for name, state in self._states.items()
            if state.retry_at is not None
        )

    def _find(self, name: str) -> UpstreamState:
        return self._states.setdefault(name, UpstreamState())

    def _restore(self, name: str, state: UpstreamState) -> None:
        if state.retry_at is None:
            return
        state.attempt_limit *= 2
        if state.attempt_limit >= MAX_RECOVERY_ATTEMPTS:
            state.retry_at = None
            state.attempt_limit = 0
            state.ejections = 0
            self._counters.add('upstreams_restored', upstream=name)
            self._counters.set('upstream_out', 0, upstream=name)

    def _eject(self, name: str, state: UpstreamState) -> None:
        doublings = min(state.ejections, MAX_BACKOFF_DOUBLINGS)
        ejection = min(BASE_EJECTION_TIME * 2**doublings, MAX_EJECTION_TIME)
        jitter = self._random.uniform(0.5, 1.0)
        state.retry_at = self._clock.elapsed() + ejection * jitter
        state.ejections += 1
        state.attempt_limit = 1
        state.failures = 0
        state.samples = 0
        self._counters.add('upstreams_ejected', upstream=name)
        self._counters.set('upstream_out', 1, upstream=name)

    def _may_probe(self) -> bool:
        ejected = [
            state for state in self._states.values() if state.attempt_limit == 1
        ]
        probing = sum(state.in_flight > 0 for state in ejected)
        return probing < max(1, len(ejected) * MAX_PROBED_SHARE)

    def _may_eject(self, name: str) -> bool:
        kind = self._kinds.get(name)
        peers = [peer for peer, other in self._kinds.items() if other is kind]
        ejected = sum(peer in peers for peer in self.list_ejected())
        return ejected + 1 <= len(peers) * MAX_EJECTED_SHARE

    def _is_slow(self, name: str, state: UpstreamState) -> bool:
        if state.samples < MIN_SAMPLES:
            return False
        others = [
            other.seconds
            for peer, other in self._states.items()
            if peer != name and other.samples >= MIN_SAMPLES
        ]
        if len(others) < MIN_PEERS:
            return False
        limit = max(MIN_SLOW_SECONDS, SLOW_FACTOR * median(others))
        return state.seconds > limit
