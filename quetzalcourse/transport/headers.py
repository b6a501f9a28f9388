"""Filtering of headers and queries between callers and upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote_plus

from sanic.compat import Header

if TYPE_CHECKING:
    from collections.abc import Iterable

IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
TIMEOUT_HEADER = 'x-timeout-seconds'

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
CREDENTIAL_HEADERS = frozenset(
    (
        'authorization',
        'cookie',
        'expect',
        'host',
        'x-access-token',
        'x-api-key',
        'x-auth-token',
        TIMEOUT_HEADER,
    )
)
CREDENTIAL_PARAMETERS = frozenset(
    ('access_token', 'api_key', 'api-key', 'apikey')
)
SERVER_HEADERS = frozenset(('date', 'server', 'x-request-id'))


def is_header_value(text: str) -> bool:
    """Return whether a text can be the whole value of a header."""
    trimmed = bool(text) and text == text.strip()
    return trimmed and text.isascii() and text.isprintable()


def filter_request_headers(
    headers: Iterable[tuple[str, str]],
    secret: str,
) -> list[tuple[str, str]]:
    """Remove hop-by-hop headers and credentials from a request.

    Anyone who reads an upstream's logs could use a key that appears in them,
    so credentials never leave this process.

    :param headers: headers of the caller's request.
    :param secret: secret part of the caller's key; a header that contains
        it is removed.
    """
    pairs = [(name.lower(), text) for name, text in headers]
    dropped = HOP_BY_HOP | CREDENTIAL_HEADERS | list_connection_headers(pairs)
    return [
        (name, text)
        for name, text in pairs
        if name not in dropped and secret not in text
    ]


def filter_query(query: str, secret: str) -> str:
    """Remove credentials from a query.

    :param query: query string as sent by the caller.
    :param secret: secret part of the caller's key; a parameter that contains
        it is removed.
    """
    if not query:
        return ''
    kept = []
    for pair in query.split('&'):
        name = unquote_plus(pair.partition('=')[0]).lower()
        if name not in CREDENTIAL_PARAMETERS and secret not in unquote_plus(
            pair
        ):
            kept.append(pair)
    return '&'.join(kept)


def filter_response_headers(headers: Iterable[tuple[str, str]]) -> Header:
    """Remove hop-by-hop headers and those that the server sets itself.

    :param headers: headers of the upstream's response.
    """
    pairs = [(name.lower(), text) for name, text in headers]
    dropped = HOP_BY_HOP | SERVER_HEADERS | list_connection_headers(pairs)
    return Header([pair for pair in pairs if pair[0] not in dropped])


def list_connection_headers(pairs: Iterable[tuple[str, str]]) -> frozenset[str]:
    """List the headers that ``Connection`` names as hop-by-hop."""
    return frozenset(
        named.strip().lower()
        for name, text in pairs
        if name == 'connection'
        for named in text.split(',')
    )
