"""Readiness of a daemon that the store does not answer.

A daemon or a whole data centre may be cut off from the store for some seconds
while its callers still reach it. It must reject every batch, and steps that
are due seconds later wait for the partition to end, although daemons elsewhere
could take them. While this daemon reports that it is not ready, the
platform's load balancer sends new callers to those.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

# Silence of the store that means a partition if no daemon of another data
# centre reports either.
PARTITION_TIMEOUT = timedelta(seconds=1.9)
# Maximum age of another daemon's report.
REACHABILITY_TTL = timedelta(seconds=1)
LONG_AGO = timedelta(days=-1)
log = get_log('reach')


class StoreReadiness:
    """Decides whether new callers are better served by other daemons.

    :param follower: table whose answers show whether the store is available.
    :param members: daemons whose reports count.
    """

    def __init__(
        self,
        follower: TableFollower,
        members: MemberView,
        clock: Clock,
    ) -> None:
        """Start ready, without any report."""
        self._follower = follower
        self._members = members
        self._clock = clock
        self._store_reported_at = LONG_AGO
        self._remote_reported_at = LONG_AGO
        self._ready = True

    def on_report(self, sender: Member, *, hears_store: bool) -> None:
        """Record a report of another daemon.

        :param hears_store: whether the store answers that daemon.
        """
        now = self._clock.elapsed()
        if hears_store:
            self._store_reported_at = now
        if sender.data_centre != self._members.own.data_centre:
            self._remote_reported_at = now

    def is_ready(self) -> bool:
        """Return whether this daemon serves new callers as well as others do.

        While the store is down for all daemons, none serves callers better, so
        this one stays ready.
        """
        reason = self._find_reason()
        if self._ready and reason:
            log.warning(
                'Not ready: new callers are better served by other daemons.',
                reason=reason,
                silent_seconds=self._follower.time_since_answer.total_seconds(),
            )
        elif reason == '' and not self._ready:
            log.info('Ready for new callers again.')
        self._ready = reason == ''
        return self._ready

    def _find_reason(self) -> str:
        if not self._follower.persistently_unavailable:
            return ''
        now = self._clock.elapsed()
        if now - self._store_reported_at < REACHABILITY_TTL:
            return 'other daemons reach the store'
        isolated = now - self._remote_reported_at >= REACHABILITY_TTL
        if (
            self._follower.time_since_answer > PARTITION_TIMEOUT
            and isolated
            and self._has_remote_members()
        ):
            return 'data centre is partitioned'
        return ''

    def _has_remote_members(self) -> bool:
        own = self._members.own.data_centre
        return any(
            member.data_centre != own for member in self._members.list_live()
        )
