"""Decides which daemons use the slots of a full upstream.

Under a shortage, more daemons have waiting requests than an upstream has
slots, so a slot passes from daemon to daemon several times a second. The owner
divides the slots fairly by client account and then by daemon, for a short turn
each: a turn that ends by itself needs no message, and a daemon that died or
can't be reached withholds its slots no longer than that.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slot_grants.messages import Grant
from quetzalcourse.coordination.slots.decayed_token_counts import (
    DecayedTokenCounts,
)
from quetzalcourse.coordination.slots.fair_share import (
    AccountDemand,
    FairnessState,
    divide_slots,
)
from quetzalcourse.coordination.slots.foreign_load import ForeignLoad
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.slots import QueueKey

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from quetzalcourse.coordination.slot_grants.messages import DemandReport
    from quetzalcourse.coordination.slot_grants.slot_groups import SlotGroup

ZERO = timedelta(0)
MILLISECOND = timedelta(milliseconds=1)
# How long a daemon may use a slot before others get it.
TURN = timedelta(milliseconds=250)
# Age after which a report is ignored; daemons that wait report twice as often.
DEMAND_TTL = timedelta(milliseconds=2200)
# Time after which a report is answered, though there is nothing to grant, to
# show that the owner is alive. Most reports are answered by a grant before.
ANSWER_DELAY = timedelta(milliseconds=40)
# How long demand has to exceed the slots before all daemons are told to ask.
MIN_SHORTAGE = timedelta(milliseconds=80)
# How long a shortage counts after demand last exceeded the slots.
SHORTAGE_HOLD = timedelta(milliseconds=500)
# Largest age of a load report when it reaches the owner.
LOAD_REPORT_LAG = timedelta(milliseconds=200)
# How long the load that the owner did not grant is taken into account after
# the last load report: without grants, no further report arrives.
FOREIGN_LOAD_TTL = timedelta(milliseconds=250)


@dataclass(frozen=True, slots=True)
class SentGrant:
    """Grant that a daemon may be using.

    :param expires_at: when it is certainly no longer in use.
    """

    number: int
    slots: int
    expires_at: timedelta


@dataclass(slots=True)
class Requester:
    """Last report of a daemon, and the grants sent to it.

    :param unanswered: whether the report waits for an answer.
    """

    name: str
    report: DemandReport
    reported_at: timedelta
    number: int = 0
    sent: list[SentGrant] = field(default_factory=list)
    unanswered: bool = False

    def apply(self, report: DemandReport, now: timedelta) -> None:
        """Apply a report, which says which grants are no longer in use."""
        held_until = max(
            (
                one.expires_at
                for one in self.sent
                if one.number <= report.applied
            ),
            default=now + TURN,
        )
        self.sent = [one for one in self.sent if one.number > report.applied]
        if report.held:
            self.sent.append(SentGrant(report.applied, report.held, held_until))
        self.number = max(self.number, report.applied)
        self.report = report
        self.reported_at = now
        self.unanswered = bool(report.waiting)

    def is_answer_due(self, now: timedelta) -> bool:
        """Tell whether an answer can't wait for a slot to become free."""
        return self.unanswered and now - self.reported_at >= ANSWER_DELAY

    def count_granted(self, now: timedelta) -> int:
        """Count the slots that it may use by the grants sent to it."""
        return max(
            (one.slots for one in self.sent if now < one.expires_at), default=0
        )

    def count_committed(self, now: timedelta) -> int:
        """Count the slots that it may be using."""
        return max(self.count_granted(now), self.report.running)

    def find_expiry(self, now: timedelta) -> timedelta:
        """Find when its grants expire."""
        return max((one.expires_at for one in self.sent), default=now)

    def list_demands(self, now: timedelta) -> list[AccountDemand]:
        """List its demand by client account."""
        since_report = now - self.reported_at
        return [
            AccountDemand(
                self.name,
                QueueKey(TrafficClass.human, one.account),
                one.running + one.waiting,
                one.oldest_ms * MILLISECOND + since_report
                if one.waiting
                else ZERO,
            )
            for one in self.report.demands
        ]

    def find_oldest_wait(self, now: timedelta) -> timedelta:
        """Find how long its oldest request has waited, zero if none waits."""
        return max((one.oldest for one in self.list_demands(now)), default=ZERO)


class GrantLedger:
    """Owner's state of one group of slots.

    Each report holds a daemon's full demand, so lost and doubled ones do no
    harm. Until the grants of a previous owner have expired, nothing is added
    to what daemons report to hold.

    :param takeover_ends_at: when grants of a previous owner have expired.
    """

    def __init__(self, group: SlotGroup, takeover_ends_at: timedelta) -> None:
        """Create without reports."""
        self.group = group
        self._exceeded_since: timedelta | None = None
        self._short_until = ZERO
        self._takeover_ends_at = takeover_ends_at
        self._requesters: dict[str, Requester] = {}
        self._served = DecayedTokenCounts()
        self._foreign = ForeignLoad(LOAD_REPORT_LAG)
        self._foreign_until = ZERO

    @property
    def requesters(self) -> Collection[str]:
        """Daemons that have demand."""
        return self._requesters.keys()

    def is_short(self, now: timedelta) -> bool:
        """Tell whether there has been more demand than slots for a while."""
        return now < self._short_until

    @property
    def idle(self) -> bool:
        """Whether no daemon has demand."""
        return not self._requesters

    def on_report(
        self, sender: str, report: DemandReport, now: timedelta
    ) -> bool:
        """Apply the report of a daemon.

        :returns: whether it was newer than all earlier reports.
        """
        requester = self._requesters.get(sender)
        if requester is None:
            requester = Requester(sender, report, now)
            self._requesters[sender] = requester
        elif report.sequence <= requester.report.sequence:
            return False
        requester.apply(report, now)
        for one in report.demands:
            key = QueueKey(TrafficClass.human, one.account)
            self._served.add(key, one.started, now)
        if report.busy >= 0:
            self._on_load(report.busy, now)
        return True

    def count_committed(self, now: timedelta) -> int:
        """Count the slots that daemons may be using."""
        return sum(
            one.count_committed(now) for one in self._requesters.values()
        )

    def count_foreign(self, now: timedelta) -> int:
        """Count the slots in use that were not granted here."""
        return (
            math.ceil(self._foreign.slots) if now < self._foreign_until else 0
        )

    def decide(
        self, now: timedelta, weights: Mapping[int, float]
    ) -> dict[str, Grant]:
        """Divide the slots.

        :param weights: weights of client accounts, by the hash of their names.
        :returns: grants to send, by incarnation.
        """
        self._drop_expired(now)
        committed = self.count_committed(now)
        self._foreign.on_commitment(committed, now)
        slots = max(self.group.slots - self.count_foreign(now), 0)
        targets = divide_slots(
            slots,
            0,
            self._list_demands(now),
            FairnessState(weights, self._served.read()),
        )
        free = max(slots - committed, 0) if now >= self._takeover_ends_at else 0
        self._update_shortage(slots, now)
        grants = {}
        for requester in self._sort_by_wait(now):
            name = requester.name
            before = requester.count_committed(now)
            target = min(targets[name].human, before + free)
            if not requester.report.waiting:
                target = 0
            if not self._is_due(requester, target, now):
                continue
            grants[name] = self._grant(requester, target, now)
            free -= max(requester.count_committed(now) - before, 0)
        return grants

    def _update_shortage(self, slots: int, now: timedelta) -> None:
        if self._count_wanted() <= slots:
            self._exceeded_since = None
            return
        if self._exceeded_since is None:
            self._exceeded_since = now
        if now - self._exceeded_since >= MIN_SHORTAGE:
            self._short_until = now + SHORTAGE_HOLD

    def _is_due(
        self, requester: Requester, target: int, now: timedelta
    ) -> bool:
        """Tell whether a grant or another answer is due."""
        if target > requester.count_granted(now):
            return True
        if not requester.unanswered:
            return False
        return bool(target) or requester.is_answer_due(now)

    def _grant(
        self, requester: Requester, target: int, now: timedelta
    ) -> Grant:
        slots, expires_at = target, now + TURN
        if not target:
            slots = requester.count_granted(now)
            expires_at = requester.find_expiry(now)
        requester.number += 1
        requester.unanswered = False
        requester.sent.append(SentGrant(requester.number, slots, expires_at))
        report = requester.report
        valid = (expires_at - requester.reported_at) // MILLISECOND
        return Grant(
            report.upstream,
            report.group,
            requester.number,
            report.sequence,
            slots,
            valid,
            self.is_short(now),
        )

    def _on_load(self, busy: int, now: timedelta) -> None:
        group = self.group
        share = round(busy * group.slots / group.upstream_slots)
        if now >= self._foreign_until:
            self._foreign.slots = 0
        self._foreign.on_load(share, self.count_committed(now), now)
        self._foreign_until = now + FOREIGN_LOAD_TTL

    def _drop_expired(self, now: timedelta) -> None:
        for name, requester in tuple(self._requesters.items()):
            report = requester.report
            expired = now - requester.reported_at >= DEMAND_TTL
            done = not (report.running or report.waiting)
            if (expired or done) and not requester.count_granted(now):
                self._requesters.pop(name)

    def _list_demands(self, now: timedelta) -> list[AccountDemand]:
        return [
            demand
            for requester in self._requesters.values()
            for demand in requester.list_demands(now)
        ]

    def _count_wanted(self) -> int:
        return sum(
            one.report.running + one.report.waiting
            for one in self._requesters.values()
        )

    def _sort_by_wait(self, now: timedelta) -> list[Requester]:
        return sorted(
            self._requesters.values(),
            key=lambda requester: -requester.find_oldest_wait(now),
        )
