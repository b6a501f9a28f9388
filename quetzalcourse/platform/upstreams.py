"""Wire format between a daemon and the platform's servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.state.batches import MILLISECOND, StreamEvent
from quetzalcourse.state.calls import ResponseMetadata, ResponseOutcome
from quetzalcourse.state.decoding import parse_count
from quetzalcourse.state.pool import LoadReport
from quetzalcourse.transport.headers import HOP_BY_HOP, list_connection_headers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.state.batches import BatchItem, ScoringCall
    from quetzalcourse.state.calls import AttemptMetadata, RequestHead

MIN_OK = 200
MAX_OK = 299
MISDIRECTED_REQUEST = 421
UNPROCESSABLE = 422
SERVER_ERROR = 500
# Figures of a load report before the optional one.
LOAD_FIGURES = 3
# The optional figure is a percentage; anything above this is nonsense.
USUAL_PERCENT = 100
MAX_PERCENT = 10_000
# Headers that the daemon sets itself, or must not forward.
RESERVED_HEADERS = frozenset(
    (
        'content-length',
        'expect',
        'last-event-id',
        'x-deadline-ms',
        'x-expect-instance',
        'x-key',
        'x-tenant',
    )
)


class PlatformUpstreamDialect:
    """Encodes requests to servers and parses their responses."""

    def write_request(
        self,
        head: RequestHead,
        terms: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Build the headers of a client's request to a server."""
        dropped = (
            HOP_BY_HOP
            | RESERVED_HEADERS
            | list_connection_headers(head.headers)
        )
        kept = [pair for pair in head.headers if pair[0] not in dropped]
        return kept + _write_metadata(terms)

    def write_item(
        self,
        item: BatchItem,
        host: str,
        terms: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Build the headers of an item's request to a server."""
        reserved = RESERVED_HEADERS | HOP_BY_HOP | {'host', 'x-request-id'}
        kept = [
            pair
            for pair in item.headers.items()
            if pair[0].lower() not in reserved
        ]
        headers = [('Host', host), ('X-Request-Id', item.id), *kept]
        return headers + _write_metadata(terms)

    def write_scoring(
        self,
        call: ScoringCall,
        terms: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Build the headers of a scoring call to a server."""
        headers = [('Host', call.host), ('X-Request-Id', call.id)]
        return headers + _write_metadata(terms)

    def read_response(
        self,
        request_id: str,
        status: int,
        headers: Mapping[str, str],
    ) -> ResponseMetadata:
        """Parse the status and headers of a server's response."""
        load = read_load(headers.get('X-Server-Load', ''))
        answered = headers.get('X-Request-Id', '')
        refused = 'X-Not-Executed' in headers or status == MISDIRECTED_REQUEST
        if refused and answered in ('', request_id):
            return ResponseMetadata(ResponseOutcome.not_run, load)
        if answered != request_id:
            return ResponseMetadata(ResponseOutcome.foreign)
        number = parse_count(headers.get('X-Weight-Versions', '')) or 0
        if MIN_OK <= status <= MAX_OK:
            stamp = headers.get('X-Server-Stamp', '')
            return ResponseMetadata(ResponseOutcome.served, load, number, stamp)
        if status == UNPROCESSABLE:
            return ResponseMetadata(ResponseOutcome.impossible, load)
        if status == SERVER_ERROR:
            return ResponseMetadata(ResponseOutcome.failed, load)
        return ResponseMetadata(ResponseOutcome.unfinished, load)

    def read_event(self, frame: bytes) -> StreamEvent | None:
        """Parse one event of a stream, ``None`` if it is malformed."""
        number: int | None = None
        version = 0
        text: list[str] = []
        try:
            lines = frame.decode().split('\n')
        except UnicodeDecodeError:
            return None
        for line in lines:
            name, _, content = line.rstrip('\r').partition(':')
            content = content.removeprefix(' ')
            if name == 'id':
                number = parse_count(content)
            elif name == 'data':
                text.append(content)
            elif name == 'x-weight-versions':
                version = parse_count(content) or 0
        if number is None:
            return None
        return StreamEvent(number, '\n'.join(text), version)


def read_load(text: str) -> LoadReport | None:
    """Parse a server's load, ``None`` if it is malformed.

    :param text: running requests, queued requests, slots and, from some
        servers, the time that work takes now, in percent of the usual. A
        malformed percentage leaves the other figures valid, and further
        figures are ignored.
    """
    figures = text.split(',')
    counts = [
        count
        for count in map(parse_count, map(str.strip, figures[:LOAD_FIGURES]))
        if count is not None
    ]
    if len(counts) < LOAD_FIGURES:
        return None
    running, waiting, slots = counts
    optional = figures[LOAD_FIGURES:]
    slowdown = _read_slowdown(optional[0]) if optional else None
    return LoadReport(running, waiting, slots, slowdown)


def _read_slowdown(text: str) -> float | None:
    try:
        percent = int(text)
    except ValueError:
        return None
    if not 0 < percent <= MAX_PERCENT:
        return None
    return percent / USUAL_PERCENT


def _write_metadata(terms: AttemptMetadata) -> list[tuple[str, str]]:
    left = max(terms.time_left // MILLISECOND, 1)
    headers = [
        ('X-Deadline-Ms', str(left)),
        ('X-Expect-Instance', terms.upstream),
    ]
    if terms.client_account:
        headers.append(('X-Tenant', terms.client_account))
    if terms.resume_after:
        headers.append(('Last-Event-Id', terms.resume_after))
    return headers
