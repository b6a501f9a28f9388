"""Whether new callers are better served by other daemons.

The load that this answers: a daemon, or a whole data centre, is cut from the
store for some seconds while its callers still reach it. It must refuse every
batch, and steps that are due seconds later wait for the cut to end, though
daemons elsewhere could take them. While it says that it is not ready, the
platform's balancer brings new callers to those.
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

# Silence of the store and of all other daemons that means a partition.
PARTITION_TIMEOUT = timedelta(seconds=1.9)
# Age until which another daemon's report counts.
REACHABILITY_TTL = timedelta(seconds=1)
LONG_AGO = timedelta(days=-1)
log = get_log('reach')


class StoreReadiness:
    """What others say while the store does not answer this daemon.

    :param follower: table by which the store's answers are judged.
    :param members: daemons that may say something.
    """

    def __init__(
        self,
        follower: TableFollower,
        members: MemberView,
        clock: Clock,
    ) -> None:
        """Begin without a report from anyone."""
        self._follower = follower
        self._members = members
        self._clock = clock
        self._store_reported_at = LONG_AGO
        self._remote_reported_at = LONG_AGO
        self._ready = True

    def on_report(self, sender: Member, *, hears_store: bool) -> None:
        """Take the report of another daemon.

        :param hears_store: whether the store answers that one.
        """
        now = self._clock.elapsed()
        if hears_store:
            self._store_reported_at = now
        if sender.data_centre != self._members.own.data_centre:
            self._remote_reported_at = now

    def is_ready(self) -> bool:
        """Tell whether new callers are served here as well as elsewhere.

        While the store is down for everyone no other daemon is better off,
        so this one goes on.
        """
        reason = self._find_reason()
        if self._ready and reason:
            log.warning(
                'Callers are sent elsewhere.',
                reason=reason,
                silent_seconds=self._follower.time_since_answer.total_seconds(),
            )
        elif reason == '' and not self._ready:
            log.info('Callers are welcome again.')
        self._ready = reason == ''
        return self._ready

    def _find_reason(self) -> str:
        if not self._follower.persistently_unavailable:
            return ''
        now = self._clock.elapsed()
        if now - self._store_reported_at < REACHABILITY_TTL:
            return 'others reach the store'
        isolated = now - self._remote_reported_at >= REACHABILITY_TTL
        if (
            self._follower.time_since_answer > PARTITION_TIMEOUT
            and isolated
            and self._has_remote_members()
        ):
            return 'data centre is cut off'
        return ''

    def _has_remote_members(self) -> bool:
        own = self._members.own.data_centre
        return any(
            member.data_centre != own for member in self._members.list_live()
        )
