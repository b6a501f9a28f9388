"""Rows of another writer, and servers whose responses are broken."""

from __future__ import annotations

from quetzalcourse.standins.raw_server import REQUEST_ID, RawResponse
from quetzalcourse.standins.rollout import documents

DEEP_LEVELS = 20_000
HUGE = b'9' * 30
ENTRY = (
    b'{"service":"%b","address":"127.0.0.1:9","zone":"hall-a",'
    b'"slots":%b,"state":"%b","cold_remaining_ms":%b}'
)
# Content of the rows, none of which any reader can use.
ODD_CONTENTS = (
    b'',
    b'\xff\x00',
    b'[' * DEEP_LEVELS + b']' * DEEP_LEVELS,
    b'{"service":' + b'[' * DEEP_LEVELS,
    ENTRY % (documents.ENGINES.encode(), HUGE, b'ready', b'0'),
    ENTRY % (documents.CATALOGUE.encode(), b'8', b'sleeping', b'0'),
    ENTRY % (documents.CATALOGUE.encode(), b'8', b'ready', b'1e300'),
)
# Table and part; the rows have names of their own.
ODD_PLACES = (
    ('servers', ''),
    ('op', ''),
    ('members', 'hall-a'),
    ('batches', 'odd'),
    ('quarantine', ''),
)
HEAD = (
    b'HTTP/1.1 %b OK\r\nX-Request-Id: ' + REQUEST_ID + b'\r\n'
    b'X-Server-Stamp: odd\r\n'
)
BROKEN_RESPONSES = (
    RawResponse(HEAD % b'200' + b'\r\npart', reset=True),
    RawResponse(HEAD % b'000' + b'Content-Length: 2\r\n\r\nhi'),
    RawResponse(HEAD % b'600' + b'Content-Length: 2\r\n\r\nhi'),
    RawResponse(HEAD % b'200' + b' Content-Length: 1\r\n\r\nhi'),
    RawResponse(HEAD % b'200' + b'X\x01Y: 1\r\nContent-Length: 2\r\n\r\nhi'),
    RawResponse(HEAD % b'200' + b'X: ', b'x' * 9999),
    RawResponse(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 99),
    RawResponse(
        HEAD % b'200' + b'Content-Type: text/event-stream\r\n\r\n',
        b'x' * 9999,
        pace_seconds=0.01,
    ),
)
