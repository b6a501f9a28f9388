"""Batches, their items and their results."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from quetzalcourse.state.decoding import MillisecondCount


class ScoringCall(msgspec.Struct, frozen=True):
    """Request whose response scores an item's text.

    It may be repeated, and runs for no client account.

    :param id: its request id, which the response repeats.
    :param path: path of the POST request; host and path select the route.
    """

    id: str
    host: str
    path: str
    body: bytes = b''


class BatchItem(msgspec.Struct, frozen=True):
    """One item of a batch.

    :param path: path of the POST request at the upstream.
    :param headers: forwarded unchanged.
    :param tokens: prompt tokens plus the maximum of output tokens.
    :param group: items of one group share their prompt.
    :param scoring: call that scores its text, ``None`` if it is not scored.
    :param length_estimate: output tokens that its caller expects, 0 if not
        given; right at the median, but often far off.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    group: str = ''
    scoring: ScoringCall | None = None
    length_estimate: int = 0


class BatchHead(msgspec.Struct, frozen=True):
    """A batch without its items.

    :param route: name of the route that accepted it.
    :param host: host header of its items.
    :param total: number of items.
    :param accepted_ms: store time of its first submission.
    :param due_ms: age at which its results are due.
    :param lifetime_ms: age after which its items may be abandoned.
    :param min_version: oldest weight version that may generate its tokens.
    :param wanted_groups: number of complete groups that its caller waits for.
    :param single_version: whether an item must not mix weight versions.
    :param max_attempts: most upstreams that an item is sent to.
    :param chunks: number of rows that store its items.
    :param refused: whether it records a refusal instead of a batch.
    :param manifest_version: routing manifest under which it was accepted;
        a daemon with an older manifest may not have its route.
    """

    id: str
    client_account: str
    route: str
    host: str
    total: int
    accepted_ms: MillisecondCount
    due_ms: MillisecondCount
    lifetime_ms: MillisecondCount
    model: str = ''
    step: int = 0
    min_version: int = 0
    wanted_groups: int = 0
    single_version: bool = False
    max_attempts: int = 1
    chunks: int = 1
    refused: bool = False
    manifest_version: int = 0


class Ownership(msgspec.Struct, frozen=True):
    """The daemon that owns a batch.

    :param incarnation: run of the daemon, empty once it has handed the batch
        over.
    :param term: incremented with each owner.
    """

    vm: str
    incarnation: str
    term: int


class ResultState(enum.StrEnum):
    """Final state of an item."""

    completed = 'completed'
    abandoned = 'abandoned'


class ItemResult(msgspec.Struct, frozen=True):
    """Final result of an item; its position in the batch never changes.

    :param text: data of all events, separated by line feeds.
    :param versions: weight versions that generated it, oldest first.
    :param score: response of its scoring call, empty without such a call.
    """

    id: str
    state: ResultState
    text: str = ''
    versions: list[int] = []
    score: str = ''


class PartialText(msgspec.Struct, frozen=True):
    """Text generated so far for an unfinished item.

    :param item: id of the item.
    :param texts: data of the events, in order.
    :param versions: weight versions that generated it, oldest first.
    :param last_event: number of the last event of the text.
    :param whole: whether the text is complete and only its score is missing.
    :param scoring_failures: scoring calls that returned a failure.
    """

    item: str
    texts: list[str]
    versions: list[int]
    last_event: int
    whole: bool = False
    scoring_failures: int = 0


@dataclass(frozen=True, slots=True)
class Submission:
    """A batch as submitted by its caller."""

    items: tuple[BatchItem, ...]
    model: str = ''
    step: int = 0
    min_version: int = 0
    wanted_groups: int = 0


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Page of a batch's results.

    :param total: number of items of the batch.
    :param position: position of the first result of the page.
    """

    total: int
    position: int
    results: tuple[ItemResult, ...]


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of an upstream's stream.

    :param number: sequence number of the event within its response.
    :param weight_version: weight version from this event on, 0 if unchanged.
    """

    number: int
    text: str
    weight_version: int = 0


MILLISECOND = timedelta(milliseconds=1)
