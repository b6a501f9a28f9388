"""Counts the events that ended upstreams under a request.

When a partition resets connections or many upstreams are killed at once, a
request that is retried meets one after another within milliseconds. Upstreams
that run none of its attempts end at the same moment, so it is one event.
"""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.state.quarantine import UpstreamCrash, UpstreamRun

# Ends that follow each other faster may have one cause.
EVENT_WINDOW = timedelta(milliseconds=300)
MAX_RECENT = 1024


class RecentCrashes:
    """The last upstreams that ended, under whatever request."""

    def __init__(self) -> None:
        """Begin without an end."""
        self._ends: OrderedDict[UpstreamRun, timedelta] = OrderedDict()

    def add(self, run: UpstreamRun, at: timedelta) -> None:
        """Learn that an upstream ended."""
        self._ends.setdefault(run, at)
        if len(self._ends) > MAX_RECENT:
            self._ends.popitem(last=False)

    def remove(self, run: UpstreamRun) -> bool:
        """Learn that an upstream has not ended.

        :returns: whether it was taken for ended.
        """
        return self._ends.pop(run, None) is not None

    def count_events(self, ends: Mapping[UpstreamRun, UpstreamCrash]) -> int:
        """Count the events among the ends under one request.

        Ends that only this request saw count one by one, however quickly they
        follow each other.
        """
        count = 0
        for group in _group(sorted(end.at for end in ends.values())):
            shared = self._is_shared(ends, group[0], group[-1])
            count += 1 if shared else len(group)
        return count

    def _is_shared(
        self,
        ends: Mapping[UpstreamRun, UpstreamCrash],
        first: timedelta,
        last: timedelta,
    ) -> bool:
        return any(
            first - EVENT_WINDOW <= at <= last + EVENT_WINDOW
            for run, at in self._ends.items()
            if run not in ends
        )


def _group(times: list[timedelta]) -> list[list[timedelta]]:
    groups: list[list[timedelta]] = []
    for at in times:
        if groups and at - groups[-1][-1] <= EVENT_WINDOW:
            groups[-1].append(at)
        else:
            groups.append([at])
    return groups
