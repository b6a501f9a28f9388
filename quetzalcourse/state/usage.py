"""Usage as daemons count it, keep it and report it."""

from __future__ import annotations

from dataclasses import astuple, dataclass
from datetime import UTC, datetime, timedelta

WINDOW_FORMAT = '%Y%m%dT%H%M%SZ'


@dataclass(frozen=True, slots=True, order=True)
class UsageKey:
    """What a figure is counted for.

    :param upstream_kind: kind of the upstream, with ``-cheap`` behind it if
        it can be reclaimed.
    """

    client_account: str
    traffic_class: str
    upstream_kind: str


@dataclass(frozen=True, slots=True)
class UsageFigures:
    """Cumulative figures; whole numbers, so that sums are exact.

    :param milliseconds: time that upstreams were busy.
    """

    prompt_tokens: int = 0
    generated_tokens: int = 0
    requests: int = 0
    milliseconds: int = 0

    def __add__(self, other: UsageFigures) -> UsageFigures:
        """Add figures."""
        return UsageFigures(
            *(
                mine + others
                for mine, others in zip(astuple(self), astuple(other))
            )
        )

    def __sub__(self, other: UsageFigures) -> UsageFigures:
        """Take figures away."""
        return UsageFigures(
            *(
                mine - others
                for mine, others in zip(astuple(self), astuple(other))
            )
        )

    def merge(self, other: UsageFigures) -> UsageFigures:
        """Take the larger of each; both are readings of one counter."""
        return UsageFigures(
            *(
                max(mine, others)
                for mine, others in zip(astuple(self), astuple(other))
            )
        )


UsageByKey = dict[UsageKey, UsageFigures]
ZERO_FIGURES = UsageFigures()


@dataclass(frozen=True, slots=True)
class UsageEntry:
    """Figures of one key, as they are stored and sent."""

    key: UsageKey
    figures: UsageFigures


@dataclass(frozen=True, slots=True)
class UsageRow:
    """What one daemon counted in one window.

    :param window: name of the window.
    :param incarnation: the daemon that counted.
    :param entries: cumulative figures, sorted by key.
    """

    window: str
    incarnation: str
    entries: tuple[UsageEntry, ...]


@dataclass(frozen=True, slots=True)
class UsageReportContent:
    """A report as it is frozen.

    :param entries: sums over all daemons of what came in time.
    :param late: what came too late for the reports of earlier windows.
    :param sources: incarnations whose rows were summed up.
    """

    window: str
    entries: tuple[UsageEntry, ...]
    late: tuple[UsageRow, ...]
    sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UsageProgress:
    """Windows that are dealt with.

    :param frozen: last window whose report is frozen.
    :param sent: last window whose report was taken.
    """

    frozen: str
    sent: str


@dataclass(frozen=True, slots=True)
class FrozenReport:
    """A report on its way.

    :param window: name of the window, which is the idempotency key too.
    :param content: the frozen bytes.
    """

    window: str
    token: int
    content: bytes


def merge_entries(first: UsageByKey, second: UsageByKey) -> UsageByKey:
    """Join two readings of one daemon's counters.

    Joining is idempotent and heeds no order, so that a row may be written
    by the daemon and by its peers, however often.
    """
    return {
        key: first.get(key, ZERO_FIGURES).merge(second.get(key, ZERO_FIGURES))
        for key in first.keys() | second.keys()
    }


def add_entries(first: UsageByKey, second: UsageByKey) -> UsageByKey:
    """Add the figures of different daemons."""
    return {
        key: first.get(key, ZERO_FIGURES) + second.get(key, ZERO_FIGURES)
        for key in first.keys() | second.keys()
    }


def subtract_entries(whole: UsageByKey, part: UsageByKey) -> UsageByKey:
    """Tell what a later reading has over an earlier one."""
    rest = {
        key: figures - part.get(key, ZERO_FIGURES)
        for key, figures in whole.items()
    }
    return {
        key: figures for key, figures in rest.items() if figures != ZERO_FIGURES
    }


def list_entries(entries: UsageByKey) -> tuple[UsageEntry, ...]:
    """Sort figures, so that the same figures are the same bytes."""
    return tuple(UsageEntry(key, entries[key]) for key in sorted(entries))


def index_entries(entries: tuple[UsageEntry, ...]) -> UsageByKey:
    """Find figures by their key."""
    return {entry.key: entry.figures for entry in entries}


def name_window(time: datetime, length: timedelta) -> str:
    """Name the window that a time falls into, by its start in UTC."""
    since = time.timestamp() // length.total_seconds()
    start = datetime.fromtimestamp(since * length.total_seconds(), UTC)
    return start.strftime(WINDOW_FORMAT)


def find_window_start(window: str) -> datetime:
    """Tell when a window starts."""
    return datetime.strptime(window, WINDOW_FORMAT).replace(tzinfo=UTC)


def name_next_window(window: str, length: timedelta) -> str:
    """Name the window behind another."""
    return name_window(find_window_start(window) + length, length)
