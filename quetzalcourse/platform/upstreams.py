"""How the platform's servers are spoken to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.state.batches import MILLISECOND, StreamEvent
from quetzalcourse.state.calls import ResponseMetadata, ResponseOutcome
from quetzalcourse.state.pool import LoadReport
from quetzalcourse.transport.headers import HOP_BY_HOP, list_connection_headers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.state.batches import BatchItem, ScoringCall
    from quetzalcourse.state.calls import AttemptMetadata, RequestHead

OK_FIRST = 200
OK_LAST = 299
MISDIRECTED = 421
UNPROCESSABLE = 422
SERVER_ERROR = 500
# What the system sets itself, or must not pass on.
OWN_HEADERS = frozenset(
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


class PlatformUpstreams:
    """Writes requests for servers and reads their answers."""

    def write_request(
        self,
        head: RequestHead,
        terms: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Write the headers of a client's request for a server."""
        dropped = (
            HOP_BY_HOP | OWN_HEADERS | list_connection_headers(head.headers)
        )
        kept = [pair for pair in head.headers if pair[0] not in dropped]
        return kept + _write_terms(terms)

    def write_item(
        self,
        item: BatchItem,
        host: str,
        terms: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Write the headers of an item's request for a server."""
        own = OWN_HEADERS | HOP_BY_HOP | {'host', 'x-request-id'}
        kept = [
            pair for pair in item.headers.items() if pair[0].lower() not in own
        ]
        headers = [('Host', host), ('X-Request-Id', item.id), *kept]
        return headers + _write_terms(terms)

    def write_scoring(
        self,
        call: ScoringCall,
        terms: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Write the headers of a scoring call for a server."""
        headers = [('Host', call.host), ('X-Request-Id', call.id)]
        return headers + _write_terms(terms)

    def read_response(
        self,
        request_id: str,
        status: int,
        headers: Mapping[str, str],
    ) -> ResponseMetadata:
        """Read the head of a server's answer."""
        load = read_load(headers.get('X-Server-Load', ''))
        answered = headers.get('X-Request-Id', '')
        refused = 'X-Not-Executed' in headers or status == MISDIRECTED
        if refused and answered in ('', request_id):
            return ResponseMetadata(ResponseOutcome.not_run, load)
        if answered != request_id:
            return ResponseMetadata(ResponseOutcome.foreign)
        version = headers.get('X-Weight-Versions', '')
        number = int(version) if version.isdecimal() else 0
        if OK_FIRST <= status <= OK_LAST:
            stamp = headers.get('X-Server-Stamp', '')
            return ResponseMetadata(ResponseOutcome.served, load, number, stamp)
        if status == UNPROCESSABLE:
            return ResponseMetadata(ResponseOutcome.impossible, load)
        if status == SERVER_ERROR:
            return ResponseMetadata(ResponseOutcome.failed, load)
        return ResponseMetadata(ResponseOutcome.unfinished, load)

    def read_event(self, frame: bytes) -> StreamEvent | None:
        """Read one event of a stream, ``None`` if it can't be one."""
        number = -1
        version = 0
        text: list[str] = []
        try:
            lines = frame.decode().split('\n')
        except UnicodeDecodeError:
            return None
        for line in lines:
            name, _, content = line.rstrip('\r').partition(':')
            content = content.removeprefix(' ')
            if name == 'id' and content.isdecimal():
                number = int(content)
            elif name == 'data':
                text.append(content)
            elif name == 'x-weight-versions' and content.isdecimal():
                version = int(content)
        if number < 0:
            return None
        return StreamEvent(number, '\n'.join(text), version)


def read_load(text: str) -> LoadReport | None:
    """Read a load as a server tells it: running, waiting and slots."""
    figures = text.split(',')
    try:
        running, waiting, slots = (int(figure) for figure in figures)
    except ValueError:
        return None
    return LoadReport(running, waiting, slots)


def _write_terms(terms: AttemptMetadata) -> list[tuple[str, str]]:
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
