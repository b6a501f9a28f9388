"""Wire format between the platform's clients and a daemon."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec
from result import Err, Ok, Result

from quetzalcourse.state.batches import BatchItem, ScoringCall, Submission
from quetzalcourse.state.calls import BatchCall, BatchOperation, CallerMetadata
from quetzalcourse.state.decoding import (
    Int64,
    MalformedMessageError,
    decode_json,
    parse_count,
)

if TYPE_CHECKING:
    from quetzalcourse.state.batches import ResultPage
    from quetzalcourse.state.calls import RequestHead

RESULTS_PATH = '/quetzalcourse/lots/'
ITEMS_PATH = '/quetzalcourse/items/'
READY_PATH = '/quetzalcourse/ready'
# Carries the client's estimate of an item's output tokens, of which
# `X-Token-Counts` gives only the maximum.
LENGTH_HINT_HEADER = 'x-length-hint'
# Tokens; durations predicted from longer ones would overflow.
MAX_LENGTH_HINT = 10_000_000
# A response holds at most 1 MB of results; escaping may double their texts.
MAX_PAGE_BYTES = 1_000_000
# Longer durations of callers would overflow when they are added up.
MAX_DURATION = timedelta(days=1)


class ScorerMessage(msgspec.Struct):
    """Call that scores the text of an item."""

    id: str
    hostname: str
    path: str
    body: bytes = b''


class ItemMessage(msgspec.Struct):
    """An item; ``tokens`` is its prompt plus the maximum of its output."""

    id: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = {}
    tokens: Int64 = 0
    group: str = ''
    scorer: ScorerMessage | None = None


class BatchMessage(msgspec.Struct):
    """A batch submission; ``desired_count`` counts groups."""

    requests: list[ItemMessage]
    step: Int64 = 0
    model: str = ''
    min_version: Int64 = 0
    desired_count: Int64 = 0


class ResultMessage(msgspec.Struct, omit_defaults=True):
    """Result of an item; ``score`` is omitted if it was not scored."""

    id: str
    state: str
    text: str
    versions: list[int]
    score: str = ''


class PageMessage(msgspec.Struct):
    """Page of results; ``next`` is the position after the last one."""

    total: int
    next: int
    results: list[ResultMessage]


def read_milliseconds(text: str) -> timedelta | None:
    """Parse a header's duration, ``None`` if it is missing or invalid."""
    try:
        duration = timedelta(milliseconds=float(text))
    except (ValueError, OverflowError):
        return None
    return min(duration, MAX_DURATION)


class PlatformCallerDialect:
    """Parses requests of the platform's clients and encodes results."""

    def read_metadata(self, head: RequestHead) -> CallerMetadata:
        """Parse the headers that any request may have."""
        return CallerMetadata(
            request_id=head.find('x-request-id'),
            key=head.find('x-key'),
            time_left=read_milliseconds(head.find('x-deadline-ms')),
            resume_after=head.find('last-event-id'),
        )

    def read_call(self, head: RequestHead) -> BatchCall | None:
        """Parse a call on a batch, ``None`` if it is another request."""
        path, _, query = head.target.partition('?')
        fields = parse_qs(query, keep_blank_values=True)
        if path.startswith(RESULTS_PATH):
            batch = path.removeprefix(RESULTS_PATH)
            if head.method == 'DELETE':
                return BatchCall(BatchOperation.end, batch)
            wait = read_milliseconds(head.find('x-wait-ms'))
            return BatchCall(
                BatchOperation.read_results,
                batch,
                position=max(int(fields.get('after', ['0'])[0]), 0),
                wait=wait or timedelta(0),
            )
        if path.startswith(ITEMS_PATH):
            return BatchCall(
                BatchOperation.read_item,
                path.removeprefix(ITEMS_PATH),
                item=fields.get('id', [''])[0],
            )
        return None

    def read_submission(self, body: bytes) -> Result[Submission, str]:
        """Parse a batch submission."""
        try:
            message = decode_json(body, BatchMessage)
        except MalformedMessageError as error:
            return Err(str(error))
        items = tuple(
            BatchItem(
                item.id,
                item.path,
                item.headers,
                item.body,
                item.tokens,
                item.group,
                _read_scorer(item.scorer),
                _read_length_hint(item.headers),
            )
            for item in message.requests
        )
        return Ok(
            Submission(
                items,
                message.model,
                message.step,
                message.min_version,
                message.desired_count,
            )
        )

    def write_page(self, page: ResultPage) -> bytes:
        """Encode at least one result and at most 1 MB of them."""
        messages: list[ResultMessage] = []
        size = 0
        for result in page.results:
            size += len(result.text) + len(result.id)
            if messages and size > MAX_PAGE_BYTES / 2:
                break
            messages.append(
                ResultMessage(
                    result.id,
                    result.state.value,
                    result.text,
                    result.versions,
                    result.score,
                )
            )
        return msgspec.json.encode(
            PageMessage(page.total, page.position + len(messages), messages)
        )


def _read_scorer(message: ScorerMessage | None) -> ScoringCall | None:
    if message is None:
        return None
    return ScoringCall(message.id, message.hostname, message.path, message.body)


def _read_length_hint(headers: dict[str, str]) -> int:
    for name, text in headers.items():
        if name.lower() == LENGTH_HINT_HEADER:
            return min(parse_count(text) or 0, MAX_LENGTH_HINT)
    return 0
