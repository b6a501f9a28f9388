"""Fingerprints: which requests count as repeats of one another."""

from __future__ import annotations

import pytest

from quetzalcourse.coordination.forwarding.fingerprint import (
    BODY_BYTES,
    compute_fingerprint,
)

REQUEST = ('POST', 'verse.example', '/lookup/7?shelf=2', 'desk')


@pytest.mark.parametrize('position', range(4))
def test_each_field_tells_requests_apart(position: int) -> None:
    """Guards against requests of different callers or paths that mix."""
    method, host, target, account = (
        text + 'x' * (number == position) for number, text in enumerate(REQUEST)
    )
    changed = compute_fingerprint(method, host, target, account, [b'salt'])
    assert changed != compute_fingerprint(*REQUEST, [b'salt'])


def test_fields_do_not_run_into_each_other() -> None:
    """Guards against a path whose end passes for the next field."""
    first = compute_fingerprint('POST', 'host', '/a', 'bc', [b''])
    assert compute_fingerprint('POST', 'host', '/ab', 'c', [b'']) != first


def test_pieces_of_a_body_do_not_matter() -> None:
    """Guards against a repeat that is missed since it came in other pieces."""
    whole = compute_fingerprint(*REQUEST, [b'salt'])
    assert compute_fingerprint(*REQUEST, [b'sa', b'', b'lt']) == whole
    assert compute_fingerprint(*REQUEST, [b'sal']) != whole


def test_long_bodies_are_told_apart_by_beginning_and_length() -> None:
    """Guards against long bodies that are never known again."""
    begin = b'x' * BODY_BYTES
    long = compute_fingerprint(*REQUEST, [begin, b'1'], len(begin) + 1)
    cut = compute_fingerprint(*REQUEST, [begin[:9], begin[9:]], len(begin) + 1)
    assert long == cut
    assert compute_fingerprint(*REQUEST, [begin], len(begin) + 2) != long
    assert compute_fingerprint(*REQUEST, [b'y' + begin], len(begin) + 1) != long
