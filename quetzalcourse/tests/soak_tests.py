"""Tests of the fault soak: its checks on planted faults, and short runs."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import replace

import pytest

from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.cloud import UsageCall
from quetzalcourse.standins.rollout.store import StoreStandin
from quetzalcourse.standins.rollout.upstream import (
    Run,
    UpstreamStandin,
    write_text,
)
from soak.bursts import check_burst
from soak.callers import BatchRecord, RequestOutcome
from soak.checks import (
    check_batches,
    check_billing,
    check_cold_starts,
    check_ended_batches,
    check_fencing_tokens,
    check_poison,
    check_requests,
    check_slots,
    check_usage,
)
from soak.daemons import Interruption
from soak.leavers import EndedBatch
from soak.slots import read_gauge

ONCE = documents.NON_IDEMPOTENT_PREFIX
LOOKUP = documents.LOOKUP_PREFIX
SOAK_SECONDS = 120
SEED = 7


def build_run(request_id: str) -> Run:
    """Build the record of a request that ran."""
    return Run(request_id, 'u-1', 'desk', 0, 1, b'', 0, key_seen=False)


def build_record(**changes: object) -> BatchRecord:
    """Build a batch of two items whose results were all read."""
    record = BatchRecord('b-1', ['i-1', 'i-2'], 1, accepted=True)
    for position, item in enumerate(record.items):
        record.results[position] = {
            'id': item,
            'state': 'completed',
            'text': write_text(item),
            'versions': [1],
        }
    for position, result in record.results.items():
        record.results[position] = result | changes
    return record


@pytest.mark.parametrize(
    ('outcome', 'runs', 'broken'),
    [
        (RequestOutcome('r', ONCE, 200, b'answer to r'), 1, False),
        (RequestOutcome('r', ONCE, 200, b'answer to other'), 1, True),
        (RequestOutcome('r', ONCE, 502), 1, False),
        (RequestOutcome('r', ONCE, 502), 2, True),
        (RequestOutcome('r', ONCE, 503), 1, True),
        (RequestOutcome('r', ONCE, 503), 0, False),
        (RequestOutcome('r', LOOKUP, 503, b'{"code":"quarantined"}'), 0, True),
    ],
)
def test_request_checks_find_planted_faults(
    outcome: RequestOutcome,
    runs: int,
    broken: bool,
) -> None:
    """Guards against checks that never fail."""
    violations = check_requests([outcome], [build_run('r')] * runs)
    assert bool(violations) is broken


@pytest.mark.parametrize(
    ('changes', 'broken'),
    [
        ({}, False),
        ({'text': 'half'}, True),
        ({'state': 'abandoned'}, True),
        ({'versions': [0]}, True),
        ({'id': 'i-1'}, True),
    ],
)
def test_batch_checks_find_planted_faults(
    changes: dict[str, object],
    broken: bool,
) -> None:
    """Lost, duplicate, corrupt and stale items are each reported."""
    assert bool(check_batches([build_record(**changes)], [])) is broken


def test_checks_find_missing_and_changed_results() -> None:
    """The result at a position must not change or vanish after a read."""
    record = build_record()
    record.add_page(0, {'total': 2, 'results': [record.results[1]]})
    assert check_batches([record], [])
    short = build_record()
    del short.results[1]
    assert check_batches([short], [])


def test_batch_check_finds_a_run_of_a_refused_batch() -> None:
    """A refusal guarantees that no item of the batch runs."""
    record = BatchRecord('b-1', ['i-1'], 1)
    assert check_batches([record], [build_run('i-1')])
    assert not check_batches([record], [])


@pytest.mark.parametrize(
    ('began', 'broken'), [(0, False), (12, False), (14, True)]
)
def test_ended_batch_check_finds_a_late_item(
    began: float, *, broken: bool
) -> None:
    """Guards against a soak that misses items which run after their end."""
    batch = EndedBatch('ended-0', ['i-1'], accepted=True, ended_at=10)
    runs = [replace(build_run('i-1'), at=began)] if began else []
    assert bool(check_ended_batches([batch], runs, 9)) is broken
    assert not check_ended_batches([batch], runs, 12)


def test_slot_check_finds_a_slot_in_use() -> None:
    """Guards against a soak that misses lost slots."""
    page = '# HELP a b\na_b 0.0\na_b_c 3.0\n'
    assert not check_slots({'vm-0': read_gauge(page, 'a_b')})
    assert check_slots({'vm-0': read_gauge(page, 'a_b_c')})
    assert check_slots({'vm-0': read_gauge(page, 'other')})


async def test_order_and_usage_checks_find_planted_faults() -> None:
    """Two lease holders and two reports of a window are reported."""
    server = UpstreamStandin('u', 's', StoreStandin())
    server.state.order_tokens = [('vm-0', 2), ('vm-1', 1)]
    assert check_fencing_tokens([server])
    server.state.order_tokens = [('vm-0', 2), ('vm-1', 2)]
    assert check_fencing_tokens([server])
    arrived = 9.0 * documents.WINDOW_SECONDS
    first = UsageCall('a', 1, 7, {}, arrived)
    assert not check_usage([first, first])
    assert check_usage([first, UsageCall('b', 1, 7, {'d': 1}, arrived)])
    lower = UsageCall('b', 0, 8, {}, arrived)
    assert check_usage([first, lower])


@pytest.mark.parametrize(
    ('seconds_after_end', 'broken'), [(0.5, False), (-0.5, True)]
)
def test_usage_check_finds_a_window_reported_before_its_end(
    seconds_after_end: float,
    broken: bool,
) -> None:
    """A wall clock that is ahead closes windows too early."""
    arrived = 8 * documents.WINDOW_SECONDS + seconds_after_end
    report = UsageCall('a', 1, 7, {}, arrived)
    assert bool(check_usage([report])) is broken


def test_cold_start_check_finds_a_crash() -> None:
    """Guards against a soak that misses overloaded cold servers."""
    server = UpstreamStandin('u', 's', StoreStandin())
    assert not check_cold_starts([server])
    server.cold.crashed = True
    assert check_cold_starts([server])


@pytest.mark.parametrize(
    ('crashes_at_rest', 'final_crashes', 'broken'),
    [(3, 3, False), (0, 3, False), (5, 5, False), (3, 4, True), (13, 13, True)],
)
def test_poison_check_finds_planted_crashes(
    crashes_at_rest: int,
    final_crashes: int,
    broken: bool,
) -> None:
    """Guards against a soak that misses crashes of servers."""
    violations = check_poison(
        {LOOKUP: crashes_at_rest}, {LOOKUP: final_crashes}, 4
    )
    assert bool(violations) is broken


@pytest.mark.parametrize(
    ('reported', 'seconds_until_kill', 'broken'),
    [(10, 60, False), (9, 60, True), (0, 60, True), (0, 1, False)],
)
def test_billing_check_finds_requests_that_were_not_reported(
    reported: int,
    seconds_until_kill: float,
    broken: bool,
) -> None:
    """Guards against usage that is billed as nothing."""
    answered = 7.5 * documents.WINDOW_SECONDS
    sent = answered - 0.1
    outcomes = [RequestOutcome('r', LOOKUP, 200, b'', sent, answered)] * 10
    reports = [UsageCall('a', 1, 7, {'desk': reported})]
    killed = answered + seconds_until_kill
    interruptions = [Interruption(killed, killed)]
    assert bool(check_billing(reports, outcomes, interruptions)) is broken


def test_billing_check_leaves_out_requests_of_two_windows() -> None:
    """Guards against a caller that is slow on an overloaded machine."""
    answered = 7.5 * documents.WINDOW_SECONDS
    sent = answered - documents.WINDOW_SECONDS
    outcome = RequestOutcome('r', LOOKUP, 200, b'', sent, answered)
    assert not check_billing([UsageCall('a', 1, 7, {})], [outcome], [])


@pytest.mark.parametrize(
    'options', [(), ('--places',), ('--poison',), ('--foreign',), ('--leave',)]
)
async def test_short_soak_finds_no_fault(options: tuple[str, ...]) -> None:
    # Daemons are killed, stopped and paused, and links, store and servers fail
    # at overlapping times. Callers must see no more than a retry.
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'soak',
        '--seeds',
        str(SEED),
        '--seconds',
        '6',
        '--daemons',
        '3',
        *options,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    async with asyncio.timeout(SOAK_SECONDS):
        output, _ = await process.communicate()
    assert process.returncode == 0, output.decode()


@pytest.mark.parametrize(
    ('refusals', 'served', 'broken'),
    [
        (10, {'burst-0': 60, 'burst-1': 15}, False),
        (400, {'burst-0': 60, 'burst-1': 15}, True),
        (10, {'burst-0': 90, 'burst-1': 2}, True),
    ],
)
def test_bursts_are_checked(
    refusals: int, served: dict[str, int], *, broken: bool
) -> None:
    # Servers are overfilled all the time, or one account takes all slots.
    violations = check_burst(
        {'refusals': 5, 'runs': 50},
        {'refusals': 5 + refusals, 'runs': 150},
        {'burst-0': 120, 'burst-1': 20},
        served,
    )
    assert bool(violations) == broken
