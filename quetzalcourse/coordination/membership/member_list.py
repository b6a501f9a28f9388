"""List of known daemons, built of the news that is told of them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import xxhash

from quetzalcourse.state.heartbeats import (
    MemberUpdate,
    MemberStatus,
    build_update,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalcourse.state.members import Member

GONE_RETENTION = timedelta(minutes=10)
RETRANSMIT_FACTOR = 3


@dataclass(slots=True)
class Entry:
    """What is held of one daemon.

    :param since: when its standing last changed, by the own clock.
    """

    change: MemberUpdate
    since: timedelta


@dataclass(slots=True)
class PendingGossip:
    """News that is still being passed on.

    :param remaining: in how many more messages it goes out.
    """

    change: MemberUpdate
    remaining: int


class MemberList:
    """Merges news of daemons; the order in which it arrives is no matter."""

    def __init__(self) -> None:
        """Begin with nobody."""
        self.entries: dict[str, Entry] = {}
        self._pending_gossip: dict[str, PendingGossip] = {}
        self._hashes: dict[str, int] | None = None

    def find(self, incarnation: str) -> MemberUpdate | None:
        """Find the news that is held of a daemon."""
        entry = self.entries.get(incarnation)
        return entry.change if entry else None

    def list_present(self) -> list[MemberUpdate]:
        """List the daemons that are not gone."""
        return [
            entry.change
            for entry in self.entries.values()
            if entry.change.standing is not MemberStatus.gone
        ]

    def record(self, change: MemberUpdate, now: timedelta) -> None:
        """Hold news as it is, and pass it on."""
        self.entries[change.incarnation] = Entry(change, now)
        count = len(self.entries)
        remaining = RETRANSMIT_FACTOR * math.ceil(math.log2(count + 1))
        self._pending_gossip[change.incarnation] = PendingGossip(
            change, remaining
        )
        self._hashes = None

    def merge(self, change: MemberUpdate, now: timedelta) -> bool:
        """Take news in if it says more than what is held.

        Others may have lost a daemon that is well heard here, as after a
        partition. Their word that it is gone therefore only casts suspicion,
        unless the daemon is suspect here too or said itself that it leaves.

        :returns: whether anything changed.
        """
        entry = self.entries.get(change.incarnation)
        gone = change.standing is MemberStatus.gone
        if entry is None:
            if not gone:
                self.record(change, now)
            return not gone
        held = entry.change
        if not change.supersedes(held):
            return False
        if gone and held.standing is MemberStatus.alive and not change.leaving:
            change = build_update(
                change.to_member(), change.counter, MemberStatus.suspect
            )
        self.record(change, now)
        return True

    def escalate(
        self, member: Member, standing: MemberStatus, now: timedelta
    ) -> bool:
        """Change the standing of a daemon on own evidence.

        :returns: whether the evidence changed anything.
        """
        held = self.find(member.incarnation)
        if held is None or held.standing >= standing:
            return False
        self.record(build_update(held.to_member(), held.counter, standing), now)
        return True

    def expire(self, suspicion: timedelta, now: timedelta) -> bool:
        """Take suspects for gone in time, and forget those long gone.

        :param suspicion: how long a suspect may take to refute.
        """
        changed = False
        for incarnation, entry in tuple(self.entries.items()):
            age = now - entry.since
            standing = entry.change.standing
            if standing is MemberStatus.suspect and age >= suspicion:
                member = entry.change.to_member()
                changed = (
                    self.escalate(member, MemberStatus.gone, now) or changed
                )
            elif standing is MemberStatus.gone and age >= GONE_RETENTION:
                self.entries.pop(incarnation)
        return changed

    def shift(self, pause: timedelta) -> None:
        """Leave the length of an own pause out of every age."""
        for entry in self.entries.values():
            entry.since += pause

    def take_gossip(self, count: int) -> list[MemberUpdate]:
        """Choose the news that was passed on least."""
        chosen = sorted(
            self._pending_gossip.values(),
            key=lambda pending: -pending.remaining,
        )[:count]
        for pending in chosen:
            pending.remaining -= 1
            if not pending.remaining:
                self._pending_gossip.pop(pending.change.incarnation)
        return [pending.change for pending in chosen]

    def hash_data_centres(self) -> dict[str, int]:
        """Hash the list of each data centre; equal lists hash equally."""
        if self._hashes is None:
            self._hashes = _hash_data_centres(self.list_present())
        return self._hashes

    def hash_all(self) -> int:
        """Hash the list of all data centres."""
        whole = 0
        for part in self.hash_data_centres().values():
            whole ^= part
        return whole

    def list_different(self, hashes: dict[str, int]) -> list[MemberUpdate]:
        """List the news of the data centres whose hash is another one."""
        own = self.hash_data_centres()
        return [
            entry.change
            for entry in self.entries.values()
            if hashes.get(entry.change.data_centre)
            != own.get(entry.change.data_centre)
        ]


def _hash_data_centres(changes: Iterable[MemberUpdate]) -> dict[str, int]:
    hashes: dict[str, int] = {}
    for change in changes:
        text = f'{change.incarnation} {change.counter} {change.leaving}'
        digest = xxhash.xxh32_intdigest(text.encode())
        known = hashes.get(change.data_centre, 0)
        hashes[change.data_centre] = known ^ digest
    return hashes
