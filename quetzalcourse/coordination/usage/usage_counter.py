"""Counters of the usage of accounts, by time window."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.usage import (
    ZERO_FIGURES,
    UsageByKey,
    UsageFigures,
    UsageKey,
    UsageRow,
    list_entries,
    name_window,
)

if TYPE_CHECKING:
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.manifest import Upstream

MILLISECOND = timedelta(milliseconds=1)
MAX_WINDOWS = 200


def format_kind(upstream: Upstream) -> str:
    """Format the kind of an upstream as reports show it."""
    return f'{upstream.kind}-cheap' if upstream.cheap else str(upstream.kind)


class UsageCounter:
    """Usage counted by this daemon, by window that is not stored yet.

    :param incarnation: name of this run of the daemon.
    :param window_length: length of a window.
    :ivar dropped: number of windows whose usage was lost.
    """

    def __init__(
        self,
        clock: Clock,
        incarnation: str,
        window_length: timedelta,
    ) -> None:
        """Start with nothing counted."""
        self.incarnation = incarnation
        self.window_length = window_length
        self.dropped = 0
        self.generated_tokens: Counter[str] = Counter()
        self._clock = clock
        self._latest_window = ''
        self._windows: dict[str, UsageByKey] = {}
        self._changed_keys: dict[str, set[UsageKey]] = {}

    def record(
        self,
        upstream: Upstream,
        client_account: str,
        traffic_class: str,
        figures: UsageFigures,
    ) -> None:
        """Count the work of an upstream in the current window.

        :param figures: usage to add.
        """
        # A calendar that is set back must not reopen a window that was stored
        # and dropped: its count would restart at zero, below the stored
        # figures, and would be lost.
        window = name_window(self._clock.now(), self.window_length)
        window = max(window, self._latest_window)
        self._latest_window = window
        key = UsageKey(client_account, traffic_class, format_kind(upstream))
        entries = self._windows.setdefault(window, {})
        entries[key] = entries.get(key, ZERO_FIGURES) + figures
        self.generated_tokens[traffic_class] += figures.generated_tokens
        self._changed_keys.setdefault(window, set()).add(key)

    def read(self, window: str) -> UsageRow:
        """Return the complete figures of a window."""
        return self._build_row(window, self._windows.get(window, {}))

    def list_windows(self) -> list[str]:
        """List the windows that are not stored yet, oldest first."""
        return sorted(self._windows)

    def take_changes(self) -> list[UsageRow]:
        """Return the figures that changed since the last call."""
        changed_keys = self._changed_keys
        self._changed_keys = {}
        return [
            self._build_row(
                window,
                {key: self._windows[window][key] for key in keys},
            )
            for window, keys in sorted(changed_keys.items())
            if window in self._windows
        ]

    def drop(self, stored: UsageRow) -> None:
        """Drop a stored window, if nothing was counted in it since."""
        if self.read(stored.window) == stored:
            self._windows.pop(stored.window, None)

    def drop_oldest(self) -> None:
        """Drop the oldest windows beyond the limit.

        Only a store that is unavailable for days causes this. The number of
        dropped windows is published as a metric, since their usage is lost.
        """
        while len(self._windows) > MAX_WINDOWS:
            self._windows.pop(min(self._windows))
            self.dropped += 1

    def _build_row(self, window: str, entries: UsageByKey) -> UsageRow:
        return UsageRow(window, self.incarnation, list_entries(entries))
