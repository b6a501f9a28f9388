"""What this daemon runs at one upstream, and what it may start there."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slot_grants.allowance import Allowance, Demand
from quetzalcourse.coordination.slot_grants.contention import Contention
from quetzalcourse.coordination.slot_grants.messages import AccountDemand
from quetzalcourse.coordination.slots.ownership import hash_name

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.slot_grants.contention import RefusalPause
    from quetzalcourse.coordination.slot_grants.messages import DemandReport
    from quetzalcourse.coordination.slot_grants.service_demand import (
        ServiceDemand,
    )

MILLISECOND = timedelta(milliseconds=1)
# Load reports older than this say nothing about the slots in use.
MAX_LOAD_REPORT_AGE = timedelta(milliseconds=100)
UNKNOWN = -1
ZERO = timedelta(0)
# How long an owner's word that its slots don't suffice is believed: longer than
# the interval of notices, as daemons that ask get none.
FULL_TTL = timedelta(seconds=4)


@dataclass(slots=True)
class UpstreamUsage:
    """This daemon's requests at one upstream.

    :param running: running requests by client account.
    :param started: requests started since the last report.
    :param waiting: waiting requests for which its owner is asked.
    """

    upstream: Upstream
    pause: RefusalPause
    contention: Contention = field(default_factory=Contention)
    allowance: Allowance | None = None
    running: Counter[str] = field(default_factory=Counter)
    started: Counter[str] = field(default_factory=Counter)
    waiting: Mapping[str, int] = field(default_factory=dict)
    full_until: timedelta = ZERO

    @property
    def demand(self) -> Demand:
        """Requests that concern the owner."""
        return Demand(self.running.total(), sum(self.waiting.values()))

    @property
    def is_known_to_owner(self) -> bool:
        """Whether the owner counts requests of this daemon."""
        if self.allowance is None:
            return False
        reported = self.allowance.reported
        return bool(reported.running or reported.waiting)

    def on_sent(self, account: str) -> None:
        """Count a request that is sent."""
        self.running[account] += 1
        self.started[account] += 1

    def on_ended(self, account: str) -> None:
        """Stop counting a request that ended."""
        self.running[account] -= 1
        if self.running[account] <= 0:
            self.running.pop(account)
        self.pause.on_ended()

    def has_granted_slot(self, now: timedelta) -> bool:
        """Tell whether a slot that the owner granted is idle."""
        if self.allowance is None or not self.pause.is_over(now):
            return False
        return self.running.total() < self.allowance.count_usable(now)

    def has_fallback_slot(self, slots: int, now: timedelta) -> bool:
        """Tell whether an attempt without an owner is due.

        :param slots: slots to use while no owner answers.
        """
        return self.pause.is_over(now) and self.running.total() < slots

    def uses_fallback(self, now: timedelta) -> bool:
        """Tell whether no owner answers this daemon."""
        allowance = self.allowance
        if allowance is None or allowance.count_usable(now):
            return False
        return allowance.is_owner_silent(now)

    def on_answer(self, now: timedelta, *, full: bool) -> None:
        """Record an owner's answer.

        :param full: whether its slots don't suffice.
        """
        self.full_until = now + FULL_TTL if full else ZERO

    def on_notice(self, hold: timedelta, now: timedelta) -> None:
        """Record an owner's notice that its slots don't suffice."""
        self.full_until = max(self.full_until, now + hold)

    def is_full(self, now: timedelta) -> bool:
        """Tell whether all slots are likely in use and waited for."""
        return now < self.full_until

    def is_report_due(self, now: timedelta) -> bool:
        """Tell whether the owner has to learn of the demand now."""
        allowance = self.allowance
        return allowance is not None and allowance.is_report_due(
            self.demand, now
        )

    def make_report(
        self, demand: ServiceDemand, now: timedelta
    ) -> DemandReport:
        """Make the report to the owner."""
        assert self.allowance is not None  # noqa: S101
        accounts = {**self.running, **self.waiting, **self.started}
        demands = tuple(
            AccountDemand(
                hash_name(name),
                self.running.get(name, 0),
                self.waiting.get(name, 0),
                demand.find_wait(name, now) // MILLISECOND,
                self.started.get(name, 0),
            )
            for name in accounts
        )
        self.started.clear()
        return self.allowance.make_report(demands, self._find_busy(now), now)

    def _find_busy(self, now: timedelta) -> int:
        upstream = self.upstream
        if now - upstream.other_requests_at > MAX_LOAD_REPORT_AGE:
            return UNKNOWN
        return upstream.running + upstream.other_requests
