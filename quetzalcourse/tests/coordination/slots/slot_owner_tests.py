"""Tests of the slot owner's decisions for each message."""

from __future__ import annotations

from datetime import timedelta

import pytest

from quetzalcourse.coordination.slots.fair_share import (
    FairnessState,
    AccountDemand,
    divide_slots,
)
from quetzalcourse.coordination.slots.slot_owner import SlotOwner
from quetzalcourse.protocol.slots import (
    decode_slots,
    encode_allowances,
    encode_reports,
    list_allowances,
    list_reports,
)
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.slots import (
    AccountLoad,
    Allowance,
    QueueKey,
    SlotReport,
    SlotTimings,
)
from quetzalcourse.tests.slots import make_upstream

ZERO = timedelta(0)
TERMS = SlotTimings()
SHARES = {'a': 1, 'b': 1}


def make_key(account: int, *, human: bool = False) -> QueueKey:
    """Build the load key of an account's training or human requests."""
    traffic_class = TrafficClass.human if human else TrafficClass.training
    return QueueKey(traffic_class, account)


def make_report(
    sequence: int,
    running: int,
    waiting: int,
    applied: int = 0,
    **changes: int,
) -> SlotReport:
    """Build a report of one account's training or human requests."""
    human = bool(changes.get('human', 0))
    held = changes.get('held', 0)
    load = AccountLoad(make_key(1, human=human), running, waiting, ZERO, 0)
    return SlotReport(
        'engine',
        sequence,
        applied,
        held,
        0 if human else held,
        0,
        (load,),
    )


def make_owner(takeover_ends_at: timedelta = ZERO) -> SlotOwner:
    """Build the owner of four slots."""
    return SlotOwner(make_upstream(), TERMS, takeover_ends_at, SHARES)


def report_and_decide(
    owner: SlotOwner,
    name: str,
    report: SlotReport,
    now: timedelta = ZERO,
) -> dict[str, int]:
    """Process a report and return the slots allowed to each daemon."""
    if not owner.on_report(name, report, now):
        return {}
    sent = owner.decide(now, frozenset((name,)))
    return {one: allowance.total for one, allowance in sent.items()}


@pytest.mark.parametrize('human', [0, 1])
def test_lowered_allowance_counts_until_confirmed(human: int) -> None:
    # Guards against double allocation: the message that lowers an allowance is
    # lost, the daemon still uses the slots, and the requests of whoever got
    # them too would queue inside the engine.
    owner = make_owner()
    first = make_report(1, 0, 4, human=human)
    assert report_and_decide(owner, 'a', first) == {'a': 4}
    assert report_and_decide(owner, 'b', first) == {'a': 2, 'b': 0}
    later = timedelta(seconds=1)
    again = make_report(2, 0, 4, human=human)
    assert report_and_decide(owner, 'b', again, later)['b'] == 0
    confirmed = make_report(2, 2, 2, 2, human=human)
    assert report_and_decide(owner, 'a', confirmed, later)['b'] == 2


@pytest.mark.parametrize(
    ('seconds', 'allowed'),
    [(1.0, 0), (5.9, 0), (8.0, 4)],
)
def test_silent_daemon_is_removed_after_its_term(
    seconds: float,
    allowed: int,
) -> None:
    # A daemon dies while it holds slots and sends no last report. Its slots are
    # free for others once its allowance has certainly expired.
    owner = make_owner()
    report_and_decide(owner, 'a', make_report(1, 0, 4))
    now = timedelta(seconds=seconds)
    assert (
        report_and_decide(owner, 'b', make_report(1, 0, 4), now)['b'] == allowed
    )


@pytest.mark.parametrize(
    ('held', 'waiting', 'allowed'),
    [(0, 4, 1), (3, 1, 3), (2, 0, 0)],
)
def test_new_owner_grants_held_slots_or_fallback_share(
    held: int,
    waiting: int,
    allowed: int,
) -> None:
    # The previous owner granted slots that this one does not know of. Granting
    # all four again would run up to eight requests.
    owner = make_owner(takeover_ends_at=TERMS.term)
    report = make_report(1, held if waiting else 0, waiting, held=held)
    assert report_and_decide(owner, 'a', report) == {'a': allowed}


def test_outdated_report_is_ignored() -> None:
    # Messages are reordered. A report sent before a daemon filled its slots
    # would make them look free.
    owner = make_owner()
    report_and_decide(owner, 'a', make_report(2, 0, 4))
    assert not report_and_decide(owner, 'a', make_report(1, 0, 0))
    assert owner.count_committed(ZERO) == 4


@pytest.mark.parametrize(
    ('served', 'shares'),
    [
        ({}, (2, 2)),
        ({1: 300.0, 2: 100.0}, (1, 3)),
        ({1: 100.0, 2: 300.0}, (3, 1)),
    ],
)
def test_division_compensates_for_served_tokens(
    served: dict[int, float],
    shares: tuple[int, int],
) -> None:
    demands = [
        AccountDemand('a', make_key(1), 40, ZERO),
        AccountDemand('b', make_key(2), 4, ZERO),
    ]
    ledger = {make_key(account): tokens for account, tokens in served.items()}
    targets = divide_slots(4, 0, demands, FairnessState(served=ledger))
    assert (targets['a'].training, targets['b'].training) == shares


def test_scarce_slot_goes_to_longest_waiting_daemon() -> None:
    # One slot and two daemons: a daemon that keeps its slot busy would
    # otherwise keep it forever.
    demands = [
        AccountDemand('a', make_key(1), 2, timedelta(seconds=1)),
        AccountDemand('b', make_key(1), 1, timedelta(seconds=2)),
    ]
    targets = divide_slots(1, 0, demands, FairnessState())
    assert targets['b'].training == 1


def test_scarce_slots_are_divided_by_weight() -> None:
    demands = [
        AccountDemand('a', make_key(1), 40, ZERO),
        AccountDemand('a', make_key(2), 40, ZERO),
        AccountDemand('b', make_key(3, human=True), 3, ZERO),
    ]
    accounts = FairnessState({1: 3.0, 2: 1.0})
    targets = divide_slots(12, 1, demands, accounts)
    assert (targets['b'].human, targets['a'].training) == (3, 8)


def test_messages_round_trip_through_encoding() -> None:
    ids = {'engine': 7}
    load = AccountLoad(make_key(9, human=True), 1, 2, timedelta(seconds=3), 4)
    report = SlotReport('engine', 1, 2, 3, 2, 1, (load,))
    allowance = Allowance('engine', 1, 2, 3, 4, 5, contended=True)
    content = encode_reports((report,), ids)
    assert list_reports(decode_slots(content), {7: 'engine'}) == (report,)
    assert not list_reports(decode_slots(content), {8: 'other'})
    content = encode_allowances((allowance,), ids)
    assert list_allowances(decode_slots(content), {7: 'engine'}) == (allowance,)
