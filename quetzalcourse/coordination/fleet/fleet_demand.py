"""Demand of all callers, reported to the lease holder and aggregated."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.leases.leader_elector import choose_candidates
from quetzalcourse.state.decoding import MalformedMessageError, decode_msgpack
from quetzalcourse.state.fleet import Demand
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.coordination.usage.usage_counter import UsageCounter
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

REPORT_INTERVAL = timedelta(seconds=10)
REPORT_TTL = timedelta(seconds=35)


class DemandAggregator:
    """Reports the demand of each daemon to the candidates for a lease.

    Every daemon knows the candidates without asking the store, and one of
    them is the lease holder.

    :param lease_key: key of the lease on platform orders.
    """

    def __init__(
        self,
        lease_key: str,
        usage: UsageCounter,
        peers: Peers,
        members: MemberView,
        clock: Clock,
    ) -> None:
        """Start without reports."""
        self._lease_key = lease_key
        self._usage = usage
        self._peers = peers
        self._members = members
        self._clock = clock
        self._reports: dict[str, tuple[timedelta, Demand]] = {}
        self._last_totals: dict[str, int] = {}
        self._measured_at = clock.elapsed()
        peers.subscribe(Topic.demand, self._receive)

    async def run(self) -> None:
        """Report the demand for as long as the daemon runs."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL)
            self.send()

    def send(self) -> None:
        """Report the token rates of this daemon since the last report."""
        demand = self._measure()
        own = self._members.own
        self._reports[own.incarnation] = (self._clock.elapsed(), demand)
        content = msgspec.msgpack.encode(demand)
        live = self._members.list_live()
        for member in choose_candidates(self._lease_key, live):
            if member.incarnation != own.incarnation:
                self._peers.send(member, Topic.demand, content)

    def aggregate(self) -> Demand:
        """Return the sum of the recent reports."""
        oldest = self._clock.elapsed() - REPORT_TTL
        self._reports = {
            incarnation: report
            for incarnation, report in self._reports.items()
            if report[0] >= oldest
        }
        demands = [demand for _, demand in self._reports.values()]
        return Demand(
            sum(demand.human_tokens for demand in demands),
            sum(demand.training_tokens for demand in demands),
        )

    def _measure(self) -> Demand:
        now = self._clock.elapsed()
        seconds = max(1, (now - self._measured_at).total_seconds())
        totals = dict(self._usage.generated_tokens)
        rates = {
            name: (total - self._last_totals.get(name, 0)) / seconds
            for name, total in totals.items()
        }
        self._last_totals = totals
        self._measured_at = now
        return Demand(
            rates.get(TrafficClass.human, 0),
            rates.get(TrafficClass.training, 0),
        )

    def _receive(self, sender: Member, content: bytes) -> None:
        try:
            demand = decode_msgpack(content, Demand)
        except MalformedMessageError:
            return
        self._reports[sender.incarnation] = (self._clock.elapsed(), demand)
