"""Metrics of the daemon in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.formats import text

from quetzalcourse.state.counters import LATENCY_BUCKET_BOUNDS, Counters
from quetzalcourse.transport.metric_help import find_help

if TYPE_CHECKING:
    from quetzalcourse.state.counters import Histogram

PREFIX = 'quetzalcourse_'


def render_metrics(counters: Counters) -> bytes:
    """Render all metrics as text.

    :param counters: metrics of the daemon.
    """
    registry = Registry()
    _register_counts(registry, counters)
    _register_gauges(registry, counters)
    _register_histograms(registry, counters)
    return text.TextFormatter().marshall(registry)


def _register_counts(registry: Registry, counters: Counters) -> None:
    for name, series in counters.counts.items():
        counter = Counter(
            f'{PREFIX}{name}_total', find_help(name), registry=registry
        )
        for labels, amount in series.items():
            counter.set(dict(labels), amount)


def _register_gauges(registry: Registry, counters: Counters) -> None:
    for name, series in counters.gauges.items():
        gauge = Gauge(f'{PREFIX}{name}', find_help(name), registry=registry)
        for labels, amount in series.items():
            gauge.set(dict(labels), amount)


def _register_histograms(registry: Registry, counters: Counters) -> None:
    for name, series in counters.histograms.items():
        buckets = Counter(
            f'{PREFIX}{name}_seconds_bucket', find_help(name), registry=registry
        )
        sums = Counter(
            f'{PREFIX}{name}_seconds_sum', find_help(name), registry=registry
        )
        counts = Counter(
            f'{PREFIX}{name}_seconds_count', find_help(name), registry=registry
        )
        for labels, histogram in series.items():
            for bound, cumulative in _accumulate(histogram):
                buckets.set(dict(labels) | {'le': bound}, cumulative)
            sums.set(dict(labels), histogram.total)
            counts.set(dict(labels), histogram.count)


def _accumulate(histogram: Histogram) -> list[tuple[str, int]]:
    cumulative = 0
    rows = []
    bounds = [str(bound) for bound in LATENCY_BUCKET_BOUNDS] + ['+Inf']
    for bound, count in zip(bounds, histogram.buckets, strict=True):
        cumulative += count
        rows.append((bound, cumulative))
    return rows
