"""Membership: which daemons are live, by heartbeats to random peers."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.membership.probes import Probes, Rotation
from quetzalcourse.coordination.membership.roster import Roster
from quetzalcourse.log import get_log
from quetzalcourse.state.heartbeats import (
    MemberUpdate,
    Heartbeat,
    HeartbeatKind,
    MemberStatus,
    build_update,
)
from quetzalcourse.state.members import Member, Topic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters

CHANGES_PER_MESSAGE = 8
CHANGES_PER_VIEW = 40
RELAYS = 3
PAUSE_FACTOR = 2.5
log = get_log('membership')


@dataclass(frozen=True, slots=True)
class MembershipPlan:
    """Rates and patience of the heartbeats.

    :param tick: time between two heartbeats within the data centre.
    :param remote_ticks: ticks between two heartbeats to other data centres.
    :param answer_within: time after which a heartbeat counts as unanswered.
    :param suspicion: time that a suspect has to refute.
    :param view_wait: least time between two requests for a whole view.
    """

    tick: timedelta = timedelta(milliseconds=500)
    remote_ticks: int = 4
    answer_within: timedelta = timedelta(seconds=1)
    suspicion: timedelta = timedelta(seconds=4)
    view_wait: timedelta = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class Digest:
    """What a daemon holds, so that others notice a difference.

    :param manifest: version in force.
    :param keys: hash of the known key changes.
    :param news_age: age of the newest word from the store, if there was any.
    """

    manifest: int = 0
    keys: int = 0
    news_age: timedelta | None = None


class Membership:
    """Keeps the list of live daemons.

    :param own: this daemon.
    :param random: source of every random choice.
    :ivar tell: tells what this daemon holds, for each heartbeat.
    """

    def __init__(
        self,
        own: Member,
        peers: Peers,
        clock: Clock,
        random: Random,
        counters: Counters,
        plan: MembershipPlan | None = None,
    ) -> None:
        """Begin alone."""
        self.own = own
        self.tell: Callable[[], Digest] = Digest
        self._peers = peers
        self._clock = clock
        self._random = random
        self._counters = counters
        self._plan = plan or MembershipPlan()
        self._counter = 1
        self._roster = Roster()
        self._probes = Probes(self._plan.answer_within)
        self._near = Rotation(random)
        self._far = Rotation(random)
        self._seeds: tuple[str, ...] = ()
        self._ticks = 0
        self._ticked = clock.elapsed()
        self._agreed = clock.elapsed()
        self._live: list[Member] = [own]
        self._listeners: list[Callable[[], None]] = []
        self._own_listeners: list[Callable[[Member], None]] = []
        self._digest_listeners: list[Callable[[Member, Digest], None]] = []
        self._announce(own)
        peers.subscribe(Topic.heartbeat, self._receive)

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List the live daemons, this one included."""
        if not data_centre:
            return list(self._live)
        return [
            member for member in self._live if member.data_centre == data_centre
        ]

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever the list of live daemons changed."""
        self._listeners.append(listener)

    def on_digest(self, listener: Callable[[Member, Digest], None]) -> None:
        """Call a listener with what each heartbeat says of its sender."""
        self._digest_listeners.append(listener)

    def seed(self, addresses: Iterable[str]) -> None:
        """Name addresses at which daemons may be; this evicts nobody."""
        self._seeds = tuple(sorted(set(addresses) - {self.own.address}))

    def note_leaving(self, addresses: Iterable[str]) -> None:
        """Mark daemons whose VMs the platform is about to take away.

        :param addresses: where they listen for other daemons.
        """
        leaving = set(addresses)
        for change in self._roster.list_standing():
            if change.address in leaving and not change.leaving:
                member = replace(change.to_member(), leaving=True)
                self._learn(
                    build_update(member, change.counter + 1, change.standing),
                    self._clock.elapsed(),
                )
        self._refresh()

    def on_own(self, listener: Callable[[Member], None]) -> None:
        """Call a listener whenever the own member changed."""
        self._own_listeners.append(listener)

    def announce_leaving(self) -> None:
        """Tell the others that this daemon began its graceful shutdown."""
        if not self.own.leaving:
            self._announce(replace(self.own, leaving=True))

    def announce_gone(self) -> None:
        """Tell some daemons that this one ends now."""
        self._counter += 1
        change = build_update(self.own, self._counter, MemberStatus.gone)
        others = [peer for peer in self._live if peer != self.own]
        for peer in self._choose(others, RELAYS):
            self._send(peer, HeartbeatKind.answer, changes=[change])

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self._ticked = self._clock.elapsed()
        while True:
            self.tick()
            await self._clock.sleep(self._plan.tick)

    def tick(self) -> None:
        """Judge silences and send the heartbeats that are due."""
        now = self._clock.elapsed()
        gap = now - self._ticked
        self._ticked = now
        self._ticks += 1
        if gap > self._plan.tick * PAUSE_FACTOR:
            # This process stood still, so answers that came meanwhile are
            # still unread. Judging others now would evict live daemons in
            # bulk after each own pause.
            self._roster.shift(gap)
            self._probes.shift(gap)
            self._agreed += gap
            self._counters.add('own_pauses')
        else:
            self._judge(now)
        self._send_due(now)

    def _judge(self, now: timedelta) -> None:
        for silent in self._probes.take_unanswered(now):
            helpers = [peer for peer in self._live if peer != self.own]
            for helper in self._choose(helpers, RELAYS):
                self._send(helper, HeartbeatKind.relay, subject=silent.address)
        for failed in self._probes.take_failed(now):
            if self._roster.judge(failed, MemberStatus.suspect, now):
                self._counters.add('suspicions')
                self._ping(failed, now)
        if self._roster.expire(self._plan.suspicion, now):
            self._refresh()

    def _send_due(self, now: timedelta) -> None:
        centre = self.own.data_centre
        near = self._near.choose(
            [peer for peer in self._live if peer.data_centre == centre],
            self.own,
        )
        if near is not None:
            self._ping(near, now)
        if self._ticks % self._plan.remote_ticks == 1 or not near:
            far = self._far.choose(
                [peer for peer in self._live if peer.data_centre != centre],
                self.own,
            )
            if far is not None:
                self._ping(far, now)
            self._try_seed()

    def _try_seed(self) -> None:
        known = {member.address for member in self._live}
        unknown = [seed for seed in self._seeds if seed not in known]
        for address in self._choose(unknown, 1):
            target = Member('', '', '', address)
            self._send(target, HeartbeatKind.ping)

    def _ping(self, target: Member, now: timedelta) -> None:
        self._probes.ask(target, now)
        doubts = self._list_doubts(target)
        self._send(target, HeartbeatKind.ping, changes=doubts)

    def _list_doubts(self, member: Member) -> list[MemberUpdate]:
        """List what a daemon has to refute if it hears this."""
        held = self._roster.find(member.incarnation)
        return [held] if held is not None and held.standing else []

    def _receive(self, sender: Member, content: bytes) -> None:
        try:
            heartbeat = msgspec.msgpack.decode(content, type=Heartbeat)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._counters.add('peer_messages_dropped', reason='heartbeat')
            return
        if sender.incarnation == self.own.incarnation:
            return
        now = self._clock.elapsed()
        changed = self._hear(sender, heartbeat.counter, now)
        for change in heartbeat.changes:
            changed = self._learn(change, now) or changed
        if changed:
            self._refresh()
        self._answer(sender, heartbeat, now)
        digest = Digest(
            heartbeat.manifest, heartbeat.keys, unpack_age(heartbeat.news_age)
        )
        for listener in self._digest_listeners:
            listener(sender, digest)

    def _hear(self, sender: Member, counter: int, now: timedelta) -> bool:
        """Take a message from a daemon itself as the best news of it."""
        self._probes.settle(sender.incarnation)
        for requester in self._probes.take_requesters(sender.address):
            self._send(
                requester, HeartbeatKind.answer, subject=sender.incarnation
            )
        changed = self._roster.merge(
            build_update(sender, counter, MemberStatus.alive), now
        )
        held = self._roster.find(sender.incarnation)
        if held is not None and held.standing is not MemberStatus.gone:
            changed = self._end_replaced(sender, now) or changed
        return changed

    def _end_replaced(self, sender: Member, now: timedelta) -> bool:
        # Only one process can listen on an address. Without this the run
        # before a VM's replacement would count as live until probes failed,
        # and they don't fail while its successor answers.
        replaced = [
            change.to_member()
            for change in self._roster.list_standing()
            if change.address == sender.address
            and change.incarnation != sender.incarnation
        ]
        for member in replaced:
            self._roster.judge(member, MemberStatus.gone, now)
        return bool(replaced)

    def _learn(self, change: MemberUpdate, now: timedelta) -> bool:
        if change.incarnation == self.own.incarnation:
            self._refute(change)
            return False
        if change.address == self.own.address:
            return False
        return self._roster.merge(change, now)

    def _refute(self, change: MemberUpdate) -> None:
        if change.counter < self._counter:
            return
        told_to_leave = change.leaving and not self.own.leaving
        if change.standing or told_to_leave:
            self._counter = change.counter
            self._announce(replace(self.own, leaving=change.leaving))
            self._counters.add('refutations')

    def _answer(
        self,
        sender: Member,
        heartbeat: Heartbeat,
        now: timedelta,
    ) -> None:
        kind = heartbeat.kind
        if kind is HeartbeatKind.ping:
            doubts = self._list_doubts(sender)
            self._send(sender, HeartbeatKind.answer, changes=doubts)
        elif kind is HeartbeatKind.answer and heartbeat.subject:
            self._probes.settle(heartbeat.subject)
        elif kind is HeartbeatKind.relay:
            self._probes.ask_for(sender, heartbeat.subject)
            target = Member('', '', '', heartbeat.subject)
            self._send(target, HeartbeatKind.ping)
        elif kind is HeartbeatKind.view_request:
            self._send_view(sender, heartbeat.hashes)
        if kind in {HeartbeatKind.ping, HeartbeatKind.answer}:
            self._compare_view(sender, heartbeat.view, now)

    def _compare_view(self, sender: Member, view: int, now: timedelta) -> None:
        if view == self._roster.hash_whole():
            self._agreed = now
            return
        # News on its way makes lists differ for a moment; only a difference
        # that lasts, or a list that has just begun, is worth a whole view.
        wait = self._plan.view_wait * (1 + self._random.random())
        alone = len(self._live) <= 2
        if alone or now - self._agreed > wait:
            self._agreed = now
            self._send(
                sender,
                HeartbeatKind.view_request,
                hashes=self._roster.hash_parts(),
            )

    def _send_view(self, receiver: Member, hashes: dict[str, int]) -> None:
        different = self._roster.list_different(hashes)
        for start in range(0, len(different), CHANGES_PER_VIEW):
            chunk = different[start : start + CHANGES_PER_VIEW]
            self._send(receiver, HeartbeatKind.view, changes=chunk)

    def _send(
        self,
        receiver: Member,
        kind: HeartbeatKind,
        changes: list[MemberUpdate] | None = None,
        subject: str = '',
        hashes: dict[str, int] | None = None,
    ) -> None:
        digest = self.tell()
        news = changes or []
        if kind in {HeartbeatKind.ping, HeartbeatKind.answer}:
            news = news + self._roster.take_rumours(CHANGES_PER_MESSAGE)
        heartbeat = Heartbeat(
            kind,
            self._counter,
            digest.manifest,
            digest.keys,
            self._roster.hash_whole(),
            news,
            subject,
            hashes or {},
            pack_age(digest.news_age),
        )
        content = msgspec.msgpack.encode(heartbeat)
        self._peers.send(receiver, Topic.heartbeat, content)

    def _announce(self, own: Member) -> None:
        """Raise the own counter, so that the news beats what is told."""
        self.own = own
        for listener in self._own_listeners:
            listener(own)
        self._counter += 1
        change = build_update(own, self._counter, MemberStatus.alive)
        self._roster.record(change, self._clock.elapsed())
        self._refresh()

    def _refresh(self) -> None:
        standing = self._roster.list_standing()
        live = sorted(
            (change.to_member() for change in standing),
            key=lambda member: member.incarnation,
        )
        if live == self._live:
            return
        lost = len(self._live) - len(live)
        self._live = live
        self._counters.set('live_members', len(live))
        log.info('Members changed.', live=len(live), lost=max(lost, 0))
        for listener in self._listeners:
            listener()

    def _choose(self, candidates: list, count: int) -> list:
        return self._random.sample(candidates, min(count, len(candidates)))


def pack_age(age: timedelta | None) -> int:
    """Write an age for a heartbeat, in milliseconds, -1 for none."""
    return -1 if age is None else int(age / timedelta(milliseconds=1))


def unpack_age(age: int) -> timedelta | None:
    """Read an age from a heartbeat."""
    return None if age < 0 else timedelta(milliseconds=age)
