"""Leader election: renews or acquires a lease as long as the daemon runs."""

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
    """Return a daemon's rank among the contenders for a lease.

    :param key: name of the lease.
    :param live: daemons that may contend for it.
    """
    own_weight = rendezvous_weight(key, own)
    return sum(rendezvous_weight(key, member) < own_weight for member in live)


def choose_candidates(key: str, live: list[Member]) -> list[Member]:
    """List the contenders that poll a lease frequently."""
    ranked = sorted(live, key=lambda member: rendezvous_weight(key, member))
    return ranked[:ACTIVE_CANDIDATES]


def rendezvous_weight(key: str, member: Member) -> int:
    """Compute a daemon's rendezvous weight, the same on every daemon."""
    text = f'{key} {member.incarnation}'
    return xxhash.xxh32_intdigest(text.encode())


class LeaderElector:
    """Renews a lease, or polls until it can be acquired.

    If all daemons polled every lease frequently, the store's reads would grow
    with the number of daemons. So a few that all daemons agree on poll
    frequently, and the rest so rarely that their total cost does not depend on
    their number.

    :param members: the live daemons, among which this one is ranked.
    :param data_centre: data centre of the contenders, or empty for any.
    """

    def __init__(
        self,
        lease: Lease,
        members: MemberView,
        clock: Clock,
        counters: Counters,
        data_centre: str = '',
    ) -> None:
        """Keep the components; the lease is not held yet."""
        self.lease = lease
        self._members = members
        self._clock = clock
        self._counters = counters
        self._data_centre = data_centre
        self._state = LeaseState.nobody
        self._stopped = False
        self._listeners: list[Callable[[], None]] = []

    def on_held(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever this daemon acquires the lease."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Renew or try to acquire the lease until cancelled."""
        while True:
            if not self._stopped:
                await self.lease.acquire_or_renew()
            self.publish()
            await self._clock.sleep(self.get_poll_interval())

    def stop_renewing(self) -> None:
        """Stop renewing and contending; a held lease expires or is released."""
        self._stopped = True

    async def release(self) -> None:
        """Release the lease, so that the next holder can start at once."""
        await self.lease.release()
        self.publish()

    def get_poll_interval(self) -> timedelta:
        """Return the time until the next renewal or poll."""
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
        """Publish the state of the lease in the metrics."""
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
            lease_log.info('This daemon holds the lease.')
            for listener in self._listeners:
                listener()
        else:
            lease_log.info(
                'Another daemon holds the lease.', holder=status.holder
            )
