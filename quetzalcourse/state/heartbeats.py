"""Heartbeat messages of the SWIM-style membership protocol of daemons."""

from __future__ import annotations

import enum

import msgspec

from quetzalcourse.state.members import Member


class MemberStatus(enum.IntEnum):
    """Status of a daemon; of two, the higher one takes precedence."""

    alive = 0
    suspect = 1
    gone = 2


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Membership update about one daemon.

    :param counter: incremented by the daemon itself with each refutation or
        announcement; of two updates, the higher counter takes precedence.
    :param standing: status of the daemon.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    leaving: bool
    counter: int
    standing: MemberStatus

    def to_member(self) -> Member:
        """Return the daemon that the update is about."""
        return Member(
            self.vm,
            self.incarnation,
            self.data_centre,
            self.address,
            self.leaving,
        )

    def supersedes(self, other: MemberUpdate) -> bool:
        """Return whether it replaces another update about the same daemon."""
        precedence = (self.counter, self.standing)
        return precedence > (other.counter, other.standing)


def build_update(
    member: Member, counter: int, standing: MemberStatus
) -> MemberUpdate:
    """Build the update about a daemon."""
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
    """Type of a heartbeat message."""

    ping = 0
    answer = 1
    relay = 2
    view = 3
    view_request = 4


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """Heartbeat message.

    :param counter: counter of the sender itself.
    :param manifest: manifest version in force at the sender.
    :param keys: hash of the key changes that the sender has.
    :param view: hash of the sender's membership view.
    :param changes: updates about other daemons.
    :param subject: for a relayed ping, address of the daemon to ping or of
        the one that answered.
    :param hashes: hash of the view of each data centre, for a view request.
    :param news_age: milliseconds since the last read of the store by any
        daemon that the sender knows of, -1 for never.
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
