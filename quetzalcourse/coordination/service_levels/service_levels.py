"""Counts of good and bad events for the service levels of the manifest."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.manifest import Manifest
from quetzalcourse.state.service_levels import (
    WINDOW_LENGTHS,
    EventCount,
    Indicator,
    Window,
)

if TYPE_CHECKING:
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.manifest import ServiceLevel

BUCKET_LENGTH = timedelta(seconds=30)
LONGEST_WINDOW = max(WINDOW_LENGTHS.values())
EVENTS_METRIC = 'service_level_events'
ALL_ACCOUNTS = 'all'
WINDOW_EVENTS_METRIC = 'service_level_window_events'


@dataclass(slots=True)
class _Bucket:
    """Events of one short interval."""

    started_at: timedelta
    good: int = 0
    bad: int = 0


class EventHistory:
    """Events of the last hours in short buckets, in bounded memory.

    :param clock: determines the current bucket.
    """

    def __init__(self, clock: Clock) -> None:
        """Create without events."""
        self._clock = clock
        self._buckets: deque[_Bucket] = deque(
            maxlen=LONGEST_WINDOW // BUCKET_LENGTH + 1
        )

    def record(self, *, good: bool) -> None:
        """Count one event at the current time."""
        now = self._clock.elapsed()
        if (
            not self._buckets
            or now - self._buckets[-1].started_at >= BUCKET_LENGTH
        ):
            self._buckets.append(_Bucket(now))
        bucket = self._buckets[-1]
        if good:
            bucket.good += 1
        else:
            bucket.bad += 1

    def count(self, length: timedelta) -> EventCount:
        """Sum the events of a recent interval.

        :param length: length of the interval that ends now.
        """
        since = self._clock.elapsed() - length
        recent = [
            bucket for bucket in self._buckets if bucket.started_at >= since
        ]
        return EventCount(
            sum(bucket.good for bucket in recent),
            sum(bucket.bad for bucket in recent),
        )


class ServiceLevelTracker:
    """Classifies events as good or bad for every service level.

    :param counters: publishes the counts.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        """Create without service levels."""
        self._clock = clock
        self._counters = counters
        self._levels: list[ServiceLevel] = []
        self._histories: dict[str, EventHistory] = {}

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the service levels of a new manifest."""
        self._levels = list(manifest.service_levels.values())
        self._histories = {
            level.name: self._histories.get(level.name)
            or EventHistory(self._clock)
            for level in self._levels
        }

    def record(
        self,
        indicator: Indicator,
        client_account: str,
        *,
        good: bool,
    ) -> None:
        """Count an event whose outcome is already known."""
        for level in self._levels:
            if level.indicator == indicator:
                self._count(level, client_account, good=good)

    def observe(
        self,
        indicator: Indicator,
        client_account: str,
        duration: timedelta,
    ) -> None:
        """Count an event that is good if it was fast enough.

        :param duration: compared with the threshold of each service level;
            without a threshold, any duration is good.
        """
        for level in self._levels:
            if level.indicator == indicator:
                is_good = level.threshold is None or duration <= level.threshold
                self._count(level, client_account, good=is_good)

    def on_report(self, delay: timedelta) -> None:
        """Count an accepted usage report, which covers all accounts.

        :param delay: time since the report was due.
        """
        self.observe(Indicator.reports_on_time, ALL_ACCOUNTS, delay)

    def publish(self) -> None:
        """Publish the current counts of every window in the counters."""
        for name, history in self._histories.items():
            for window, length in WINDOW_LENGTHS.items():
                self._publish_window(name, window, history.count(length))

    def _publish_window(
        self,
        name: str,
        window: Window,
        count: EventCount,
    ) -> None:
        for outcome, amount in (('good', count.good), ('bad', count.bad)):
            self._counters.set(
                WINDOW_EVENTS_METRIC,
                amount,
                service_level=name,
                window=window.value,
                outcome=outcome,
            )

    def _count(
        self,
        level: ServiceLevel,
        client_account: str,
        *,
        good: bool,
    ) -> None:
        self._histories[level.name].record(good=good)
        self._counters.add(
            EVENTS_METRIC,
            service_level=level.name,
            client_account=client_account,
            outcome='good' if good else 'bad',
        )
