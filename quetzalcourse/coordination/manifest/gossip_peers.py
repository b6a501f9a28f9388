"""Choice of the peers to which a change is sent at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from quetzalcourse.coordination.ports import MemberView
    from quetzalcourse.state.members import Member

LOCAL_PEERS = 3
REMOTE_PEERS = 1


def choose_gossip_peers(members: MemberView, random: Random) -> list[Member]:
    """Choose the peers to send a change to; they pass it on to the rest.

    :returns: a few daemons of the own data centre and one elsewhere.
    """
    data_centre = members.own.data_centre
    others = [member for member in members.list_live() if member != members.own]
    local = [member for member in others if member.data_centre == data_centre]
    remote = [member for member in others if member.data_centre != data_centre]
    return [
        *random.sample(local, min(LOCAL_PEERS, len(local))),
        *random.sample(remote, min(REMOTE_PEERS, len(remote))),
    ]
