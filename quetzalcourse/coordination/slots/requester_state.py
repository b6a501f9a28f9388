"""An owner's state of one daemon that uses its upstream."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.fair_share import AccountDemand
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.slots import Allowance, SlotReport

if TYPE_CHECKING:
    from quetzalcourse.coordination.slots.fair_share import SlotTarget

NEVER = timedelta(days=-1)
ANSWER_INTERVAL_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class _SentAllowance:
    """Allowance that the daemon may still be using.

    :param expires_at: when it can no longer be in use.
    """

    number: int
    total: int
    training: int
    expires_at: timedelta


@dataclass(slots=True)
class RequesterState:
    """One daemon's last report and the allowances sent to it.

    :param name: incarnation of the daemon.
    :param reported_at: when its last report arrived.
    :param answered_at: when the last allowance was sent to it.
    """

    name: str
    report: SlotReport
    reported_at: timedelta
    current: Allowance
    sent_allowances: list[_SentAllowance] = field(default_factory=list)
    answered_at: timedelta = NEVER

    @classmethod
    def from_first_report(
        cls,
        name: str,
        report: SlotReport,
        now: timedelta,
        term: timedelta,
    ) -> RequesterState:
        """Create from the first report, which states what the daemon holds.

        A previous owner may have granted those slots, and none of them is free
        until that allowance expires.
        """
        held = Allowance(
            report.upstream,
            report.applied,
            report.sequence,
            report.held - report.held_training,
            report.held_training,
        )
        sent = _SentAllowance(
            report.applied, report.held, report.held_training, now + term
        )
        return cls(name, report, now, held, [sent])

    @property
    def running(self) -> int:
        """Number of running requests, according to the last report."""
        return sum(load.running for load in self.report.loads)

    def count_running(self, traffic_class: TrafficClass) -> int:
        """Count running requests of one class, according to the last report."""
        return sum(
            load.running
            for load in self.report.loads
            if load.key.traffic_class is traffic_class
        )

    def count_waiting(self, traffic_class: TrafficClass) -> int:
        """Count waiting requests of one class, according to the last report."""
        return sum(
            load.waiting
            for load in self.report.loads
            if load.key.traffic_class is traffic_class
        )

    def accept(self, report: SlotReport, now: timedelta) -> bool:
        """Accept a report unless a newer one arrived before it."""
        if report.sequence <= self.report.sequence:
            return False
        self.report = report
        self.reported_at = now
        self.sent_allowances = [
            sent
            for sent in self.sent_allowances
            if sent.number >= report.applied
        ]
        return True

    def count_committed(self, now: timedelta) -> int:
        """Count the slots that the daemon may be using.

        Messages can be lost or reordered, so the daemon may be applying any
        allowance since the newest one that it confirmed.
        """
        totals = [
            sent.total for sent in self.sent_allowances if now < sent.expires_at
        ]
        return max(totals + [self.running])

    def count_committed_training(self, now: timedelta) -> int:
        """Count the slots that the daemon's training may be using."""
        counts = [
            sent.training
            for sent in self.sent_allowances
            if now < sent.expires_at
        ]
        return max(counts + [self.count_running(TrafficClass.training)])

    def list_demands(self, now: timedelta) -> list[AccountDemand]:
        """List the slots that each account could use through this daemon."""
        since_report = now - self.reported_at
        return [
            AccountDemand(
                self.name,
                load.key,
                load.running + load.waiting,
                load.oldest + since_report if load.waiting else timedelta(0),
            )
            for load in self.report.loads
        ]

    def needs_answer(
        self,
        target: SlotTarget,
        now: timedelta,
        renewal: timedelta,
    ) -> bool:
        """Check whether the daemon's report needs an answer.

        Most reports ask for no change; an answer would only extend the term,
        which the next renewal does as well.
        """
        current = self.current
        if (target.human, target.training) != (current.human, current.training):
            return True
        if self.report.applied < current.number:
            return True
        if self.count_waiting(TrafficClass.human):
            return True
        return now - self.answered_at >= renewal * ANSWER_INTERVAL_SHARE

    def make_allowance(
        self,
        target: SlotTarget,
        revoke: int,
        term: timedelta,
        *,
        contended: bool,
    ) -> Allowance:
        """Create the next allowance.

        On the daemon's clock it expires one term after the daemon sent the
        report that it answers; counted from the arrival of that report, it has
        certainly expired.
        """
        self.current = Allowance(
            self.report.upstream,
            self.current.number + 1,
            self.report.sequence,
            target.human,
            target.training,
            revoke,
            contended,
        )
        self.sent_allowances.append(
            _SentAllowance(
                self.current.number,
                target.total,
                target.training,
                self.reported_at + term,
            )
        )
        return self.current
