"""Usage figures: counting, storage and reports by time window."""

from __future__ import annotations

from dataclasses import astuple, dataclass
from datetime import UTC, datetime, timedelta

WINDOW_FORMAT = '%Y%m%dT%H%M%SZ'


@dataclass(frozen=True, slots=True, order=True)
class UsageKey:
    """Key under which usage is counted.

    :param upstream_kind: kind of the upstream, with the suffix ``-cheap`` if
        it can be reclaimed.
    """

    client_account: str
    traffic_class: str
    upstream_kind: str


@dataclass(frozen=True, slots=True)
class UsageFigures:
    """Cumulative usage figures, as integers so that sums are exact.

    :param milliseconds: busy time of upstreams.
    """

    prompt_tokens: int = 0
    generated_tokens: int = 0
    requests: int = 0
    milliseconds: int = 0

    def __add__(self, other: UsageFigures) -> UsageFigures:
        """Add each figure."""
        return UsageFigures(
            *(
                left + right
                for left, right in zip(astuple(self), astuple(other))
            )
        )

    def __sub__(self, other: UsageFigures) -> UsageFigures:
        """Subtract each figure."""
        return UsageFigures(
            *(
                left - right
                for left, right in zip(astuple(self), astuple(other))
            )
        )

    def merge(self, other: UsageFigures) -> UsageFigures:
        """Take the maximum of each figure of two readings of one counter."""
        return UsageFigures(
            *(
                max(left, right)
                for left, right in zip(astuple(self), astuple(other))
            )
        )


UsageByKey = dict[UsageKey, UsageFigures]
ZERO_FIGURES = UsageFigures()


@dataclass(frozen=True, slots=True)
class UsageEntry:
    """Figures of one key, in the form that is stored and sent."""

    key: UsageKey
    figures: UsageFigures


@dataclass(frozen=True, slots=True)
class UsageRow:
    """Usage that one daemon counted in one window.

    :param window: name of the window.
    :param incarnation: run of the daemon that counted.
    :param entries: cumulative figures, sorted by key.
    """

    window: str
    incarnation: str
    entries: tuple[UsageEntry, ...]


@dataclass(frozen=True, slots=True)
class UsageReportContent:
    """Content of a frozen usage report.

    :param entries: sums of the rows of all daemons that arrived in time.
    :param late: rows that arrived too late for reports of earlier windows.
    :param sources: incarnations whose rows were added.
    """

    window: str
    entries: tuple[UsageEntry, ...]
    late: tuple[UsageRow, ...]
    sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UsageProgress:
    """Progress of the usage reports.

    :param frozen: last window whose report is frozen.
    :param sent: last window whose report was accepted.
    """

    frozen: str
    sent: str


@dataclass(frozen=True, slots=True)
class FrozenReport:
    """A frozen report that is to be sent.

    :param window: name of the window, also the idempotency key.
    :param token: fencing token of the sender's lease.
    :param content: encoded report.
    """

    window: str
    token: int
    content: bytes


def merge_entries(first: UsageByKey, second: UsageByKey) -> UsageByKey:
    """Merge two readings of one daemon's counters.

    The merge is idempotent and commutative, so that a row may be written by
    the daemon and by its peers any number of times.
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
    """Subtract an earlier reading from a later one, without zero figures."""
    differences = {
        key: figures - part.get(key, ZERO_FIGURES)
        for key, figures in whole.items()
    }
    return {
        key: figures
        for key, figures in differences.items()
        if figures != ZERO_FIGURES
    }


def list_entries(entries: UsageByKey) -> tuple[UsageEntry, ...]:
    """List figures by key, so that equal figures encode to equal bytes."""
    return tuple(UsageEntry(key, entries[key]) for key in sorted(entries))


def index_entries(entries: tuple[UsageEntry, ...]) -> UsageByKey:
    """Index figures by their key."""
    return {entry.key: entry.figures for entry in entries}


def name_window(time: datetime, length: timedelta) -> str:
    """Name the window that contains a time, by its start in UTC."""
    number = time.timestamp() // length.total_seconds()
    start = datetime.fromtimestamp(number * length.total_seconds(), UTC)
    return start.strftime(WINDOW_FORMAT)


def find_window_start(window: str) -> datetime:
    """Return the start of a window."""
    return datetime.strptime(window, WINDOW_FORMAT).replace(tzinfo=UTC)


def name_next_window(window: str, length: timedelta) -> str:
    """Name the window after another one."""
    return name_window(find_window_start(window) + length, length)
