"""Tests of the wire format between daemon, servers and clients."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.platform.callers import PlatformCallerDialect
from quetzalcourse.platform.store import pack_transaction, split_key
from quetzalcourse.platform.upstreams import PlatformUpstreamDialect, read_load
from quetzalcourse.state.batches import (
    BatchItem,
    ItemResult,
    ResultPage,
    ResultState,
    StreamEvent,
)
from quetzalcourse.state.calls import (
    ResponseOutcome,
    AttemptMetadata,
    BatchOperation,
    RequestHead,
)
from quetzalcourse.state.pool import LoadReport
from quetzalcourse.state.rows import Condition, Transaction, Write

TERMS = AttemptMetadata('i-1', 'desk', timedelta(milliseconds=1234.5))
UPSTREAMS = PlatformUpstreamDialect()
CALLERS = PlatformCallerDialect()


def build_head(target: str = '/a/', **headers: str) -> RequestHead:
    """Build the head of a request."""
    pairs = tuple(
        (name.replace('_', '-'), text) for name, text in headers.items()
    )
    return RequestHead('GET', target, 'verse.example', pairs)


@pytest.mark.parametrize(
    ('status', 'headers', 'state'),
    [
        (200, {'X-Request-Id': 'r'}, ResponseOutcome.served),
        (200, {'X-Request-Id': 'other'}, ResponseOutcome.foreign),
        (200, {}, ResponseOutcome.foreign),
        (503, {'X-Not-Executed': '1'}, ResponseOutcome.not_run),
        (
            503,
            {'X-Not-Executed': '1', 'X-Request-Id': 'r'},
            ResponseOutcome.not_run,
        ),
        (
            503,
            {'X-Not-Executed': '1', 'X-Request-Id': 'other'},
            ResponseOutcome.foreign,
        ),
        (503, {'X-Request-Id': 'r'}, ResponseOutcome.unfinished),
        (504, {'X-Request-Id': 'r'}, ResponseOutcome.unfinished),
        (502, {'X-Request-Id': 'r'}, ResponseOutcome.unfinished),
        (422, {'X-Request-Id': 'other'}, ResponseOutcome.foreign),
        (421, {}, ResponseOutcome.not_run),
        (422, {'X-Request-Id': 'r'}, ResponseOutcome.impossible),
        (500, {'X-Request-Id': 'r'}, ResponseOutcome.failed),
    ],
)
def test_response_maps_to_its_outcome(
    status: int,
    headers: dict[str, str],
    state: ResponseOutcome,
) -> None:
    # Only an explicit response of the upstream proves that a request was not
    # run. Retrying after any other would run it twice, and accepting the
    # response to another request would give it to the wrong caller.
    assert UPSTREAMS.read_response('r', status, headers).state is state


def test_key_and_hop_by_hop_headers_are_not_forwarded() -> None:
    # Anyone who reads an upstream's logs could use a forwarded key, and an
    # account that a caller sets itself would be billed.
    head = build_head(
        x_key='secret',
        x_tenant='somebody',
        x_deadline_ms='99999',
        x_expect_instance='i-9',
        connection='x-private, close',
        x_private='1',
        keep_alive='timeout=5',
        x_model='verse',
        host='verse.example',
    )
    written = UPSTREAMS.write_request(head, TERMS)
    assert written == [
        ('x-model', 'verse'),
        ('host', 'verse.example'),
        ('X-Deadline-Ms', '1234'),
        ('X-Expect-Instance', 'i-1'),
        ('X-Tenant', 'desk'),
    ]


def test_item_keeps_its_own_headers() -> None:
    """The id, the host and the request metadata are added to them."""
    item = BatchItem('i', '/a/1', {'X-Model': 'verse', 'Host': 'x'}, b'')
    written = dict(UPSTREAMS.write_item(item, 'verse.example', TERMS))
    assert written['Host'] == 'verse.example'
    assert written['X-Model'] == 'verse'
    assert written['X-Request-Id'] == 'i'


@pytest.mark.parametrize(
    ('frame', 'event'),
    [
        (b'id: 3\ndata: a b', StreamEvent(3, 'a b')),
        (b'id: 3\ndata: a\ndata: b', StreamEvent(3, 'a\nb')),
        (b'x-weight-versions: 7\nid: 1\ndata: a', StreamEvent(1, 'a', 7)),
        (b'data: a', None),
        (b'id: x\ndata: a', None),
        (b'\xff', None),
    ],
)
def test_stream_event_is_parsed(
    frame: bytes, event: StreamEvent | None
) -> None:
    """Malformed frames are not events."""
    assert UPSTREAMS.read_event(frame) == event


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        ('3,1,8', LoadReport(3, 1, 8)),
        ('3,1,8,100', LoadReport(3, 1, 8, 1.0)),
        ('3, 1, 8, 250', LoadReport(3, 1, 8, 2.5)),
        ('3,1,8,', LoadReport(3, 1, 8)),
        ('3,1,8,fast', LoadReport(3, 1, 8)),
        ('3,1,8,nan', LoadReport(3, 1, 8)),
        ('3,1,8,0', LoadReport(3, 1, 8)),
        ('3,1,8,-100', LoadReport(3, 1, 8)),
        ('3,1,8,10001', LoadReport(3, 1, 8)),
        ('3,1,8,' + '9' * 5000, LoadReport(3, 1, 8)),
        ('3,1,8,100,7', LoadReport(3, 1, 8, 1.0)),
        ('3,1,,100', None),
        ('', None),
        ('3,1', None),
        ('a,b,c', None),
    ],
)
def test_server_load_is_parsed(text: str, load: LoadReport | None) -> None:
    """A malformed figure costs the report, or only itself if optional."""
    assert read_load(text) == load


@pytest.mark.parametrize(
    ('method', 'target', 'verb'),
    [
        ('GET', '/quetzalcourse/lots/b?after=3', BatchOperation.read_results),
        ('DELETE', '/quetzalcourse/lots/b', BatchOperation.end),
        ('GET', '/quetzalcourse/items/b?id=i', BatchOperation.read_item),
        ('GET', '/lots/b', None),
    ],
)
def test_batch_call_is_recognised_by_method_and_path(
    method: str,
    target: str,
    verb: BatchOperation | None,
) -> None:
    """Requests on other paths are not batch calls."""
    head = RequestHead(method, target, 'verse.example', ())
    call = CALLERS.read_call(head)
    assert (call.verb if call else None) is verb
    if verb is BatchOperation.read_results:
        assert call is not None
        assert call.position == 3


def test_page_has_at_least_one_result_and_at_most_a_megabyte() -> None:
    # A caller reads a batch of long texts. A proxy truncates a page above the
    # limit, and a reader would poll forever if pages were empty.
    results = tuple(
        ItemResult(f'i-{n}', ResultState.completed, 'x' * 300_000, [1])
        for n in range(4)
    )
    page = CALLERS.write_page(ResultPage(4, 0, results))
    assert b'"next":1' in page
    assert len(page) < 1_000_000
    huge = (ItemResult('i', ResultState.completed, 'x' * 2_000_000, [1]),)
    assert b'"next":1' in CALLERS.write_page(ResultPage(1, 0, huge))


def test_transaction_rows_are_split_into_table_part_and_key() -> None:
    """A name within a part may contain slashes."""
    assert split_key('op//version/verse') == ('op', '', 'version/verse')
    packed = pack_transaction(
        Transaction(
            (Condition('a/p/k', 3),),
            (Write('a/p/k', b'1'), Write('b/p/l', None)),
        )
    )
    assert [row.ver for row in packed.expected] == [3]
    assert [row.value for row in packed.writes] == [b'1']
    assert [row.table for row in packed.remove] == ['b']


HUGE_NUMBERS = ['9' * 30, '9' * 5000, '-1', '٣', '1_0']


@pytest.mark.parametrize('number', HUGE_NUMBERS)
def test_huge_number_in_a_response_is_ignored(number: str) -> None:
    # Guards against a number that raises in its reader, or that no message
    # between daemons can hold.
    headers = {
        'X-Request-Id': 'r',
        'X-Weight-Versions': number,
        'X-Server-Load': f'{number},0,8',
    }
    metadata = UPSTREAMS.read_response('r', 200, headers)
    assert metadata.weight_version == 0
    assert metadata.load is None


@pytest.mark.parametrize('number', HUGE_NUMBERS)
def test_huge_number_makes_an_event_malformed(number: str) -> None:
    # Guards against an event id that can't be stored with its text.
    assert UPSTREAMS.read_event(f'id: {number}\ndata: x'.encode()) is None
    frame = f'x-weight-versions: {number}\nid: 1\ndata: x'.encode()
    event = UPSTREAMS.read_event(frame)
    assert event is not None
    assert event.weight_version == 0
