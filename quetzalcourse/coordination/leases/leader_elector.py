"""Pursues a lease for as long as a daemon runs, and tells who holds it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import xxhash

from quetzalcourse.log import get_log
from quetzalcourse.state.lease import LeaseState

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.leases.lease import Lease
    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member

RENEWALS_PER_TERM = 4
ACTIVE_CANDIDATES = 3
POLLS_PER_TERM = 10
STANDBY_POLL_PER_DAEMON = timedelta(seconds=2)
log = get_log('lease')


def rank_member(key: str, own: Member, live: list[Member]) -> int:
    """Tell a daemon's place among the contenders for a lease.

    :param key: name of the lease.
    :param live: daemons that may contend for it.
    """

    own_weight = rendezvous_weight(key, own)
    return sum(rendezvous_weight(key, member) < own_weight for member in live)


def choose_candidates(key: str, live: list[Member]) -> list[Member]:
    """List the contenders that watch a lease closely."""
    ranked = sorted(live, key=lambda member: rendezvous_weight(key, member))
    return ranked[:ACTIVE_CANDIDATES]


def rendezvous_weight(key: str, member: Member) -> int:
    """Give a daemon a weight that every daemon works out alike."""
    text = f'{key} {member.incarnation}'
    return xxhash.xxh32_intdigest(text.encode())


class LeaderElector:
    """Renews a lease, or waits for it.

    Were all daemons to watch every lease closely, the store's reads would
    grow with the daemons. So a few that all agree on watch closely, and the
    rest so seldom that together they cost the same at any number.

    :param members: the live daemons, which this one's rank is found among.
    :param data_centre: where contenders must be, or empty for anywhere.
    """

    def __init__(
        self,
        lease: Lease,
        members: MemberView,
        clock: Clock,
        counters: Counters,
        data_centre: str = '',
    ) -> None:
        """Keep the parts; the lease is not held yet."""
        self.lease = lease
        self._members = members
        self._clock = clock
        self._counters = counters
        self._data_centre = data_centre
        self._state = LeaseState.nobody
        self._stopped = False
        self._listeners: list[Callable[[], None]] = []

    def on_held(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever this daemon has taken the lease."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Pursue the lease until the task is cancelled."""
        while True:
            if not self._stopped:
                await self.lease.acquire_or_renew()
            self.publish()
            await self._clock.sleep(self.get_poll_interval())

    def stop_renewing(self) -> None:
        """Pursue the lease no more; a held one runs out or is released."""
        self._stopped = True

    async def release(self) -> None:
        """Give the lease up, so that the next holder starts at once."""
        await self.lease.release()
        self.publish()

    def get_poll_interval(self) -> timedelta:
        """Tell how long to wait before the lease is looked at again."""
        terms = self.lease.terms
        if self.lease.held:
            return terms.term / RENEWALS_PER_TERM
        live = self._members.list_live(self._data_centre)
        if (
            rank_member(self.lease.key, self._members.own, live)
            < ACTIVE_CANDIDATES
        ):
            return terms.term / POLLS_PER_TERM
        return max(
            terms.term / POLLS_PER_TERM, STANDBY_POLL_PER_DAEMON * len(live)
        )

    def publish(self) -> None:
        """Show in the metrics who holds the lease."""
        status = self.lease.describe()
        for state in LeaseState:
            self._counters.set(
                'lease_state',
                float(state is status.state),
                lease=status.lease,
                state=state.value,
            )
        self._counters.set('lease_token', status.token, lease=status.lease)
        if status.state is not self._state:
            self._state = status.state
            self._on_change()

    def _on_change(self) -> None:
        status = self.lease.describe()
        lease_log = log.bind(lease=status.lease, token=status.token)
        if status.state is LeaseState.nobody:
            lease_log.warning(
                'No daemon holds the lease.',
                silent_seconds=status.silent_seconds,
            )
        elif status.state is LeaseState.held:
            lease_log.info('Lease is held here.')
            for listener in self._listeners:
                listener()
        else:
            lease_log.info('Lease is held elsewhere.', holder=status.holder)
