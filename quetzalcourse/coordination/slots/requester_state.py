"""What an owner knows of one daemon that uses its upstream."""

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
    """Allowance that the daemon may be using.

    :param expires_at: when it can't be in use any more.
    """

    number: int
    total: int
    training: int
    expires_at: timedelta


@dataclass(slots=True)
class RequesterState:
    """One daemon's reports and the allowances that were sent to it.

    :param name: incarnation of the daemon.
    :param reported_at: when its last report came.
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
        """Begin with the first report, which tells what it still holds.

        An owner before this one may have allowed that, and nothing is free
        that it allowed until the allowance lapses.
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
        """Requests that run, by its last report."""
        return sum(load.running for load in self.report.loads)

    def count_running(self, traffic_class: TrafficClass) -> int:
        """Requests of one class that run, by its last report."""
        return sum(
            load.running
            for load in self.report.loads
            if load.key.traffic_class is traffic_class
        )

    def count_waiting(self, traffic_class: TrafficClass) -> int:
        """Requests of one class that wait, by its last report."""
        return sum(
            load.waiting
            for load in self.report.loads
            if load.key.traffic_class is traffic_class
        )

    def accept(self, report: SlotReport, now: timedelta) -> bool:
        """Take a report unless a newer one came before it."""
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
        """Count the slots that it may be using.

        Messages are lost and overtake one another, so the daemon may follow
        any allowance since the newest that it confirmed.
        """
        totals = [
            sent.total for sent in self.sent_allowances if now < sent.expires_at
        ]
        return max(totals + [self.running])

    def count_committed_training(self, now: timedelta) -> int:
        """Count the slots that its training may be using."""
        counts = [
            sent.training
            for sent in self.sent_allowances
            if now < sent.expires_at
        ]
        return max(counts + [self.count_running(TrafficClass.training)])

    def list_demands(self, now: timedelta) -> list[AccountDemand]:
        """List what each account could use through this daemon."""
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
        """Tell whether its report needs an answer.

        Most reports ask for nothing that changed; an answer only moves the
        end of the term, which the next renewal does as well.
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
        """Make the next allowance.

        It ends by the daemon's clock one term after the report it answers
        was sent; counted from that report's arrival it is over for sure.
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
