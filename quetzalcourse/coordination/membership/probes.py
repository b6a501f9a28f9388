"""Heartbeats that wait for an answer, and the choice of the next target."""

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
    """A heartbeat that has not been answered yet.

    :param relayed: whether other daemons were asked to probe the target.
    """

    target: Member
    sent_at: timedelta
    relayed: bool = False


class Probes:
    """Tracks heartbeats until they are answered or fail.

    :param probe_timeout: time for a direct answer; indirect probes then get as
        much again.
    """

    def __init__(self, probe_timeout: timedelta) -> None:
        """Start with no open probe."""
        self._probe_timeout = probe_timeout
        self._open: dict[str, Probe] = {}
        self._requesters: dict[str, list[Member]] = {}

    def start(self, target: Member, now: timedelta) -> None:
        """Track a heartbeat, unless the target's previous one is still open."""
        if target.incarnation not in self._open:
            self._open[target.incarnation] = Probe(target, now)

    def resolve(self, incarnation: str) -> None:
        """Close the probe of a daemon that answered."""
        self._open.pop(incarnation, None)

    def shift(self, pause: timedelta) -> None:
        """Exclude a pause of this process from every wait."""
        for probe in self._open.values():
            probe.sent_at += pause

    def take_overdue(self, now: timedelta) -> list[Member]:
        """List, once each, the targets that other daemons should probe."""
        overdue = [
            probe
            for probe in self._open.values()
            if not probe.relayed and now - probe.sent_at >= self._probe_timeout
        ]
        for probe in overdue:
            probe.relayed = True
        return [probe.target for probe in overdue]

    def take_failed(self, now: timedelta) -> list[Member]:
        """Close the probes that indirect probes did not answer either."""
        failed = [
            probe.target
            for probe in self._open.values()
            if now - probe.sent_at >= self._probe_timeout * 2
        ]
        for target in failed:
            self._open.pop(target.incarnation)
        return failed

    def add_requester(self, requester: Member, address: str) -> None:
        """Remember a daemon that asked for a probe of an address."""
        requesters = self._requesters.setdefault(address, [])
        if len(requesters) < MAX_REQUESTERS:
            requesters.append(requester)
        # Addresses that never answer would stay forever; the oldest one goes.
        if len(self._requesters) > MAX_SUBJECTS:
            self._requesters.pop(next(iter(self._requesters)))

    def take_requesters(self, address: str) -> list[Member]:
        """Take the daemons that asked for a probe of an address."""
        return self._requesters.pop(address, [])


class Rotation:
    """Chooses each member once per round, in random order.

    Purely random choices may leave a daemon unprobed for long; rounds bound the
    time until a dead one is noticed.
    """

    def __init__(self, random: Random) -> None:
        """Start a new round at the first choice."""
        self._random = random
        self._remaining: list[str] = []

    def choose(self, members: list[Member], own: Member) -> Member | None:
        """Choose the next member.

        :param members: candidates.
        :param own: this daemon, which is never chosen.
        """
        by_incarnation = {
            member.incarnation: member
            for member in members
            if member.incarnation != own.incarnation
        }
        if not by_incarnation:
            return None
        while True:
            if not self._remaining:
                self._remaining = sorted(by_incarnation)
                self._random.shuffle(self._remaining)
            chosen = by_incarnation.get(self._remaining.pop())
            if chosen is not None:
                return chosen
