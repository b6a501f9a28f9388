"""Choice of the daemons that hear of news at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.members import Member

NEAR = 3
FAR = 1


def choose_gossip_peers(members: MemberView, random: Random) -> list[Member]:
    """Choose whom to tell news at once; the rest hears it from them.

    :returns: a few daemons of the own data centre and one elsewhere.
    """
    centre = members.own.data_centre
    others = [member for member in members.list_live() if member != members.own]
    near = [member for member in others if member.data_centre == centre]
    far = [member for member in others if member.data_centre != centre]
    return [
        *random.sample(near, min(NEAR, len(near))),
        *random.sample(far, min(FAR, len(far))),
    ]
