"""Grouping of upstream crashes into events.

When a partition resets connections or many upstreams are killed at once, a
retried request meets several of them within milliseconds. Upstreams that ran
none of its attempts crash at the same time, so these crashes are one event.
"""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.state.quarantine import UpstreamCrash, UpstreamRun

# Crashes within this time of each other may have a common cause.
EVENT_WINDOW = timedelta(milliseconds=300)
MAX_RECENT = 1024


class RecentCrashes:
    """The most recent upstream crashes, whatever request was running."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[UpstreamRun, timedelta] = OrderedDict()

    def add(self, run: UpstreamRun, at: timedelta) -> None:
        """Record a crash, unless that run is recorded already."""
        self._crashes.setdefault(run, at)
        if len(self._crashes) > MAX_RECENT:
            self._crashes.popitem(last=False)

    def remove(self, run: UpstreamRun) -> bool:
        """Remove the crash of a run that turns out to be alive.

        :returns: whether it was recorded as crashed.
        """
        return self._crashes.pop(run, None) is not None

    def count_events(self, crashes: Mapping[UpstreamRun, UpstreamCrash]) -> int:
        """Count the events among the crashes of one request.

        Crashes that affected only this request count one by one, however
        quickly they follow each other.
        """
        count = 0
        for group in _group(sorted(crash.at for crash in crashes.values())):
            shared = self._is_shared(crashes, group[0], group[-1])
            count += 1 if shared else len(group)
        return count

    def _is_shared(
        self,
        crashes: Mapping[UpstreamRun, UpstreamCrash],
        first: timedelta,
        last: timedelta,
    ) -> bool:
        return any(
            first - EVENT_WINDOW <= at <= last + EVENT_WINDOW
            for run, at in self._crashes.items()
            if run not in crashes
        )


def _group(times: list[timedelta]) -> list[list[timedelta]]:
    groups: list[list[timedelta]] = []
    for at in times:
        if groups and at - groups[-1][-1] <= EVENT_WINDOW:
            groups[-1].append(at)
        else:
            groups.append([at])
    return groups
