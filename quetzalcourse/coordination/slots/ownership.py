"""Assignment of each upstream to the daemon that grants its slots."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.state.members import Member

FALLBACK_DIVISOR = 4


def hash_name(name: str) -> int:
    """Hash a name to the 32 bits that messages carry."""
    return xxhash.xxh32_intdigest(name.encode())


def rank_members(upstream: str, members: Sequence[Member]) -> list[Member]:
    """Sort members by rendezvous hashing, the owner first.

    Daemons with the same member list agree without a message, and a change of
    the list moves only the upstreams of the daemon that joined or left. A
    leaving member owns nothing unless all are leaving.

    :param members: live members of the upstream's data centre.
    """
    return sorted(members, key=partial(rendezvous_key, upstream))


def find_owner(upstream: str, members: Sequence[Member]) -> Member | None:
    """Return the owner of an upstream, ``None`` if there is no member."""
    return min(members, key=partial(rendezvous_key, upstream), default=None)


def count_fallback_slots(slots: int, rank: int, members: int) -> int:
    """Count the slots that a daemon may use while no owner answers.

    All shares together stay below a quarter of the slots (except for upstreams
    with fewer than four), which bounds how far an engine is overcommitted while
    the last owner's allowances are still in use.

    :param rank: position of the daemon in :func:`rank_members`.
    :param members: number of daemons that share.
    """
    shared = max(1, slots // FALLBACK_DIVISOR)
    each, rest = divmod(shared, max(members, 1))
    return each + int(rank < rest)


def rendezvous_key(upstream: str, member: Member) -> tuple[bool, int]:
    """Compute a member's sort key for one upstream; the lowest key owns it."""
    name = f'{upstream}/{member.incarnation}'
    return member.leaving, xxhash.xxh3_64_intdigest(name.encode())
