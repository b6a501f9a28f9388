"""Request fingerprints: which requests count as repeats of each other."""

from __future__ import annotations

import pytest

from quetzalcourse.coordination.forwarding.fingerprint import (
    BODY_BYTES,
    compute_fingerprint,
)

REQUEST = ('POST', 'verse.example', '/lookup/7?shelf=2', 'desk')


@pytest.mark.parametrize('position', range(4))
def test_each_field_changes_the_fingerprint(position: int) -> None:
    """Guards against equal fingerprints for different callers or paths."""
    method, host, target, account = (
        text + 'x' * (number == position) for number, text in enumerate(REQUEST)
    )
    changed = compute_fingerprint(method, host, target, account, [b'salt'])
    assert changed != compute_fingerprint(*REQUEST, [b'salt'])


def test_field_boundaries_change_the_fingerprint() -> None:
    """Guards against a path whose end is taken for part of the next field."""
    first = compute_fingerprint('POST', 'host', '/a', 'bc', [b''])
    assert compute_fingerprint('POST', 'host', '/ab', 'c', [b'']) != first


def test_chunk_boundaries_do_not_change_the_fingerprint() -> None:
    """Guards against a repeat that is missed as it came in other chunks."""
    whole = compute_fingerprint(*REQUEST, [b'salt'])
    assert compute_fingerprint(*REQUEST, [b'sa', b'', b'lt']) == whole
    assert compute_fingerprint(*REQUEST, [b'sal']) != whole


def test_long_bodies_are_identified_by_prefix_and_length() -> None:
    """Guards against repeats with long bodies that are never recognised."""
    begin = b'x' * BODY_BYTES
    long = compute_fingerprint(*REQUEST, [begin, b'1'], len(begin) + 1)
    cut = compute_fingerprint(*REQUEST, [begin[:9], begin[9:]], len(begin) + 1)
    assert long == cut
    assert compute_fingerprint(*REQUEST, [begin], len(begin) + 2) != long
    assert compute_fingerprint(*REQUEST, [b'y' + begin], len(begin) + 1) != long
