"""Daemons that run batches and share upstreams, for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.coordination.batches.home_news import HomeNews
from quetzalcourse.coordination.batches.sharing import SlotShares
from quetzalcourse.state.members import Member
from quetzalcourse.tests.peers import FakeMembers, FakeNetwork

if TYPE_CHECKING:
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.tests.clocks import FakeClock

HOMES = tuple(
    Member(f'home-{name}', f'home-{name}-run', 'hall-a', f'home-{name}:1')
    for name in 'abc'
)


class FixedHomes:
    """Homes that a test decides."""

    def __init__(self, *others: Member) -> None:
        """Keep the others."""
        self._others = others

    def list_others(self) -> list[Member]:
        """List the others."""
        return list(self._others)


def build_shares(
    pool: Pool,
    clock: FakeClock,
    number: int = 0,
    count: int = 1,
    network: FakeNetwork | None = None,
) -> tuple[SlotShares, HomeNews]:
    """Build what one home knows of the others' slots.

    :param number: which of the homes it is.
    :param count: how many homes there are.
    """
    own = HOMES[number]
    everyone = HOMES[:count]
    peers = (network or FakeNetwork()).join(own)
    shares = SlotShares(FakeMembers(own, list(everyone)), pool, clock)
    others = FixedHomes(*(one for one in everyone if one != own))
    news = HomeNews(shares, pool, others, peers, clock)  # type: ignore
    return shares, news
