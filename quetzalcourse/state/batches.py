"""Batches and their items."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta

import msgspec


class ScoringCall(msgspec.Struct, frozen=True):
    """Request whose answer says how good an item's text is.

    It may be repeated, and runs for no client account.

    :param id: its request id, which its answer names.
    :param path: where it is posted, by the route of host and path.
    """

    id: str
    host: str
    path: str
    body: bytes = b''


class BatchItem(msgspec.Struct, frozen=True):
    """One item of a batch.

    :param path: where it is posted at the upstream.
    :param headers: passed on as they are.
    :param tokens: prompt tokens and the most output tokens together.
    :param group: items of one group share their prompt.
    :param scoring: call that scores its text, ``None`` if none does.
    :param length_estimate: output tokens that its caller expects, 0 if it
        does not say; right at the median, and often far off.
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

    :param route: name of the route that it came by.
    :param host: host that its items are sent with.
    :param total: how many items it has.
    :param accepted_ms: the store's clock when it was first submitted.
    :param due_ms: age at which its results are due.
    :param lifetime_ms: age after which its items may be given up.
    :param min_version: oldest weight version that may make its tokens.
    :param wanted_groups: whole groups that its caller waits for.
    :param chunks: rows that hold its items.
    :param refused: whether it stands for a refusal instead of a batch.
    :param manifest_version: routing manifest under which it was accepted;
        who knows only an older one knows nothing of its route.
    """

    id: str
    client_account: str
    route: str
    host: str
    total: int
    accepted_ms: int
    due_ms: int
    lifetime_ms: int
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
    """Which run of a daemon runs a batch.

    :param incarnation: empty once its owner has handed it over.
    :param term: grows by one with each owner.
    """

    vm: str
    incarnation: str
    term: int


class ResultState(enum.StrEnum):
    """How an item ended."""

    completed = 'completed'
    abandoned = 'abandoned'


class ItemResult(msgspec.Struct, frozen=True):
    """Result of an item, at its position for good.

    :param text: data of all events, separated by line feeds.
    :param versions: weight versions that made them, oldest first.
    :param score: what its scoring call said, empty without such a call.
    """

    id: str
    state: ResultState
    text: str = ''
    versions: list[int] = []
    score: str = ''


class PartialText(msgspec.Struct, frozen=True):
    """What upstreams have made of an unfinished item so far.

    :param item: id of the item.
    :param last_event: number of the last event of the text.
    :param whole: whether the text is whole, and only its score is missing.
    :param scoring_failures: scoring calls that were answered as failed.
    """

    item: str
    texts: list[str]
    versions: list[int]
    last_event: int
    whole: bool = False
    scoring_failures: int = 0


@dataclass(frozen=True, slots=True)
class Submission:
    """A batch as its caller sends it."""

    items: tuple[BatchItem, ...]
    model: str = ''
    step: int = 0
    min_version: int = 0
    wanted_groups: int = 0


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Part of a batch's results.

    :param position: position of the first of them.
    """

    total: int
    position: int
    results: tuple[ItemResult, ...]


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of an upstream's stream.

    :param number: grows by one with each event of an answer.
    :param weight_version: version from this event on, 0 if unchanged.
    """

    number: int
    text: str
    weight_version: int = 0


MILLISECOND = timedelta(milliseconds=1)
