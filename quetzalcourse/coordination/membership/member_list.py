"""List of known daemons, merged from their own and others' reports."""

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
    """Latest change of one daemon.

    :param since: when it was recorded, by the local monotonic clock.
    """

    change: MemberUpdate
    since: timedelta


@dataclass(slots=True)
class PendingGossip:
    """Change that is still being disseminated.

    :param remaining: number of messages that it is still added to.
    """

    change: MemberUpdate
    remaining: int


class MemberList:
    """Merges changes of daemons, in whichever order they arrive."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.entries: dict[str, Entry] = {}
        self._pending_gossip: dict[str, PendingGossip] = {}
        self._hashes: dict[str, int] | None = None

    def find(self, incarnation: str) -> MemberUpdate | None:
        """Find the latest change of a daemon."""
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
        """Store a change unconditionally and disseminate it."""
        self.entries[change.incarnation] = Entry(change, now)
        count = len(self.entries)
        remaining = RETRANSMIT_FACTOR * math.ceil(math.log2(count + 1))
        self._pending_gossip[change.incarnation] = PendingGossip(
            change, remaining
        )
        self._hashes = None

    def merge(self, change: MemberUpdate, now: timedelta) -> bool:
        """Merge a change if it supersedes the known one.

        Others may have lost a daemon that still answers here, as after a
        partition. Their report that it is gone therefore only makes it a
        suspect, unless it is one here already or has announced that it leaves.

        :returns: whether anything changed.
        """
        entry = self.entries.get(change.incarnation)
        gone = change.standing is MemberStatus.gone
        if entry is None:
            if not gone:
                self.record(change, now)
            return not gone
        known = entry.change
        if not change.supersedes(known):
            return False
        if gone and known.standing is MemberStatus.alive and not change.leaving:
            change = build_update(
                change.to_member(), change.counter, MemberStatus.suspect
            )
        self.record(change, now)
        return True

    def escalate(
        self, member: Member, standing: MemberStatus, now: timedelta
    ) -> bool:
        """Raise the standing of a daemon on this daemon's own evidence.

        :returns: whether anything changed.
        """
        known = self.find(member.incarnation)
        if known is None or known.standing >= standing:
            return False
        self.record(
            build_update(known.to_member(), known.counter, standing), now
        )
        return True

    def expire(self, suspicion_timeout: timedelta, now: timedelta) -> bool:
        """Mark suspects as gone after a timeout, and drop those long gone.

        :param suspicion_timeout: time that a suspect has to refute.
        """
        changed = False
        for incarnation, entry in tuple(self.entries.items()):
            age = now - entry.since
            standing = entry.change.standing
            if standing is MemberStatus.suspect and age >= suspicion_timeout:
                member = entry.change.to_member()
                changed = (
                    self.escalate(member, MemberStatus.gone, now) or changed
                )
            elif standing is MemberStatus.gone and age >= GONE_RETENTION:
                self.entries.pop(incarnation)
        return changed

    def shift(self, pause: timedelta) -> None:
        """Exclude a pause of this process from every age."""
        for entry in self.entries.values():
            entry.since += pause

    def take_gossip(self, count: int) -> list[MemberUpdate]:
        """Take the changes that were sent least often."""
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
        """Hash the list of each data centre; equal lists have equal hashes."""
        if self._hashes is None:
            self._hashes = _hash_data_centres(self.list_present())
        return self._hashes

    def hash_all(self) -> int:
        """Hash the list of all data centres."""
        combined = 0
        for part in self.hash_data_centres().values():
            combined ^= part
        return combined

    def list_different(self, hashes: dict[str, int]) -> list[MemberUpdate]:
        """List the changes of the data centres whose hashes differ."""
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
