"""What daemons tell one another of themselves and of others."""

from __future__ import annotations

import enum

import msgspec

from quetzalcourse.state.members import Member


class MemberStatus(enum.IntEnum):
    """What is held of a daemon; of two the higher one wins."""

    alive = 0
    suspect = 1
    gone = 2


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """News of one daemon.

    :param counter: raised by the daemon itself with each refutation or
        announcement; of two changes the higher counter wins.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    leaving: bool
    counter: int
    standing: MemberStatus

    def to_member(self) -> Member:
        """Tell whom the news is about."""
        return Member(
            self.vm,
            self.incarnation,
            self.data_centre,
            self.address,
            self.leaving,
        )

    def supersedes(self, other: MemberUpdate) -> bool:
        """Tell whether this news replaces other news of the same daemon."""
        mine = (self.counter, self.standing)
        return mine > (other.counter, other.standing)


def build_update(
    member: Member, counter: int, standing: MemberStatus
) -> MemberUpdate:
    """Make news of a daemon."""
    return MemberUpdate(
        member.vm,
        member.incarnation,
        member.data_centre,
        member.address,
        member.leaving,
        counter,
        standing,
    )


class HeartbeatKind(enum.IntEnum):
    """What a heartbeat asks for."""

    ping = 0
    answer = 1
    relay = 2
    view = 3
    view_request = 4


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """One heartbeat.

    :param counter: counter of the sender itself.
    :param manifest: version that the sender has in force.
    :param keys: hash of the key changes that the sender knows.
    :param view: hash of the sender's list of daemons.
    :param changes: news of other daemons.
    :param subject: address, for a relay: whom to ask, or who answered.
    :param hashes: hash of the list of each data centre, for a view request.
    :param news_age: milliseconds since the store was last read by anyone the
        sender heard of, -1 for never.
    """

    kind: HeartbeatKind
    counter: int
    manifest: int
    keys: int
    view: int
    changes: list[MemberUpdate] = []
    subject: str = ''
    hashes: dict[str, int] = {}
    news_age: int = -1
