"""Readiness for new callers of a daemon that the store does not answer."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.coordination.feeds.follower import TableFollower
from quetzalcourse.coordination.feeds.readiness import (
    PARTITION_TIMEOUT,
    StoreReadiness,
)
from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member
from quetzalcourse.tests.clocks import FakeClock

if TYPE_CHECKING:
    from collections.abc import Callable

REPORT_INTERVAL = timedelta(milliseconds=250)
OWN = Member('vm-0', 'vm-0-a', 'hall-a', '10.0.0.1:1')
NEIGHBOUR = Member('vm-1', 'vm-1-a', 'hall-a', '10.0.0.2:1')
OUTSIDER = Member('vm-2', 'vm-2-a', 'hall-b', '10.0.1.1:1')


class FakeMembers:
    """Daemons that were known before the store stopped answering."""

    def __init__(self, *others: Member) -> None:
        """Keep the others."""
        self.own = OWN
        self._others = others

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List the daemons."""
        return [self.own, *self._others]

    def on_change(self, listener: Callable[[], None]) -> None:
        """Never call the listener."""


class UnusedFeed:
    """Feed that is never followed."""


class ReadinessWorld:
    """A daemon whose store has just stopped answering."""

    def __init__(self, *others: Member) -> None:
        """Start at the last answer of the store."""
        self.clock = FakeClock()
        self.follower = TableFollower(
            UnusedFeed(),  # type: ignore[arg-type]
            'op',
            self.clock,
            Counters(),
        )
        self.readiness = StoreReadiness(
            self.follower, FakeMembers(*others), self.clock
        )

    def pass_time(
        self,
        duration: timedelta,
        *answering: Member,
        hears_store: bool = False,
    ) -> bool:
        """Let other daemons report four times a second.

        :returns: whether the daemon is ready at the end.
        """
        end = self.clock.elapsed() + duration
        while self.clock.elapsed() < end:
            self.clock.move(REPORT_INTERVAL)
            for member in answering:
                self.readiness.on_report(member, hears_store=hears_store)
        return self.readiness.is_ready()


LONGER_THAN_TIMEOUT = PARTITION_TIMEOUT + REPORT_INTERVAL


def test_daemon_in_a_partitioned_data_centre_is_not_ready() -> None:
    # A data centre is partitioned from the others and from the store, while its
    # callers still reach it. Each of their batches would be rejected for the
    # length of the partition, though daemons elsewhere could take them.
    world = ReadinessWorld(NEIGHBOUR, OUTSIDER)
    assert not world.pass_time(LONGER_THAN_TIMEOUT, NEIGHBOUR)


def test_daemon_that_the_store_refuses_is_not_ready() -> None:
    # The store refuses one daemon and serves its neighbours.
    world = ReadinessWorld(NEIGHBOUR, OUTSIDER)
    assert not world.pass_time(LONGER_THAN_TIMEOUT, NEIGHBOUR, hears_store=True)


def test_daemon_is_ready_while_the_store_is_down_for_all() -> None:
    # If every daemon reported that it is not ready, lookups would fail too.
    world = ReadinessWorld(NEIGHBOUR, OUTSIDER)
    assert world.pass_time(LONGER_THAN_TIMEOUT, NEIGHBOUR, OUTSIDER)


@pytest.mark.parametrize('others', [(), (NEIGHBOUR,)])
def test_daemon_is_ready_without_members_in_other_data_centres(
    others: tuple[Member, ...],
) -> None:
    # A daemon alone, or with peers in its own data centre only, has no other
    # place to send its callers to.
    assert ReadinessWorld(*others).pass_time(LONGER_THAN_TIMEOUT)


def test_daemon_stays_ready_through_a_short_silence_of_the_store() -> None:
    # A single answer of the store is late or lost.
    world = ReadinessWorld(NEIGHBOUR, OUTSIDER)
    assert world.pass_time(timedelta(seconds=1), NEIGHBOUR, hears_store=True)


def test_reports_of_other_daemons_expire() -> None:
    # The other daemons reached the store, and then it fails for them too: this
    # daemon serves callers as well as any again.
    world = ReadinessWorld(NEIGHBOUR, OUTSIDER)
    assert not world.pass_time(LONGER_THAN_TIMEOUT, OUTSIDER, hears_store=True)
    assert world.pass_time(LONGER_THAN_TIMEOUT, OUTSIDER)
