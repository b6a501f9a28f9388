"""Ranks the daemons that take over a batch of a failed owner."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from quetzalcourse.coordination.slots.ownership import rendezvous_key

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.state.members import Member

# Daemons with less than this share of the most cores of any daemon run no batch
# while a larger one is live.
HIGH_CAPACITY_SHARE = 0.75


def list_high_capacity(members: Sequence[Member]) -> list[Member]:
    """List the members with about as many cores as the largest one."""
    strongest = max((one.cores for one in members), default=0)
    return [
        one for one in members if one.cores >= strongest * HIGH_CAPACITY_SHARE
    ]


def rank_successors(
    batch: str,
    owner: str,
    members: Sequence[Member],
) -> list[Member]:
    """Sort the daemons by the order in which they take a batch over.

    Daemons with the same list of members agree without messages.

    :param owner: incarnation of the daemon that owned the batch.
    :param members: live daemons, with those whose heartbeat timeout has not
        passed yet.
    """
    others = [one for one in members if one.incarnation != owner]
    strong = {one.incarnation for one in list_high_capacity(others)}
    weigh = partial(rendezvous_key, batch)
    return sorted(
        others, key=lambda one: (one.incarnation not in strong, weigh(one))
    )
