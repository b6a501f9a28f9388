"""Writes the table of docs/CAPACITY.md from the measured figures."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from bench.slopes import fit_slope

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).parents[1]
RESULTS = ROOT / 'bench' / 'results.json'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
BEGIN = '<!-- table from bench/results.json: make capacity -->'
END = '<!-- end of the table -->'
HEADER = (
    '| role | what | at that size | limit | share | worked out from |\n'
    '| --- | --- | --- | --- | --- | --- |'
)
MEGABYTE = 1024 * 1024

DAEMONS = 350
DATA_CENTRES = 7
NEAR_DAEMONS = DAEMONS // DATA_CENTRES
UPSTREAMS = 890
REQUESTS_PER_S = 16_000
TOKENS_PER_S = 4_200_000
TRAINERS = 3
CLIENT_ACCOUNTS = 200
KEYS = 2_000
LINKS = 2 * NEAR_DAEMONS
CHANGES_PER_DAY = 3_000
SECONDS_PER_DAY = 86_400

CONTROL_CORE = 0.037
CONTROL_MEGABYTES = 64
CONTROL_BYTES = 12_000
STORE_WRITES = 400
STORE_READS = 2_000
SIZES = (9, 25, 50)
# Limit of the queue of a service, as in service_admission.py.
MAX_WAITING = 1024


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table.

    :param compute: takes the figures and gives the cost at the size.
    :param limit: what it may be, 0 if nothing bounds it.
    :param source: formula, in the names of the figures.
    """

    role: str
    what: str
    unit: str
    limit: float
    compute: Callable[[dict[str, float]], float]
    source: str


def extend(figures: dict[str, float], name: str, size: int) -> float:
    """Follow a figure measured at :data:`SIZES` to another size."""
    costs = [figures[f'{name}_{measured}'] for measured in SIZES]
    slope = fit_slope(SIZES, costs)
    return slope.start + slope.each * size


def sum_memory(figures: dict[str, float]) -> float:
    """Add up what grows with the size, in megabytes."""
    grown = (
        KEYS * figures['memory_per_key_bytes']
        + CLIENT_ACCOUNTS * figures['memory_per_account_bytes']
        + UPSTREAMS * figures['memory_per_upstream_bytes']
        + LINKS * figures['memory_per_peer_socket_bytes']
    )
    return grown / MEGABYTE


def sum_bytes(figures: dict[str, float]) -> float:
    """Add up the control messages of the busiest daemon."""
    heartbeats = extend(figures, 'control_bytes_per_s', NEAR_DAEMONS)
    return heartbeats + figures['slot_bytes_per_s']


def sum_core(figures: dict[str, float]) -> float:
    """Add up the processor share of control."""
    rest = extend(figures, 'control_cpu_share', NEAR_DAEMONS)
    return rest + figures['slot_cpu_share']


def pass_tokens(figures: dict[str, float]) -> float:
    """Tell the cores that a daemon needs to pass its share of tokens."""
    tokens = TOKENS_PER_S / DAEMONS / figures['tokens_per_core_s']
    requests = REQUESTS_PER_S / DAEMONS
    return tokens + requests * figures['processor_us_per_request'] / 1e6


ROWS = (
    Row(
        'daemon at rest',
        'memory of interpreter, libraries and idle daemon',
        'MB',
        CONTROL_MEGABYTES,
        lambda figures: figures['resident_at_rest_mb'],
        '`resident_at_rest_mb`',
    ),
    Row(
        'manifest and key follower',
        'memory that grows with the size',
        'MB',
        CONTROL_MEGABYTES,
        sum_memory,
        f'{KEYS} × `memory_per_key_bytes` + {CLIENT_ACCOUNTS} × '
        f'`memory_per_account_bytes` + {UPSTREAMS} × '
        f'`memory_per_upstream_bytes` + {LINKS} × '
        '`memory_per_peer_socket_bytes`',
    ),
    Row(
        'manifest and key follower',
        'manifest in force everywhere',
        's at p99',
        12,
        lambda figures: extend(figures, 'manifest_in_force_s', DAEMONS),
        f'`manifest_in_force_s` at {SIZES}, line to {DAEMONS}',
    ),
    Row(
        'manifest and key follower',
        'reads of the store for manifest and keys',
        'reads/s',
        STORE_READS,
        lambda figures: figures['store_reads_per_s_50'] * DATA_CENTRES / 3,
        f'`store_reads_per_s_50` at 3 data centres × {DATA_CENTRES} / 3',
    ),
    Row(
        'queue of forwarded requests',
        'processor time for its share of the requests, all of them waiting',
        'cores',
        CONTROL_CORE,
        lambda figures: (
            REQUESTS_PER_S / DAEMONS / figures['admission_decisions_per_s']
        ),
        f'{REQUESTS_PER_S} / {DAEMONS} / `admission_decisions_per_s`',
    ),
    Row(
        'queue of forwarded requests',
        'memory of a full queue',
        'MB',
        CONTROL_MEGABYTES,
        lambda figures: (
            MAX_WAITING * figures['admission_bytes_per_waiting'] / MEGABYTE
        ),
        f'{MAX_WAITING} × `admission_bytes_per_waiting`',
    ),
    Row(
        'all control',
        'messages of the busiest daemon',
        'bytes/s',
        CONTROL_BYTES,
        sum_bytes,
        f'`control_bytes_per_s` at {SIZES}, line to {NEAR_DAEMONS} a data '
        'centre, + `slot_bytes_per_s`',
    ),
    Row(
        'all control',
        'processor share',
        'of a core',
        CONTROL_CORE,
        sum_core,
        f'`control_cpu_share` at {SIZES}, line to {NEAR_DAEMONS}, + '
        '`slot_cpu_share`',
    ),
    Row(
        'upstream owner',
        'messages of slots, in and out',
        'bytes/s',
        CONTROL_BYTES,
        lambda figures: figures['slot_bytes_per_s'],
        '`slot_bytes_per_s` at 50 daemons a data centre',
    ),
    Row(
        'entry for requests',
        'processor for its share of tokens and requests',
        'cores',
        1,
        pass_tokens,
        f'{TOKENS_PER_S} / {DAEMONS} / `tokens_per_core_s` + '
        f'{REQUESTS_PER_S} / {DAEMONS} × `processor_us_per_request`',
    ),
    Row(
        'entry for requests',
        'requests for the reports of engines',
        'requests/s',
        40,
        lambda figures: figures['engine_requests_per_s'],
        '`engine_requests_per_s` at 890 engines; the limit is what 12 KB/s '
        'carry at 300 bytes',
    ),
    Row(
        'step runner',
        'writes of the store',
        'writes/s',
        STORE_WRITES,
        lambda figures: figures['store_writes_per_second'],
        f'`store_writes_per_second` at {TRAINERS} trainers',
    ),
    Row(
        'step runner',
        'reads of the store while steps run',
        'reads/s',
        STORE_READS,
        lambda figures: TRAINERS * figures['step_watch_reads_per_s'],
        f'{TRAINERS} × `step_watch_reads_per_s`',
    ),
    Row(
        'orders holder of a data centre',
        'new weights on all engines',
        's',
        31,
        lambda figures: figures['version_spread_s'],
        '`version_spread_s` at 890 engines',
    ),
    Row(
        'orders and usage holders',
        'requests to the store',
        'requests/s',
        STORE_READS,
        lambda figures: (
            figures['lease_store_requests_per_s']
            + figures['lease_store_requests_slope'] * (DAEMONS - 9)
        ),
        '`lease_store_requests_per_s` + `lease_store_requests_slope` × 341',
    ),
    Row(
        'every daemon',
        'writes of service-level sums',
        'writes/s',
        STORE_WRITES,
        lambda _: DAEMONS / 600,
        f'{DAEMONS} / 600 s',
    ),
    Row(
        'operators',
        'accepted manifests and keys',
        'writes/s',
        STORE_WRITES,
        lambda _: CHANGES_PER_DAY / SECONDS_PER_DAY,
        f'{CHANGES_PER_DAY} a day',
    ),
)


def render_table(figures: dict[str, float]) -> str:
    """Write the table.

    :param figures: value by name of the figure.
    """
    lines = [HEADER]
    lines.extend(render_row(row, figures) for row in ROWS)
    return '\n'.join(lines)


def render_row(row: Row, figures: dict[str, float]) -> str:
    """Write one line; a figure that is missing is said so."""
    try:
        cost = row.compute(figures)
    except KeyError as missing:
        cells = ('not measured', f'{row.limit:g}', '-', f'lacks {missing}')
        return f'| {row.role} | {row.what} | {" | ".join(cells)} |'
    share = f'{cost / row.limit:.0%}'
    return (
        f'| {row.role} | {row.what} | {cost:.3g} {row.unit} '
        f'| {row.limit:g} | {share} | {row.source} |'
    )


def load_figures() -> dict[str, float]:
    """Read the measured figures."""
    results = json.loads(RESULTS.read_text())
    return {name: entry['value'] for name, entry in results.items()}


def replace_table(page: str, table: str) -> str:
    """Put a table in the place of the one on the page."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f'{before}{BEGIN}\n\n{table}\n\n{END}{after}'


def main() -> None:
    """Write the table into the page."""
    table = render_table(load_figures())
    PAGE.write_text(replace_table(PAGE.read_text(), table))


if __name__ == '__main__':
    main()
