"""How the platform's clients speak to a daemon."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec
from result import Err, Ok, Result

from quetzalcourse.state.batches import BatchItem, ScoringCall, Submission
from quetzalcourse.state.calls import BatchCall, BatchOperation, CallerMetadata

if TYPE_CHECKING:
    from quetzalcourse.state.batches import ResultPage
    from quetzalcourse.state.calls import RequestHead

RESULTS_PATH = '/quetzalcourse/lots/'
ITEMS_PATH = '/quetzalcourse/items/'
READY_PATH = '/quetzalcourse/ready'
# The client's estimate of an item's output tokens; `X-Token-Counts` gives no
# more than their maximum.
LENGTH_HINT = 'x-length-hint'
# An answer holds 1 MB of results at most; escaping may double a text.
PAGE_BYTES = 1_000_000


class ScorerMessage(msgspec.Struct):
    """Request that scores the text of an item."""

    id: str
    hostname: str
    path: str
    body: bytes = b''


class ItemMessage(msgspec.Struct):
    """An item; ``tokens`` counts its prompt and the most of its output."""

    id: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = {}
    tokens: int = 0
    group: str = ''
    scorer: ScorerMessage | None = None


class BatchMessage(msgspec.Struct):
    """A batch submission; ``desired_count`` counts groups."""

    requests: list[ItemMessage]
    step: int = 0
    model: str = ''
    min_version: int = 0
    desired_count: int = 0


class ResultMessage(msgspec.Struct, omit_defaults=True):
    """Result of an item; without ``score`` where nothing scored it."""

    id: str
    state: str
    text: str
    versions: list[int]
    score: str = ''


class PageMessage(msgspec.Struct):
    """Results; ``next`` is the position behind the last of them."""

    total: int
    next: int
    results: list[ResultMessage]


def read_milliseconds(text: str) -> timedelta | None:
    """Read a duration that a header gives, ``None`` if it gives none."""
    try:
        return timedelta(milliseconds=float(text))
    except (ValueError, OverflowError):
        return None


class PlatformCallers:
    """Reads requests of clients and writes what they alone understand."""

    def read_metadata(self, head: RequestHead) -> CallerMetadata:
        """Read what every request may say."""
        return CallerMetadata(
            request_id=head.find('x-request-id'),
            key=head.find('x-key'),
            time_left=read_milliseconds(head.find('x-deadline-ms')),
            resume_after=head.find('last-event-id'),
        )

    def read_call(self, head: RequestHead) -> BatchCall | None:
        """Read a call about a batch, ``None`` if it is another request."""
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
        """Read a batch that is submitted."""
        try:
            message = msgspec.json.decode(body, type=BatchMessage)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
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
        """Write results for the client, at least one and at most 1 MB."""
        shown: list[ResultMessage] = []
        size = 0
        for result in page.results:
            size += len(result.text) + len(result.id)
            if shown and size > PAGE_BYTES / 2:
                break
            shown.append(
                ResultMessage(
                    result.id,
                    result.state.value,
                    result.text,
                    result.versions,
                    result.score,
                )
            )
        return msgspec.json.encode(
            PageMessage(page.total, page.position + len(shown), shown)
        )


def _read_scorer(message: ScorerMessage | None) -> ScoringCall | None:
    if message is None:
        return None
    return ScoringCall(message.id, message.hostname, message.path, message.body)


def _read_length_hint(headers: dict[str, str]) -> int:
    for name, text in headers.items():
        if name.lower() == LENGTH_HINT and text.isdecimal():
            return int(text)
    return 0
