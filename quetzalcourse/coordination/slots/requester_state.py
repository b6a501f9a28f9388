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
RENEWAL_PART = 0.75


@dataclass(frozen=True, slots=True)
class _Promise:
    """Allowance that the daemon may be using.

    :param lapses: when it can't be in use any more.
    """

    number: int
    total: int
    training: int
    lapses: timedelta


@dataclass(slots=True)
class RequesterState:
    """One daemon's reports and the allowances that were sent to it.

    :param name: incarnation of the daemon.
    :param heard: when its last report came.
    :param answered: when the last allowance was sent to it.
    """

    name: str
    report: SlotReport
    heard: timedelta
    current: Allowance
    promises: list[_Promise] = field(default_factory=list)
    answered: timedelta = NEVER

    @classmethod
    def meet(
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
        promise = _Promise(
            report.applied, report.held, report.held_training, now + term
        )
        return cls(name, report, now, held, [promise])

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
        self.heard = now
        self.promises = [
            promise
            for promise in self.promises
            if promise.number >= report.applied
        ]
        return True

    def count_committed(self, now: timedelta) -> int:
        """Count the slots that it may be using.

        Messages are lost and overtake one another, so the daemon may follow
        any allowance since the newest that it confirmed.
        """
        totals = [
            promise.total for promise in self.promises if now < promise.lapses
        ]
        return max(totals + [self.running])

    def count_committed_training(self, now: timedelta) -> int:
        """Count the slots that its training may be using."""
        counts = [
            promise.training
            for promise in self.promises
            if now < promise.lapses
        ]
        return max(counts + [self.count_running(TrafficClass.training)])

    def list_claims(self, now: timedelta) -> list[AccountDemand]:
        """List what each account could use through this daemon."""
        silent = now - self.heard
        return [
            AccountDemand(
                self.name,
                load.key,
                load.running + load.waiting,
                load.oldest + silent if load.waiting else timedelta(0),
            )
            for load in self.report.loads
        ]

    def awaits(
        self,
        goal: SlotTarget,
        now: timedelta,
        renewal: timedelta,
    ) -> bool:
        """Tell whether its report needs an answer.

        Most reports ask for nothing that changed; an answer only moves the
        end of the term, which the next renewal does as well.
        """
        current = self.current
        if (goal.human, goal.training) != (current.human, current.training):
            return True
        if self.report.applied < current.number:
            return True
        if self.count_waiting(TrafficClass.human):
            return True
        return now - self.answered >= renewal * RENEWAL_PART

    def allow(
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
        self.promises.append(
            _Promise(
                self.current.number,
                target.total,
                target.training,
                self.heard + term,
            )
        )
        return self.current
