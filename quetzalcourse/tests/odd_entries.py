"""Registrations of servers that another writer made unusable."""

from __future__ import annotations

import json
from typing import Any

from quetzalcourse.standins.rollout import documents

DEEP_LEVELS = 20_000
HUGE = 10**30


def build_entry(**changes: Any) -> bytes:
    """Build the registration of a server with odd fields."""
    entry = {
        'service': documents.ENGINES,
        'address': '127.0.0.1:9',
        'zone': 'hall-a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'seq': 0,
        'born': 1,
        'models': [{'name': documents.MODEL, 'version': 1}],
    }
    return json.dumps(entry | changes).encode()


DEEP = b'{"service":' + b'[' * DEEP_LEVELS + b']' * DEEP_LEVELS + b'}'
# Well-formed apart from a field that no reader needs.
DEEP_EXTRA = build_entry()[:-1] + b',"x":' + DEEP + b'}'
ODD_ENTRIES = {
    'deep': DEEP,
    'deep extra field': DEEP_EXTRA,
    'not text': b'\xff\x00\xfe',
    'huge slots': build_entry(slots=HUGE),
    'huge start': build_entry(born=HUGE),
    'huge version': build_entry(
        models=[{'name': documents.MODEL, 'version': HUGE}]
    ),
    'endless cold start': build_entry(cold_remaining_ms=1e300),
    'endless notice': build_entry(leaves_ms=-1e300),
    'slots as text': build_entry(slots='8'),
    'other state': build_entry(state='sleeping'),
    'no port': build_entry(address='127.0.0.1'),
    'port out of range': build_entry(address='127.0.0.1:65536'),
    'huge port': build_entry(address=f'127.0.0.1:{"9" * 5000}'),
    'negative port': build_entry(address='127.0.0.1:-1'),
    'port of another script': build_entry(address='127.0.0.1:\u0669'),
    'number beyond a float': build_entry(cold_remaining_ms=0).replace(
        b'"cold_remaining_ms": 0', b'"cold_remaining_ms": 1e999'
    ),
}
