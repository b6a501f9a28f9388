"""Groups of slots that this daemon owns, and its answers to other daemons."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slot_grants.messages import (
    ContentionNotice,
    Grant,
)
from quetzalcourse.coordination.slot_grants.grant_ledger import (
    TURN,
    GrantLedger,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.slot_grants.messages import DemandReport
    from quetzalcourse.coordination.slot_grants.slot_groups import (
        OwnerDirectory,
        SlotGroup,
    )

MILLISECOND = timedelta(milliseconds=1)
NEVER = timedelta(days=-1)
# Interval of notices to the daemons that use a group; in large deployments it
# is the time that the notices take at 2 KB a second.
MIN_NOTICE_INTERVAL = timedelta(seconds=2)
NOTICE_TIME = timedelta(milliseconds=60)
NOTICE_OVERLAP = timedelta(milliseconds=500)
GrantsByDaemon = dict[str, list[Grant]]


@dataclass(frozen=True, slots=True)
class OwnedGroups:
    """Number of groups that have demand, and of slots not granted here."""

    groups: int
    foreign_slots: int


class SlotOwners:
    """Ledgers of the groups that this daemon owns.

    :param weights: weights of client accounts, by the hash of their names.
    """

    def __init__(self, directory: OwnerDirectory, pool: Pool) -> None:
        """Create without ledgers."""
        self.weights: Mapping[int, float] = {}
        self.directory = directory
        self._pool = pool
        self._noticed_at: dict[str, timedelta] = {}
        self._ledgers: dict[tuple[str, int], GrantLedger] = {}

    @property
    def active(self) -> bool:
        """Whether any daemon has demand for slots owned here."""
        return not all(ledger.idle for ledger in self._ledgers.values())

    def on_reports(
        self, sender: str, reports: Iterable[DemandReport], now: timedelta
    ) -> GrantsByDaemon:
        """Apply the reports of a daemon.

        A report on a group that is not owned here gets no answer: the members
        that its sender knows differ, and it asks the right owner once they
        don't.

        :returns: grants to send, by incarnation.
        """
        grants: GrantsByDaemon = defaultdict(list)
        for report in reports:
            ledger = self._find_ledger(report, now)
            if ledger is None or not ledger.on_report(sender, report, now):
                continue
            decided = ledger.decide(now, self.weights)
            for name, grant in decided.items():
                grants[name].append(grant)
        return grants

    def on_tick(self, now: timedelta) -> GrantsByDaemon:
        """Divide the slots again, since grants and reports expire.

        :returns: grants to send, by incarnation.
        """
        grants: GrantsByDaemon = defaultdict(list)
        for ledger in self._ledgers.values():
            if not ledger.idle:
                for name, grant in ledger.decide(now, self.weights).items():
                    grants[name].append(grant)
        return grants

    def list_notices(self, now: timedelta) -> dict[str, list[ContentionNotice]]:
        """List the notices that are due.

        The other daemons would each learn from a refusal that an upstream is
        contended.

        :returns: notices to send, by incarnation.
        """
        notices: dict[str, list[ContentionNotice]] = defaultdict(list)
        for ledger in self._ledgers.values():
            if not ledger.is_short(now):
                continue
            upstream = self._pool.find(ledger.group.upstream)
            noticed_at = self._noticed_at.get(ledger.group.key, NEVER)
            if upstream is None or now - noticed_at < MIN_NOTICE_INTERVAL:
                continue
            users = self.directory.list_users(upstream, ledger.group.index)
            interval = max(NOTICE_TIME * len(users), MIN_NOTICE_INTERVAL)
            if now - noticed_at < interval:
                continue
            self._noticed_at[ledger.group.key] = now
            valid = (interval + NOTICE_OVERLAP) // MILLISECOND
            for name in sorted(users.difference(ledger.requesters)):
                notice = ContentionNotice(upstream.name, valid)
                notices[name].append(notice)
        return notices

    def count(self, now: timedelta) -> OwnedGroups:
        """Count the groups with demand, for the metrics."""
        busy = [one for one in self._ledgers.values() if not one.idle]
        foreign = sum(ledger.count_foreign(now) for ledger in busy)
        return OwnedGroups(len(busy), foreign)

    def _find_ledger(
        self, report: DemandReport, now: timedelta
    ) -> GrantLedger | None:
        group = self._find_own_group(report)
        key = (report.upstream, report.group)
        if group is None:
            self._ledgers.pop(key, None)
            return None
        ledger = self._ledgers.get(key)
        if ledger is None or ledger.group != group:
            # A daemon that has had a grant may have it from another owner.
            taken_over = ledger is not None or report.applied > 0
            since = now if taken_over else self.directory.changed_at
            ledger = GrantLedger(group, since + TURN)
            self._ledgers[key] = ledger
        return ledger

    def _find_own_group(self, report: DemandReport) -> SlotGroup | None:
        upstream = self._pool.find(report.upstream)
        if upstream is None:
            return None
        groups = self.directory.list_groups(upstream)
        if report.group >= len(groups):
            return None
        group = groups[report.group]
        owner = self.directory.find_owner(group, upstream)
        own = self.directory.own.incarnation
        return group if owner and owner.incarnation == own else None
