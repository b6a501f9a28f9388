"""Crash records: which requests are quarantined, and for how long."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.quarantine import records as limits
from quetzalcourse.coordination.quarantine.records import QuarantineRecords
from quetzalcourse.state.quarantine import RequestState, UpstreamRun
from quetzalcourse.tests.clocks import FakeClock

SECOND = timedelta(seconds=1)


def build() -> tuple[QuarantineRecords, FakeClock]:
    """Build empty records and their clock."""
    clock = FakeClock()
    return QuarantineRecords(clock), clock


def crash(records: QuarantineRecords, count: int, name: str = 'f') -> None:
    """Crash and restart a number of upstreams under a request."""
    for number in range(count):
        crash_one(records, (f'u-{number}', 1), name)


def crash_one(
    records: QuarantineRecords, run: UpstreamRun, name: str = 'f'
) -> None:
    """Crash and restart an upstream under a request."""
    upstream, started = run
    records.on_crash(name, run, upstream)
    records.on_restart((upstream, started + 1), upstream)


def test_third_crash_quarantines() -> None:
    """Guards against a request that reaches a fourth upstream."""
    records, _ = build()
    states = []
    for number in range(4):
        states.append(records.find_state('f'))
        crash_one(records, (f'u-{number}', 1))
    assert states == [
        RequestState.sound,
        RequestState.sound,
        RequestState.suspect,
        RequestState.quarantined,
    ]


def test_crash_of_one_run_counts_once() -> None:
    """Guards against blame for one crash that several daemons report."""
    records, _ = build()
    assert records.on_crash('f', ('u', 1), 'u')
    assert not records.on_crash('f', ('u', 1), 'u')
    assert records.on_crash('f', ('u', 2), 'u')
    assert records.find_state('f') is RequestState.suspect


def test_crashes_count_since_the_last_answer() -> None:
    """Guards against blame for a popular request that is mostly answered."""
    records, _ = build()
    for number in range(9):
        crash_one(records, (f'u-{number}', 1))
        if number % 2:
            records.forget('f')
    assert records.find_state('f') is RequestState.sound


def test_old_crashes_are_discarded() -> None:
    """Guards against blame that accumulates over days."""
    records, clock = build()
    crash(records, 2)
    clock.move(limits.RECORD_TTL + SECOND)
    crash_one(records, ('later', 1))
    assert records.find_state('f') is RequestState.sound


def test_time_between_trials_doubles_and_trials_are_limited() -> None:
    """Guards against trials that crash upstreams all day."""
    records, clock = build()
    crash(records, limits.MAX_CRASHES)
    waits = []
    for trial in range(limits.MAX_TRIALS):
        wait = records.find_time_left('f')
        clock.move(wait - SECOND)
        assert records.find_state('f') is RequestState.quarantined
        clock.move(SECOND)
        assert records.find_state('f') is RequestState.due
        records.quarantine('f', timedelta(0), trial + 1)
        waits.append(wait)
    assert waits == [
        limits.BASE_QUARANTINE_TIME * factor for factor in (1, 2, 4)
    ]
    clock.move(limits.QUARANTINE_RETENTION - SECOND)
    assert records.find_state('f') is RequestState.quarantined
    clock.move(2 * SECOND)
    assert records.find_state('f') is RequestState.sound


def test_quarantine_learned_late_ends_on_time() -> None:
    """Guards against a quarantine that each restart prolongs."""
    records, _ = build()
    records.quarantine('f', limits.BASE_QUARANTINE_TIME - SECOND)
    assert records.find_time_left('f') == SECOND


def test_number_of_records_is_bounded() -> None:
    """Guards against a caller who fills the memory with records."""
    records, clock = build()
    crash(records, limits.MAX_CRASHES, 'quarantined')
    for number in range(limits.MAX_RECORDS + 10):
        clock.move(timedelta(milliseconds=1))
        crash(records, 1, f'f-{number}')
    assert len(records) == limits.MAX_RECORDS
    assert records.find_state('quarantined') is RequestState.quarantined
    assert records.find('f-0') is None


def test_request_is_held_until_its_crashes_are_confirmed() -> None:
    """Guards against a fourth crash while upstreams are still down."""
    records, clock = build()
    for number in range(limits.MAX_CRASHES):
        records.on_crash('f', (f'u-{number}', 1), f'a-{number}')
    assert records.find_state('f') is RequestState.held
    assert not records.list_quarantined()
    quarantined = [
        records.on_restart((f'v-{number}', 2), f'a-{number}')
        for number in range(limits.MAX_CRASHES)
    ]
    assert quarantined == [[], [], ['f']]
    clock.move(limits.UNCONFIRMED_TTL * 2)
    assert records.find_state('f') is RequestState.quarantined


def test_unconfirmed_crashes_are_discarded() -> None:
    """Guards against blame for a partition that resets connections."""
    records, clock = build()
    for number in range(limits.MAX_CRASHES):
        records.on_crash('f', (f'u-{number}', 1), f'a-{number}')
        # The same run registers again after the partition.
        records.on_restart((f'u-{number}', 1), f'a-{number}')
    clock.move(limits.UNCONFIRMED_TTL + SECOND)
    assert records.find_state('f') is RequestState.sound
    assert not len(records)


def test_upstream_that_answers_has_not_crashed() -> None:
    """Guards against blame after a connection reset by the network."""
    records, _ = build()
    for number in range(limits.MAX_CRASHES):
        records.on_crash('f', (f'u-{number}', 1), f'a-{number}')
    records.on_alive(('u-0', 1))
    assert records.find_state('f') is RequestState.suspect


@pytest.mark.parametrize('confirmed', [False, True])
def test_simultaneous_crashes_count_as_one_event(
    confirmed: bool,
) -> None:
    """Guards against blame when a data centre or many upstreams are lost."""
    records, clock = build()
    for number in range(6):
        # A retried request reaches one after another.
        run = (f'u-{number}', 1)
        records.on_crash('f' if number < 4 else 'other', run, f'a-{number}')
        clock.move(timedelta(milliseconds=2))
    if confirmed:
        for number in range(6):
            records.on_restart((f'v-{number}', 2), f'a-{number}')
    assert records.find_state('f') is RequestState.sound
    for number in range(2):
        clock.move(SECOND)
        records.on_crash('f', (f'w-{number}', 1), f'b-{number}')
    assert records.find_state('f') is RequestState.held


def test_innocent_request_on_the_same_upstreams_is_not_quarantined() -> None:
    """Guards against blame for requests that shared all three upstreams."""
    records, clock = build()
    for number in range(limits.MAX_CRASHES):
        run = (f'u-{number}', 1)
        for name in ('bystander', 'f'):
            records.on_crash(name, run, f'a-{number}')
        records.on_restart((f'v-{number}', 2), f'a-{number}')
        clock.move(SECOND)
    # Their records are equal so far: both run, isolated from each other.
    for name in ('bystander', 'f'):
        assert records.find_state(name) is RequestState.suspect
    crash_one(records, ('w', 1))
    assert records.find_state('f') is RequestState.quarantined
    assert records.find_state('bystander') is RequestState.suspect
    records.on_crash('bystander', ('x', 1), 'b')
    records.on_restart(('y', 2), 'b')
    assert records.find_state('bystander') is RequestState.quarantined
