"""Counters, gauges and histograms that ``/metrics`` exposes."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

Labels = tuple[tuple[str, str], ...]

LATENCY_BUCKET_BOUNDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)


@dataclass(slots=True)
class Histogram:
    """Histogram with fixed buckets.

    :param buckets: counts up to each of :data:`LATENCY_BUCKET_BOUNDS`, in
        seconds, then the count above the last one.
    :param total: sum of the observations, in seconds.
    :param count: number of observations.
    """

    buckets: list[int] = field(
        default_factory=lambda: [0] * (len(LATENCY_BUCKET_BOUNDS) + 1),
    )
    total: float = 0.0
    count: int = 0


def sort_labels(labels: dict[str, str]) -> Labels:
    """Sort labels by name, so that equal sets compare as equal."""
    return tuple(sorted(labels.items()))


class Counters:
    """Registry of a daemon's metrics."""

    def __init__(self) -> None:
        """Start without metrics."""
        self.counts: dict[str, dict[Labels, float]] = {}
        self.gauges: dict[str, dict[Labels, float]] = {}
        self.histograms: dict[str, dict[Labels, Histogram]] = {}

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increment a counter.

        :param name: metric name, without the package's prefix.
        :param amount: increment, not negative.
        """
        series = self.counts.setdefault(name, {})
        key = sort_labels(labels)
        series[key] = series.get(key, 0) + amount

    def set(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges.setdefault(name, {})[sort_labels(labels)] = level

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        series = self.histograms.setdefault(name, {})
        histogram = series.setdefault(sort_labels(labels), Histogram())
        histogram.buckets[bisect_left(LATENCY_BUCKET_BOUNDS, seconds)] += 1
        histogram.total += seconds
        histogram.count += 1

    def read(self, name: str, **labels: str) -> float:
        """Read a counter or gauge; zero if it was never written."""
        key = sort_labels(labels)
        series = self.counts.get(name) or self.gauges.get(name) or {}
        return series.get(key, 0)
