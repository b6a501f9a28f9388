"""Service level indicators, their events and burn rate windows."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta


class Indicator(enum.StrEnum):
    """Service level indicator."""

    human_latency = 'human_latency'
    human_success = 'human_success'
    steps_on_time = 'steps_on_time'
    staleness = 'staleness'
    reports_on_time = 'reports_on_time'


class Window(enum.StrEnum):
    """Windows over which the burn rate is reported."""

    five_minutes = '5m'
    half_hour = '30m'
    hour = '1h'
    six_hours = '6h'


WINDOW_LENGTHS = {
    Window.five_minutes: timedelta(minutes=5),
    Window.half_hour: timedelta(minutes=30),
    Window.hour: timedelta(hours=1),
    Window.six_hours: timedelta(hours=6),
}


@dataclass(frozen=True, slots=True)
class EventCount:
    """Events of a service level.

    :param good: events that met the objective.
    :param bad: events that missed it.
    """

    good: float = 0
    bad: float = 0

    @property
    def total(self) -> float:
        """Number of all events."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad events, 0 without events."""
        return self.bad / self.total if self.total else 0.0

    def __add__(self, other: EventCount) -> EventCount:
        """Add the events of two sources."""
        return EventCount(self.good + other.good, self.bad + other.bad)
