"""Tells the other daemons of upstreams that ended under a request.

A request comes again at any daemon, and each would lose three upstreams by it
before it knew. Messages reach all of them within milliseconds, also while the
store is away; a daemon that misses them reads quarantines from the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.quarantine import UpstreamRun


class EndsUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a daemon learned of a request.

    :param run: run of an upstream that ended under it, ``None`` if an upstream
        answered it.
    :param address: where the upstream listened.
    """

    fingerprint: str
    run: tuple[str, int] | None = None
    address: str = ''


class EndUpdates:
    """Sends ends and answers to the other daemons and takes theirs."""

    def __init__(
        self, quarantine: Quarantine, members: MemberView, peers: Peers
    ) -> None:
        """Listen to this daemon and to the others."""
        self._quarantine = quarantine
        self._members = members
        self._peers = peers
        quarantine.on_own_end(self.tell_end)
        quarantine.on_own_answer(self.tell_answer)
        peers.subscribe(Topic.upstream_ends, self.on_message)

    def tell_end(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> None:
        """Tell that an upstream ended under a request."""
        self._tell(EndsUpdate(fingerprint, run, address))

    def tell_answer(self, fingerprint: str) -> None:
        """Tell that an upstream answered a request."""
        self._tell(EndsUpdate(fingerprint))

    def on_message(self, _: Member, content: bytes) -> None:
        """Take what another daemon learned."""
        update = msgspec.msgpack.decode(content, type=EndsUpdate)
        if update.run is None:
            self._quarantine.lift(update.fingerprint, 'answered elsewhere')
        else:
            self._quarantine.records.on_end(
                update.fingerprint, update.run, update.address
            )

    def _tell(self, update: EndsUpdate) -> None:
        content = msgspec.msgpack.encode(update)
        for member in self._members.list_live():
            if member.vm != self._members.own.vm:
                self._peers.send(member, Topic.upstream_ends, content)
