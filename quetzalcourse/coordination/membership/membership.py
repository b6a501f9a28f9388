"""SWIM-style membership: live daemons, by heartbeats to random peers."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.membership.probes import Probes, Rotation
from quetzalcourse.coordination.membership.member_list import MemberList
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import MalformedMessageError, decode_msgpack
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
INDIRECT_PROBES = 3
PAUSE_FACTOR = 2.5
log = get_log('membership')


@dataclass(frozen=True, slots=True)
class MembershipTimings:
    """Intervals and timeouts of the heartbeats.

    :param tick: time between two heartbeats within the data centre.
    :param remote_ticks: ticks between two heartbeats to other data centres.
    :param probe_timeout: time after which a heartbeat counts as unanswered.
    :param suspicion_timeout: time that a suspect has to refute.
    :param view_request_interval: minimum time between two requests for a full
        member list.
    """

    tick: timedelta = timedelta(milliseconds=500)
    remote_ticks: int = 4
    probe_timeout: timedelta = timedelta(seconds=1)
    suspicion_timeout: timedelta = timedelta(seconds=4)
    view_request_interval: timedelta = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class Digest:
    """Summary of a daemon's state, by which others notice a difference.

    :param manifest: version in force.
    :param keys: hash of the known key changes.
    :param news_age: age of the latest known read of the store, if there was
        any.
    """

    manifest: int = 0
    keys: int = 0
    news_age: timedelta | None = None


class Membership:
    """Maintains the list of live daemons.

    :param own: this daemon.
    :param random: source of every random choice.
    :ivar build_digest: summarizes this daemon's state for each heartbeat.
    """

    def __init__(
        self,
        own: Member,
        peers: Peers,
        clock: Clock,
        random: Random,
        counters: Counters,
        timings: MembershipTimings | None = None,
    ) -> None:
        """Start with this daemon alone."""
        self.own = own
        self.build_digest: Callable[[], Digest] = Digest
        self._peers = peers
        self._clock = clock
        self._random = random
        self._counters = counters
        self._timings = timings or MembershipTimings()
        self._counter = 1
        self._member_list = MemberList()
        self._probes = Probes(self._timings.probe_timeout)
        self._local_rotation = Rotation(random)
        self._remote_rotation = Rotation(random)
        self._seeds: tuple[str, ...] = ()
        self._ticks = 0
        self._last_tick = clock.elapsed()
        self._views_agreed_at = clock.elapsed()
        self._live: list[Member] = [own]
        self._listeners: list[Callable[[], None]] = []
        self._own_listeners: list[Callable[[Member], None]] = []
        self._digest_listeners: list[Callable[[Member, Digest], None]] = []
        self._publish_own(own)
        peers.subscribe(Topic.heartbeat, self._receive)

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List the live daemons, this one included."""
        if not data_centre:
            return list(self._live)
        return [
            member for member in self._live if member.data_centre == data_centre
        ]

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener for changes of the list of live daemons."""
        self._listeners.append(listener)

    def on_digest(self, listener: Callable[[Member, Digest], None]) -> None:
        """Register a listener for the digests in others' heartbeats."""
        self._digest_listeners.append(listener)

    def replace_seeds(self, addresses: Iterable[str]) -> None:
        """Set the addresses to contact if no live daemon is known there.

        An address that is left out does not remove a daemon from the list.
        """
        self._seeds = tuple(sorted(set(addresses) - {self.own.address}))

    def note_leaving(self, addresses: Iterable[str]) -> None:
        """Mark daemons whose VMs the platform is about to remove.

        :param addresses: where they listen for other daemons.
        """
        leaving = set(addresses)
        for change in self._member_list.list_present():
            if change.address in leaving and not change.leaving:
                member = replace(change.to_member(), leaving=True)
                self._merge_change(
                    build_update(member, change.counter + 1, change.standing),
                    self._clock.elapsed(),
                )
        self._refresh_live()

    def on_own_change(self, listener: Callable[[Member], None]) -> None:
        """Register a listener for changes of this daemon's own record."""
        self._own_listeners.append(listener)

    def announce_leaving(self) -> None:
        """Announce the graceful shutdown of this daemon."""
        if not self.own.leaving:
            self._publish_own(replace(self.own, leaving=True))

    def announce_gone(self) -> None:
        """Tell some daemons that this one terminates now."""
        self._counter += 1
        change = build_update(self.own, self._counter, MemberStatus.gone)
        others = [peer for peer in self._live if peer != self.own]
        for peer in self._sample(others, INDIRECT_PROBES):
            self._send(peer, HeartbeatKind.answer, changes=[change])

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self._last_tick = self._clock.elapsed()
        while True:
            self.tick()
            await self._clock.sleep(self._timings.tick)

    def tick(self) -> None:
        """Check the open probes and send the heartbeats that are due."""
        now = self._clock.elapsed()
        elapsed = now - self._last_tick
        self._last_tick = now
        self._ticks += 1
        if elapsed > self._timings.tick * PAUSE_FACTOR:
            # This process was paused, so answers received meanwhile are still
            # unread. Checking probes now would evict live daemons in bulk after
            # each such pause.
            self._member_list.shift(elapsed)
            self._probes.shift(elapsed)
            self._views_agreed_at += elapsed
            self._counters.add('own_pauses')
        else:
            self._check_probes(now)
        self._send_pings(now)

    def _check_probes(self, now: timedelta) -> None:
        for overdue in self._probes.take_overdue(now):
            relays = [peer for peer in self._live if peer != self.own]
            for relay in self._sample(relays, INDIRECT_PROBES):
                self._send(relay, HeartbeatKind.relay, subject=overdue.address)
        for failed in self._probes.take_failed(now):
            if self._member_list.escalate(failed, MemberStatus.suspect, now):
                self._counters.add('suspicions')
                self._ping(failed, now)
        if self._member_list.expire(self._timings.suspicion_timeout, now):
            self._refresh_live()

    def _send_pings(self, now: timedelta) -> None:
        data_centre = self.own.data_centre
        local = self._local_rotation.choose(
            [peer for peer in self._live if peer.data_centre == data_centre],
            self.own,
        )
        if local is not None:
            self._ping(local, now)
        if self._ticks % self._timings.remote_ticks == 1 or not local:
            remote = self._remote_rotation.choose(
                [
                    peer
                    for peer in self._live
                    if peer.data_centre != data_centre
                ],
                self.own,
            )
            if remote is not None:
                self._ping(remote, now)
            self._ping_seed()

    def _ping_seed(self) -> None:
        known = {member.address for member in self._live}
        unknown = [seed for seed in self._seeds if seed not in known]
        for address in self._sample(unknown, 1):
            target = Member('', '', '', address)
            self._send(target, HeartbeatKind.ping)

    def _ping(self, target: Member, now: timedelta) -> None:
        self._probes.start(target, now)
        suspicions = self._list_suspicions(target)
        self._send(target, HeartbeatKind.ping, changes=suspicions)

    def _list_suspicions(self, member: Member) -> list[MemberUpdate]:
        """List the suspicion of a daemon, for it to refute."""
        known = self._member_list.find(member.incarnation)
        return [known] if known is not None and known.standing else []

    def _receive(self, sender: Member, content: bytes) -> None:
        try:
            heartbeat = decode_msgpack(content, Heartbeat)
        except MalformedMessageError:
            self._counters.add('peer_messages_dropped', reason='heartbeat')
            return
        if sender.incarnation == self.own.incarnation:
            return
        now = self._clock.elapsed()
        changed = self._on_direct_message(sender, heartbeat.counter, now)
        for change in heartbeat.changes:
            changed = self._merge_change(change, now) or changed
        if changed:
            self._refresh_live()
        self._respond(sender, heartbeat, now)
        digest = Digest(
            heartbeat.manifest, heartbeat.keys, unpack_age(heartbeat.news_age)
        )
        for listener in self._digest_listeners:
            listener(sender, digest)

    def _on_direct_message(
        self, sender: Member, counter: int, now: timedelta
    ) -> bool:
        """Mark the sender as alive, and notify those who asked for a probe."""
        self._probes.resolve(sender.incarnation)
        for requester in self._probes.take_requesters(sender.address):
            self._send(
                requester, HeartbeatKind.answer, subject=sender.incarnation
            )
        changed = self._member_list.merge(
            build_update(sender, counter, MemberStatus.alive), now
        )
        known = self._member_list.find(sender.incarnation)
        if known is not None and known.standing is not MemberStatus.gone:
            changed = self._evict_replaced(sender, now) or changed
        return changed

    def _evict_replaced(self, sender: Member, now: timedelta) -> bool:
        # Only one process can listen on an address. Without this, the run on a
        # VM before its replacement would count as live until its probes failed,
        # and they don't fail while the successor answers them.
        replaced = [
            change.to_member()
            for change in self._member_list.list_present()
            if change.address == sender.address
            and change.incarnation != sender.incarnation
        ]
        for member in replaced:
            self._member_list.escalate(member, MemberStatus.gone, now)
        return bool(replaced)

    def _merge_change(self, change: MemberUpdate, now: timedelta) -> bool:
        if change.incarnation == self.own.incarnation:
            self._refute(change)
            return False
        if change.address == self.own.address:
            return False
        return self._member_list.merge(change, now)

    def _refute(self, change: MemberUpdate) -> None:
        if change.counter < self._counter:
            return
        asked_to_leave = change.leaving and not self.own.leaving
        if change.standing or asked_to_leave:
            self._counter = change.counter
            self._publish_own(replace(self.own, leaving=change.leaving))
            self._counters.add('refutations')

    def _respond(
        self,
        sender: Member,
        heartbeat: Heartbeat,
        now: timedelta,
    ) -> None:
        kind = heartbeat.kind
        if kind is HeartbeatKind.ping:
            suspicions = self._list_suspicions(sender)
            self._send(sender, HeartbeatKind.answer, changes=suspicions)
        elif kind is HeartbeatKind.answer and heartbeat.subject:
            self._probes.resolve(heartbeat.subject)
        elif kind is HeartbeatKind.relay:
            self._probes.add_requester(sender, heartbeat.subject)
            target = Member('', '', '', heartbeat.subject)
            self._send(target, HeartbeatKind.ping)
        elif kind is HeartbeatKind.view_request:
            self._send_view(sender, heartbeat.hashes)
        if kind in {HeartbeatKind.ping, HeartbeatKind.answer}:
            self._compare_view(sender, heartbeat.view, now)

    def _compare_view(self, sender: Member, view: int, now: timedelta) -> None:
        if view == self._member_list.hash_all():
            self._views_agreed_at = now
            return
        # Lists differ for a moment while changes spread. A full list is
        # requested only if the difference lasts, or if this daemon has just
        # started.
        wait = self._timings.view_request_interval * (1 + self._random.random())
        alone = len(self._live) <= 2
        if alone or now - self._views_agreed_at > wait:
            self._views_agreed_at = now
            self._send(
                sender,
                HeartbeatKind.view_request,
                hashes=self._member_list.hash_data_centres(),
            )

    def _send_view(self, receiver: Member, hashes: dict[str, int]) -> None:
        different = self._member_list.list_different(hashes)
        for start in range(0, len(different), CHANGES_PER_VIEW):
            batch = different[start : start + CHANGES_PER_VIEW]
            self._send(receiver, HeartbeatKind.view, changes=batch)

    def _send(
        self,
        receiver: Member,
        kind: HeartbeatKind,
        changes: list[MemberUpdate] | None = None,
        subject: str = '',
        hashes: dict[str, int] | None = None,
    ) -> None:
        digest = self.build_digest()
        outgoing = changes or []
        if kind in {HeartbeatKind.ping, HeartbeatKind.answer}:
            outgoing = outgoing + self._member_list.take_gossip(
                CHANGES_PER_MESSAGE
            )
        heartbeat = Heartbeat(
            kind,
            self._counter,
            digest.manifest,
            digest.keys,
            self._member_list.hash_all(),
            outgoing,
            subject,
            hashes or {},
            pack_age(digest.news_age),
        )
        content = msgspec.msgpack.encode(heartbeat)
        self._peers.send(receiver, Topic.heartbeat, content)

    def _publish_own(self, own: Member) -> None:
        """Publish the own record with a counter that beats older records."""
        self.own = own
        for listener in self._own_listeners:
            listener(own)
        self._counter += 1
        change = build_update(own, self._counter, MemberStatus.alive)
        self._member_list.record(change, self._clock.elapsed())
        self._refresh_live()

    def _refresh_live(self) -> None:
        present = self._member_list.list_present()
        live = sorted(
            (change.to_member() for change in present),
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

    def _sample(self, candidates: list, count: int) -> list:
        return self._random.sample(candidates, min(count, len(candidates)))


def pack_age(age: timedelta | None) -> int:
    """Encode an age for a heartbeat, in milliseconds, -1 for none."""
    return -1 if age is None else int(age / timedelta(milliseconds=1))


def unpack_age(age: int) -> timedelta | None:
    """Decode an age from a heartbeat."""
    return None if age < 0 else timedelta(milliseconds=age)
