"""Which daemons take over a batch whose owner is gone, in their order."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.ownership import rendezvous_key

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.state.members import Member

# Machines below this share of the strongest one's processor time run no batch
# while a stronger one lives.
HIGH_CAPACITY_SHARE = 0.75


def list_high_capacity(members: Sequence[Member]) -> list[Member]:
    """List the members whose machines are among the strongest."""
    strongest = max((one.cores for one in members), default=0)
    return [
        one for one in members if one.cores >= strongest * HIGH_CAPACITY_SHARE
    ]


def rank_successors(
    batch: str,
    owner: str,
    members: Sequence[Member],
) -> list[Member]:
    """Sort the daemons by who takes a batch over first.

    Daemons with the same list agree without a message.

    :param owner: run of the daemon that owned the batch.
    :param members: live daemons; one that is silent for less than its time
        is among them.
    """
    others = [one for one in members if one.incarnation != owner]
    strong = {one.incarnation for one in list_high_capacity(others)}
    weigh = partial(rendezvous_key, batch)
    return sorted(
        others, key=lambda one: (one.incarnation not in strong, weigh(one))
    )
