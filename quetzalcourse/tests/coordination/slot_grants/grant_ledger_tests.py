"""Division of slots by their owner, and the use of grants by daemons."""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta

from quetzalcourse.coordination.slot_grants.allowance import (
    ANSWER_TIMEOUT,
    Allowance,
    Demand,
)
from quetzalcourse.coordination.slot_grants.contention import (
    MAX_PAUSE,
    RefusalPause,
)
from quetzalcourse.coordination.slot_grants.grant_ledger import (
    DEMAND_TTL,
    FOREIGN_LOAD_TTL,
    TURN,
    GrantLedger,
)
from quetzalcourse.coordination.slot_grants.messages import (
    AccountDemand,
    DemandReport,
    Grant,
)
from quetzalcourse.coordination.slot_grants.slot_groups import (
    SlotGroup,
    split_slots,
)

NOW = timedelta(seconds=1000)
GROUP = SlotGroup('s/0', 's', 0, 6, 6)
MILLISECOND = timedelta(milliseconds=1)


def make_report(
    sequence: int = 1, busy: int = -1, **changes: int
) -> DemandReport:
    """Build a report of a daemon whose account 1 has one waiting request."""
    fields = {'account': 1, 'running': 0, 'waiting': 1, 'started': 0}
    demand = AccountDemand(oldest_ms=0, **(fields | changes))
    return DemandReport('s', 0, sequence, 0, 0, busy, (demand,))


def test_large_account_leaves_the_others_their_share() -> None:
    # One account has requests at 40 of 67 daemons, the others at one each; by
    # daemon, the large one gets three of five slots.
    ledger = GrantLedger(GROUP, NOW)
    accounts = [0] * 40 + list(range(1, 28))
    served = Counter[int]()
    started = Counter[str]()
    for turn in range(200):
        now = NOW + turn * TURN
        for number, account in enumerate(accounts):
            name = f'vm-{number}'
            report = make_report(
                turn + 1, account=account, started=started[name]
            )
            ledger.on_report(name, report, now)
        started.clear()
        for name, grant in ledger.decide(now, {}).items():
            served[accounts[int(name[3:])]] += grant.slots
            started[name] += grant.slots
    mean = 200 * 6 / len(set(accounts))
    assert min(served[account] for account in accounts) >= 0.9 * mean
    assert served[0] <= 1.5 * mean


def test_grants_never_exceed_the_slots() -> None:
    # Grants that are lost or not yet in use are granted again.
    ledger = GrantLedger(GROUP, NOW)
    for step in range(100):
        now = NOW + step * 20 * MILLISECOND
        for number in range(10):
            if (step + number) % 3 == 0:
                ledger.on_report(f'vm-{number}', make_report(step + 1), now)
        ledger.decide(now, {})
        assert ledger.count_committed(now) <= GROUP.slots


def test_slots_of_a_dead_daemon_return() -> None:
    # A daemon that died never says that its requests ended.
    ledger = GrantLedger(GROUP, NOW)
    ledger.on_report('dead', make_report(running=6, waiting=6), NOW)
    ledger.on_report('vm-1', make_report(), NOW)
    assert not ledger.decide(NOW, {}).get('vm-1')
    later = NOW + DEMAND_TTL
    ledger.on_report('vm-1', make_report(2), later)
    assert ledger.decide(later, {})['vm-1'].slots == 1


def test_load_of_a_second_owner_is_made_room_for() -> None:
    # Behind a cut, another daemon grants the same slots; both together would
    # fill the upstream twice.
    ledger = GrantLedger(GROUP, NOW)
    for step in range(6):
        now = NOW + step * 20 * MILLISECOND
        ledger.on_report('vm-1', make_report(step + 1, busy=6), now)
    assert ledger.count_foreign(now) >= 5
    ledger.on_report('vm-1', make_report(9, waiting=6), now)
    granted = ledger.decide(now, {}).get('vm-1')
    assert granted is None or granted.slots <= 1
    later = now + FOREIGN_LOAD_TTL
    ledger.on_report('vm-1', make_report(10, waiting=6), later)
    assert ledger.decide(later, {})['vm-1'].slots == 6


def make_allowance(at: timedelta) -> tuple[Allowance, int]:
    """Build an allowance that reported one waiting request."""
    allowance = Allowance(GROUP)
    allowance.on_owner('owner', at)
    demand = AccountDemand(1, 0, 1, 0, 0)
    return allowance, allowance.make_report((demand,), -1, at).sequence


def test_expired_grant_is_not_used() -> None:
    # A daemon is paused with a grant on its way, or before it used one; the
    # owner has granted the slot to another since.
    allowance, sequence = make_allowance(NOW)
    grant = Grant('s', 0, 1, sequence, 1, 250, contended=True)
    assert allowance.on_grant(grant, NOW + 100 * MILLISECOND)
    assert allowance.count_usable(NOW + 249 * MILLISECOND) == 1
    assert allowance.count_usable(NOW + 250 * MILLISECOND) == 0
    assert allowance.lapse(NOW + TURN)
    late, sequence = make_allowance(NOW)
    late.on_grant(
        Grant('s', 0, 1, sequence, 1, 250, contended=True), NOW + TURN
    )
    assert late.count_usable(NOW + TURN) == 0


def test_silent_owner_is_noticed() -> None:
    # Requests wait for an owner that never answers.
    allowance, _ = make_allowance(NOW)
    assert not allowance.is_owner_silent(NOW + ANSWER_TIMEOUT / 2)
    assert allowance.is_owner_silent(NOW + ANSWER_TIMEOUT)


def test_idle_slot_is_returned_at_once() -> None:
    # A granted slot stays idle until its turn ends.
    allowance, sequence = make_allowance(NOW)
    now = NOW + 20 * MILLISECOND
    allowance.on_grant(Grant('s', 0, 1, sequence, 1, 250, contended=True), now)
    assert not allowance.is_report_due(Demand(1, 0), now)
    assert allowance.is_report_due(Demand(0, 0), now)
    allowance.make_report((), -1, now)
    assert allowance.count_usable(now) == 0


def test_attempts_without_an_owner_slow_down() -> None:
    # Many daemons that can't reach the owner try a full upstream all the time.
    pause = RefusalPause(random.Random(7))
    for _ in range(8):
        pause.on_refused(NOW)
        pause.on_ended()
    assert pause.until >= NOW + MAX_PAUSE / 2
    pause.on_ended()
    pause.on_refused(NOW)
    assert pause.until <= NOW + MAX_PAUSE / 8


def test_slots_are_split_in_large_deployments() -> None:
    # Slots are lost or counted twice when they are split.
    for members in (1, 67, 195, 350):
        groups = split_slots('s', 6, members)
        assert sum(group.slots for group in groups) == 6
    assert len(split_slots('s', 6, 350)) == 6
    assert len(split_slots('s', 1, 350)) == 1
