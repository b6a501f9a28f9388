"""Sample documents of the platform and its operators, for tests."""

from __future__ import annotations

import random
from typing import Any

from quetzalcourse.standins.rollout.ports import PortReservations

HOST = 'verse.example'
# Data centre of the first servers.
DATA_CENTRE = 'hall-a'
MODEL = 'verse'
ENGINES = 'verse-models'
CATALOGUE = 'catalogue-app'
BATCH_PREFIX = '/drill/'
LOOKUP_PREFIX = '/lookup/'
NON_IDEMPOTENT_PREFIX = '/once/'
PUBLIC_PREFIX = '/open/'
STREAM_PREFIX = '/stream/'
NON_RESUMABLE_PREFIX = '/bound/'
SCORING_PREFIX = '/scoring/'
KEY = 'key-of-the-desk'
# Requests a second that a server can take during its cold start.
COLD_SECONDS = 2.0
COLD_RATE = 9
OTHER_KEY = 'key-of-another'
ACCOUNT = 'desk'
OTHER_ACCOUNT = 'another'
# Below the range of ephemeral ports.
PORT_RANGE = (15_000, 32_000)
# Ports assigned to daemons, which may not listen on them yet.
ALLOCATED_PORTS: set[int] = set()
PORT_RESERVATIONS = PortReservations()


def build_route(prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Build a route."""
    route: dict[str, Any] = {
        'name': f'r-{prefix.strip("/")}',
        'hostname': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 1000,
        'target_latency_ms': 200,
        'priority': 1,
        'service': CATALOGUE,
        'max_attempts': 2,
        'public': False,
    }
    return route | changes


def build_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Build a configuration with a route of each kind."""
    config: dict[str, Any] = {
        'version': version,
        'routes': [
            build_route(LOOKUP_PREFIX, 'idempotent'),
            build_route(NON_IDEMPOTENT_PREFIX, 'non_idempotent'),
            build_route(SCORING_PREFIX, 'idempotent'),
            build_route(PUBLIC_PREFIX, 'idempotent', public=True),
            build_route(
                STREAM_PREFIX,
                'non_idempotent',
                service=ENGINES,
                streaming=True,
                resumable=True,
                max_attempts=3,
            ),
            build_route(
                NON_RESUMABLE_PREFIX,
                'non_idempotent',
                service=ENGINES,
                streaming=True,
            ),
            build_route(
                BATCH_PREFIX,
                'rollout',
                service=ENGINES,
                max_attempts=3,
                item_ttl_s=20.0,
                result_due_ms=7500,
                resumable=True,
            ),
        ],
        'services': [
            {
                'name': CATALOGUE,
                'health_path': '/health',
                'max_conns': 96,
                'cold_start_s': COLD_SECONDS,
                'cold_per_s': COLD_RATE,
            },
            {
                'name': ENGINES,
                'health_path': '/health',
                'max_conns': 150,
                'cold_start_s': COLD_SECONDS,
                'cold_per_s': COLD_RATE,
                'engine': {'slots': 8, 'models': [{'name': MODEL}]},
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1_000_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {'name': ACCOUNT, 'api_keys': [KEY], 'priority': 1},
            {'name': OTHER_ACCOUNT, 'api_keys': [OTHER_KEY]},
        ],
    }
    return config | changes


# Time after which the platform kills a process that it stops.
GRACE_SECONDS = 4
# Length of a usage window.
WINDOW_SECONDS = 2


def allocate_ports(count: int) -> list[int]:
    """Allocate loopback ports that stay free while the daemon does not listen.

    Other processes do not allocate them while this one runs. The kernel gives
    outgoing connections ephemeral ports; a port of that range could be taken
    between this check and the daemon's start.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        if port not in ALLOCATED_PORTS and PORT_RESERVATIONS.reserve(port):
            ALLOCATED_PORTS.add(port)
            found.append(port)
    return found


def build_settings(
    name: str,
    store: str,
    cloud: str,
    zone: str = 'hall-a',
    regions: dict[str, str] | None = None,
) -> dict[str, Any]:
    """Build the settings of a daemon on free loopback ports."""
    front, ready, peers, metrics = allocate_ports(4)
    return {
        'node_name': name,
        'ip': '127.0.0.1',
        'zone': zone,
        'zones': regions or {},
        'listen': {
            'front': f'127.0.0.1:{front}',
            'ready': f'127.0.0.1:{ready}',
        },
        'internal_ports': [peers, peers],
        'metrics_port': metrics,
        'platform': {'address': store, 'row_bytes': 65536},
        'cloud': {'address': cloud, 'duties': ['usage'], 'duty_per_s': 50.0},
        'bounds': {
            'grace_s': GRACE_SECONDS,
            'lease_ms': 3000,
            'report_window_s': WINDOW_SECONDS,
            'usage_late_s': 10,
            'status_s': 120,
            'settle_ms': 1000,
            'cold_overage': 1.0,
            'cold_slack': 0,
        },
        'unknown_field': True,
    }
