"""Parsing of service level events from the metrics of daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.parser import text_string_to_metric_families

from quetzalcourse.coordination.service_levels.burn import LevelEvents
from quetzalcourse.coordination.service_levels.service_levels import (
    EVENTS_METRIC,
    WINDOW_EVENTS_METRIC,
)
from quetzalcourse.state.service_levels import EventCount, Window

if TYPE_CHECKING:
    from prometheus_client.samples import Sample

PREFIX = 'quetzalcourse_'


def read_events(exposition: str, events: dict[str, LevelEvents]) -> None:
    """Add one daemon's events to those of other daemons.

    :param exposition: text of the daemon's ``/metrics``.
    :param events: events by service level, updated in place.
    """
    for family in text_string_to_metric_families(exposition):
        for sample in family.samples:
            _add_sample(sample, events)


def _add_sample(sample: Sample, events: dict[str, LevelEvents]) -> None:
    name = sample.name.removeprefix(PREFIX).removesuffix('_total')
    if name not in {EVENTS_METRIC, WINDOW_EVENTS_METRIC}:
        return
    level = events.setdefault(sample.labels['service_level'], LevelEvents())
    good = sample.labels['outcome'] == 'good'
    amount = sample.value
    count = EventCount(amount, 0) if good else EventCount(0, amount)
    if name == WINDOW_EVENTS_METRIC:
        level.add_window(Window(sample.labels['window']), count)
    else:
        level.add_account(sample.labels['client_account'], count)
