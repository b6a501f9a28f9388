"""Heartbeats that wait for an answer, and whom to send the next one to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta
    from random import Random

    from quetzalcourse.state.members import Member

MAX_REQUESTERS = 8
MAX_SUBJECTS = 256


@dataclass(slots=True)
class Probe:
    """A heartbeat that was not answered yet.

    :param relayed: whether others were asked to try.
    """

    target: Member
    sent_at: timedelta
    relayed: bool = False


class Probes:
    """Follows heartbeats until they are answered or fail.

    :param probe_timeout: time for an answer; others then get as long.
    """

    def __init__(self, probe_timeout: timedelta) -> None:
        """Begin with none."""
        self._probe_timeout = probe_timeout
        self._open: dict[str, Probe] = {}
        self._requesters: dict[str, list[Member]] = {}

    def start(self, target: Member, now: timedelta) -> None:
        """Follow a heartbeat, unless one to the same daemon is open."""
        if target.incarnation not in self._open:
            self._open[target.incarnation] = Probe(target, now)

    def resolve(self, incarnation: str) -> None:
        """Take a daemon as having answered."""
        self._open.pop(incarnation, None)

    def shift(self, pause: timedelta) -> None:
        """Leave the length of an own pause out of every wait."""
        for probe in self._open.values():
            probe.sent_at += pause

    def take_overdue(self, now: timedelta) -> list[Member]:
        """List, once each, the targets that others should try."""
        late = [
            probe
            for probe in self._open.values()
            if not probe.relayed and now - probe.sent_at >= self._probe_timeout
        ]
        for probe in late:
            probe.relayed = True
        return [probe.target for probe in late]

    def take_failed(self, now: timedelta) -> list[Member]:
        """Close the probes that nobody's try helped."""
        failed = [
            probe.target
            for probe in self._open.values()
            if now - probe.sent_at >= self._probe_timeout * 2
        ]
        for target in failed:
            self._open.pop(target.incarnation)
        return failed

    def add_requester(self, requester: Member, address: str) -> None:
        """Remember who wants to know whether an address answers."""
        waiting = self._requesters.setdefault(address, [])
        if len(waiting) < MAX_REQUESTERS:
            waiting.append(requester)
        # Addresses that never answer would stay for ever; the oldest go.
        if len(self._requesters) > MAX_SUBJECTS:
            self._requesters.pop(next(iter(self._requesters)))

    def take_requesters(self, address: str) -> list[Member]:
        """List, once, who wanted to know of an address."""
        return self._requesters.pop(address, [])


class Rotation:
    """Chooses every member once, in random order, before any twice.

    A purely random choice leaves some daemon unasked for long; the round
    bounds the time until a silent one is noticed.
    """

    def __init__(self, random: Random) -> None:
        """Begin a new round with the first choice."""
        self._random = random
        self._remaining: list[str] = []

    def choose(self, members: list[Member], own: Member) -> Member | None:
        """Choose the next member.

        :param members: who may be chosen now.
        :param own: who is never chosen.
        """
        by_name = {
            member.incarnation: member
            for member in members
            if member.incarnation != own.incarnation
        }
        if not by_name:
            return None
        while True:
            if not self._remaining:
                self._remaining = sorted(by_name)
                self._random.shuffle(self._remaining)
            chosen = by_name.get(self._remaining.pop())
            if chosen is not None:
                return chosen
