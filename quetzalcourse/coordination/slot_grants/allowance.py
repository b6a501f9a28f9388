"""A daemon's allowance of one group of slots.

Under contention, a daemon starts as many requests at an upstream as its
owner granted, without a message for each. The grant ends by this daemon's own
clock, counted from before it sent the report that was answered: a grant that
was delayed in a paused daemon or on a slow link is not used.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slot_grants.messages import DemandReport

if TYPE_CHECKING:
    from quetzalcourse.coordination.slot_grants.messages import (
        AccountDemand,
        Grant,
    )
    from quetzalcourse.coordination.slot_grants.slot_groups import SlotGroup

ZERO = timedelta(0)
NEVER = timedelta(days=-1)
MILLISECOND = timedelta(milliseconds=1)
# Interval of reports without changes, which make up for lost messages.
RENEWAL = timedelta(seconds=1)
# Time before the end of a grant at which further demand is reported.
RENEWAL_LEAD = timedelta(milliseconds=50)
# Time without an answer after which the owner counts as unreachable.
ANSWER_TIMEOUT = timedelta(milliseconds=100)
# Shortest interval between two reports of slots that are no longer used.
MIN_RETURN_INTERVAL = timedelta(milliseconds=10)
MAX_TRACKED_REPORTS = 64


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests of this daemon that concern a group of slots."""

    running: int
    waiting: int

    @property
    def total(self) -> int:
        """Number of requests."""
        return self.running + self.waiting


@dataclass(slots=True)
class Allowance:
    """This daemon's grants for one group, and the reports on its demand.

    :param owner: incarnation of the owner, empty if there is none.
    """

    group: SlotGroup
    owner: str = ''
    number: int = 0
    slots: int = 0
    expires_at: timedelta = NEVER
    reported_at: timedelta = NEVER
    reported: Demand = Demand(0, 0)
    _sequence: int = 0
    _unanswered_since: timedelta | None = None
    _granted_at: timedelta = NEVER
    _sent_at: dict[int, timedelta] = field(default_factory=dict)

    def on_owner(self, owner: str, now: timedelta) -> None:
        """Apply the owner computed from the live members."""
        if owner == self.owner:
            return
        # The grants of the previous owner stay valid until they expire; the
        # new one waits for that.
        if not self.is_owner_silent(now):
            self._unanswered_since = None
        self.owner = owner
        self._sent_at.clear()
        self.reported = Demand(0, 0)
        self.reported_at = NEVER

    def count_usable(self, now: timedelta) -> int:
        """Count the slots that may be used now."""
        return self.slots if now < self.expires_at else 0

    def is_owner_silent(self, now: timedelta) -> bool:
        """Tell whether no owner answers."""
        if not self.owner:
            return True
        if self._unanswered_since is None:
            return False
        return now - self._unanswered_since >= ANSWER_TIMEOUT

    def on_grant(self, grant: Grant, now: timedelta) -> bool:
        """Apply a grant unless a newer one arrived before it.

        :returns: whether it was applied.
        """
        sent_at = self._sent_at.get(grant.answers)
        if sent_at is None or grant.number <= self.number:
            return False
        self.number = grant.number
        self.slots = grant.slots
        self.expires_at = sent_at + grant.valid_ms * MILLISECOND
        self._granted_at = now
        self._unanswered_since = None
        return True

    def lapse(self, now: timedelta) -> bool:
        """Drop slots whose grant expired.

        :returns: whether there were any.
        """
        lapsed = bool(self.slots) and now >= self.expires_at
        if lapsed:
            self.slots = 0
        return lapsed

    def is_report_due(self, demand: Demand, now: timedelta) -> bool:
        """Tell whether the owner has to learn of the demand now."""
        if not self.owner:
            return False
        if demand.waiting > 2 * self.reported.waiting:
            return True
        usable = self.count_usable(now)
        if self._is_release_due(demand, usable) or (
            demand.running > max(usable, self.reported.running)
        ):
            return now - self.reported_at >= MIN_RETURN_INTERVAL
        return self._is_renewal_due(demand, usable, now)

    def _is_release_due(self, demand: Demand, usable: int) -> bool:
        """Tell whether the owner counts slots that can't be in use here."""
        if self.reported.waiting and not demand.waiting:
            if demand.total < self.reported.total:
                return True
        wanted = min(usable, demand.total)
        counted = max(usable, self.reported.running)
        return max(demand.running, wanted) < counted

    def _is_renewal_due(
        self, demand: Demand, usable: int, now: timedelta
    ) -> bool:
        if not demand.total:
            return False
        if usable and self.reported_at < self._granted_at:
            if now >= self.expires_at - RENEWAL_LEAD:
                return True
        asked = demand.waiting or self.reported.running
        return bool(asked) and now - self.reported_at >= RENEWAL

    def make_report(
        self,
        demands: tuple[AccountDemand, ...],
        busy: int,
        now: timedelta,
    ) -> DemandReport:
        """Make the next report, and give up the slots that it does not need.

        :param busy: requests at the upstream by its last load report, -1 if
            there is no recent one.
        """
        group = self.group
        # Sequences rise with time, so that they go on where the state of an
        # earlier contention was dropped.
        self._sequence = max(self._sequence + 1, now // MILLISECOND)
        self._sent_at[self._sequence] = now
        if len(self._sent_at) > MAX_TRACKED_REPORTS:
            self._sent_at.pop(next(iter(self._sent_at)))
        running = sum(one.running for one in demands)
        waiting = sum(one.waiting for one in demands)
        if not waiting:
            self._unanswered_since = None
        elif self._unanswered_since is None:
            self._unanswered_since = now
        self.slots = min(self.count_usable(now), running + waiting)
        self.reported_at = now
        self.reported = Demand(running, waiting)
        return DemandReport(
            group.upstream,
            group.index,
            self._sequence,
            self.number,
            self.slots,
            busy,
            demands,
        )
