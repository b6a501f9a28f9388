"""Tests of rows that operators, trainers and servers write."""

from __future__ import annotations

import json

import pytest
from result import Err, Ok

from quetzalcourse.platform.documents import (
    read_manifest,
    read_member,
    read_version,
)
from quetzalcourse.standins.rollout import documents
from quetzalcourse.tests.odd_entries import (
    DEEP,
    HUGE,
    ODD_ENTRIES,
    build_entry,
)


@pytest.mark.parametrize('case', sorted(ODD_ENTRIES))
def test_odd_entry_is_malformed(case: str) -> None:
    # Guards against an entry of another writer that raises in its reader, or
    # whose figures no message between daemons can hold.
    assert isinstance(read_member('i-1', ODD_ENTRIES[case]), Err)


@pytest.mark.parametrize(
    'name', ['', 'a\r\nX-Key: k', ' a', 'a ', 'i\x00', 'ж', 'a\x7f']
)
def test_server_name_has_to_fit_into_a_header(name: str) -> None:
    # Guards against an entry whose name can't be sent to its server.
    assert isinstance(read_member(name, build_entry()), Err)


@pytest.mark.parametrize(
    'address',
    [
        '',
        ':1',
        '1.2.3.4:',
        '1.2.3.4:0',
        '1.2.3.4:65536',
        'x y:1',
        '1.2.3.4/:1',
        '::1:80',
        '1.2.3.4:' + '9' * 5000,
    ],
)
def test_server_address_has_to_be_an_ip_address_with_a_port(
    address: str,
) -> None:
    # Guards against requests that are lost at an address that can't exist.
    assert isinstance(read_member('i-1', build_entry(address=address)), Err)


def test_entry_of_a_server_is_read() -> None:
    assert isinstance(read_member('i-1', build_entry()), Ok)


@pytest.mark.parametrize(
    'content',
    [
        DEEP,
        b'\xff',
        b'{"model":"m","version":"2"}',
        f'{{"model":"m","version":{HUGE}}}'.encode(),
    ],
)
def test_odd_named_version_is_malformed(content: bytes) -> None:
    # Guards against a named version that raises in its reader, or that no
    # message between daemons can hold.
    assert isinstance(read_version(content), Err)


@pytest.mark.parametrize(
    'changes',
    [
        {'routes': [documents.build_route('/a/', 'idempotent') | change]}
        for change in ({'timeout_ms': 1e300}, {'priority': HUGE})
    ]
    + [{'version': HUGE}],
)
def test_odd_manifest_is_malformed(changes: dict[str, object]) -> None:
    # Guards against a desired state that raises in its reader.
    content = json.dumps(documents.build_config() | changes)
    assert isinstance(read_manifest(content.encode()), Err)
    assert isinstance(read_manifest(DEEP), Err)
