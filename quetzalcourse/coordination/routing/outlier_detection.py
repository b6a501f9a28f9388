"""Health of upstreams: who is taken out, and how one comes back."""

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

MAX_FAILURES = 3
BASE_EJECTION_TIME = timedelta(seconds=1)
MAX_EJECTION_TIME = timedelta(seconds=30)
MAX_DOUBLINGS = 5
MAX_RECOVERY_ATTEMPTS = 16
MAX_EJECTED_SHARE = 0.5
PROBE_SHARE = 0.1
SLOW_FACTOR = 4.0
SLOW_SECONDS = 1.0
MIN_SAMPLES = 5
MIN_PEERS = 3
SMOOTHING = 0.3


@dataclass(slots=True)
class Condition:
    """What is known of one upstream.

    :param failures: failed attempts since the last good one.
    :param ejections: how often it was taken out since it was last well.
    :param retry_at: time since boot from which it may be tried again.
    :param allowance: attempts at once while it comes back, 0 for any.
    :param seconds: smoothed time to the first token.
    """

    failures: int = 0
    ejections: int = 0
    retry_at: timedelta | None = None
    allowance: int = 0
    in_flight: int = 0
    seconds: float = 0.0
    samples: int = 0


class OutlierDetector:
    """Takes failing and slow upstreams out and tries them again gently.

    :param clock: tells when an upstream may be tried again.
    :param random: spreads the retries of many daemons over time.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        random: Random,
    ) -> None:
        """Begin with every upstream well."""
        self._clock = clock
        self._counters = counters
        self._random = random
        self._conditions: dict[str, Condition] = {}
        self._kinds: dict[str, UpstreamKind] = {}

    def on_manifest(self, manifest: Manifest) -> None:
        """Forget the upstreams that are gone."""
        self._kinds = {
            name: upstream.kind for name, upstream in manifest.upstreams.items()
        }
        self._conditions = {
            name: condition
            for name, condition in self._conditions.items()
            if name in self._kinds or condition.in_flight
        }

    def admits(self, name: str) -> bool:
        """Tell whether an upstream may get one more attempt now."""
        condition = self._conditions.get(name)
        if condition is None or condition.retry_at is None:
            return True
        if condition.retry_at > self._clock.elapsed():
            return False
        if condition.in_flight >= condition.allowance:
            return False
        return condition.allowance > 1 or self._may_probe()

    def find_retry_delay(self, names: Iterable[str]) -> timedelta:
        """Tell how long until the first of some upstreams may be tried."""
        now = self._clock.elapsed()
        waits = [
            condition.retry_at - now
            for condition in map(self._conditions.get, names)
            if condition is not None and condition.retry_at is not None
        ]
        return max(min(waits, default=BASE_EJECTION_TIME), timedelta(0))

    def on_start(self, name: str) -> None:
        """Count an attempt that begins."""
        self._find(name).in_flight += 1

    def on_end(self, name: str) -> None:
        """Count an attempt that ended, however it did."""
        self._find(name).in_flight -= 1

    def on_success(self, name: str) -> None:
        """Learn that an upstream did what it was asked."""
        condition = self._find(name)
        condition.failures = 0
        self._restore(name, condition)

    def on_failure(self, name: str, *, connected: bool) -> None:
        """Learn that an attempt failed through the upstream's fault.

        :param connected: whether there was a connection at all.
        """
        condition = self._find(name)
        condition.failures += 1
        if condition.retry_at is not None:
            if condition.retry_at <= self._clock.elapsed():
                self._eject(name, condition)
            return
        # Failures after a connect may be the request's own fault and come
        # with it to every upstream, so they never take out more than half.
        if condition.failures >= MAX_FAILURES:
            if not connected or self._may_eject(name):
                self._eject(name, condition)

    def on_first_token(self, name: str, waited: timedelta) -> None:
        """Learn how long an engine took to answer.

        An engine that comes back is believed from its first token on, since
        a whole answer can take minutes.

        :param waited: time from the request to its first token.
        """
        condition = self._find(name)
        self._restore(name, condition)
        seconds = waited.total_seconds()
        if condition.samples:
            change = seconds - condition.seconds
            seconds = condition.seconds + SMOOTHING * change
        condition.seconds = seconds
        condition.samples += 1
        if condition.retry_at is None and self._is_slow(name, condition):
            if self._may_eject(name):
                self._eject(name, condition)

    def list_ejected(self) -> list[str]:
        """Name the upstreams that are out or coming back."""
        return sorted(
            name
            for name, condition in self._conditions.items()
            if condition.retry_at is not None
        )

    def _find(self, name: str) -> Condition:
        return self._conditions.setdefault(name, Condition())

    def _restore(self, name: str, condition: Condition) -> None:
        if condition.retry_at is None:
            return
        condition.allowance *= 2
        if condition.allowance >= MAX_RECOVERY_ATTEMPTS:
            condition.retry_at = None
            condition.allowance = 0
            condition.ejections = 0
            self._counters.add('upstreams_restored', upstream=name)
            self._counters.set('upstream_out', 0, upstream=name)

    def _eject(self, name: str, condition: Condition) -> None:
        doublings = min(condition.ejections, MAX_DOUBLINGS)
        pause = min(BASE_EJECTION_TIME * 2**doublings, MAX_EJECTION_TIME)
        spread = self._random.uniform(0.5, 1.0)
        condition.retry_at = self._clock.elapsed() + pause * spread
        condition.ejections += 1
        condition.allowance = 1
        condition.failures = 0
        condition.samples = 0
        self._counters.add('upstreams_ejected', upstream=name)
        self._counters.set('upstream_out', 1, upstream=name)

    def _may_probe(self) -> bool:
        out = [
            condition
            for condition in self._conditions.values()
            if condition.allowance == 1
        ]
        probing = sum(condition.in_flight > 0 for condition in out)
        return probing < max(1, len(out) * PROBE_SHARE)

    def _may_eject(self, name: str) -> bool:
        kind = self._kinds.get(name)
        alike = [one for one, other in self._kinds.items() if other is kind]
        out = sum(one in alike for one in self.list_ejected())
        return out + 1 <= len(alike) * MAX_EJECTED_SHARE

    def _is_slow(self, name: str, condition: Condition) -> bool:
        if condition.samples < MIN_SAMPLES:
            return False
        others = [
            other.seconds
            for peer, other in self._conditions.items()
            if peer != name and other.samples >= MIN_SAMPLES
        ]
        if len(others) < MIN_PEERS:
            return False
        limit = max(SLOW_SECONDS, SLOW_FACTOR * median(others))
        return condition.seconds > limit
