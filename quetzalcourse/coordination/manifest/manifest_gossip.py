"""Gossip of manifest versions between daemons."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err

from quetzalcourse.coordination.manifest.gossip_peers import choose_gossip_peers
from quetzalcourse.coordination.manifest.sections import (
    ManifestHead,
    list_missing,
)
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import MalformedMessageError, decode_msgpack
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.state.gossip import ManifestMessage, GossipKind

if TYPE_CHECKING:
    from random import Random

    from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
    from quetzalcourse.coordination.membership.membership import Digest
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.manifest import Manifest

REQUEST_INTERVAL = timedelta(seconds=1)
STARTUP_WAIT = timedelta(seconds=1)
MAX_MESSAGE_BYTES = 256_000
log = get_log('spread')


class ManifestGossip:
    """Fetches newer manifests from other daemons, changed sections only.

    :param manifest: holds the manifest in force.
    """

    def __init__(
        self,
        manifest: ManifestStore,
        members: MemberView,
        peers: Peers,
        clock: Clock,
        random: Random,
        counters: Counters,
    ) -> None:
        """Subscribe to manifest messages and to new manifests."""
        self._manifest = manifest
        self._members = members
        self._peers = peers
        self._clock = clock
        self._random = random
        self._counters = counters
        self._newest_seen: tuple[int, Member] | None = None
        self._first_seen_at: timedelta | None = None
        self._requested_at = clock.elapsed() - REQUEST_INTERVAL
        self._pending: ManifestHead | None = None
        self._contents: dict[str, bytes] = {}
        peers.subscribe(Topic.manifest, self._receive)
        manifest.on_manifest(self._broadcast)

    def on_digest(self, sender: Member, digest: Digest) -> None:
        """Compare a heartbeat's manifest version with the one in force."""
        self._on_version(sender, digest.manifest)

    def _on_version(self, sender: Member, version: int) -> None:
        if version <= self._manifest.current.version:
            return
        now = self._clock.elapsed()
        if self._first_seen_at is None:
            self._first_seen_at = now
        if self._newest_seen is None or version >= self._newest_seen[0]:
            fresh = self._newest_seen is None or version > self._newest_seen[0]
            self._newest_seen = (version, sender)
            if fresh:
                self._requested_at = now - REQUEST_INTERVAL
        # A daemon that starts without the store requests nothing until several
        # daemons have reported their versions. Taking the first one's would
        # bring an old version into force for a moment if that daemon lags.
        starting = self._manifest.current.version == 0
        if starting and now - self._first_seen_at < STARTUP_WAIT:
            return
        if now - self._requested_at >= REQUEST_INTERVAL:
            self._requested_at = now
            self._send(self._newest_seen[1], GossipKind.ask)

    def _broadcast(self, _: Manifest) -> None:
        for member in choose_gossip_peers(self._members, self._random):
            self._send(member, GossipKind.announce)

    def _receive(self, sender: Member, content: bytes) -> None:
        try:
            message = decode_msgpack(content, ManifestMessage)
        except MalformedMessageError:
            self._counters.add('peer_messages_dropped', reason='manifest')
            return
        if message.kind is GossipKind.announce:
            self._on_version(sender, message.version)
        elif message.kind is GossipKind.ask:
            self._send_head(sender)
        elif message.kind is GossipKind.head:
            self._on_head(sender, message)
        elif message.kind is GossipKind.want:
            self._send_contents(sender, message.wanted)
        else:
            self._on_contents(message)

    def _on_head(self, sender: Member, message: ManifestMessage) -> None:
        newest = self._manifest.current.version
        if self._pending is not None:
            newest = max(newest, self._pending.version - 1)
        if message.version <= newest:
            return
        head = ManifestHead(message.version, message.sections, message.accepted)
        wanted = list_missing(head, self._manifest.sections)
        self._contents = {
            digest: content
            for digest, content in self._contents.items()
            if digest in wanted
        }
        self._pending = head
        self._apply_if_complete()
        missing = sorted(set(wanted) - set(self._contents))
        if missing:
            version = self._manifest.head.version
            message = ManifestMessage(GossipKind.want, version, wanted=missing)
            self._send_message(sender, message)

    def _on_contents(self, message: ManifestMessage) -> None:
        if self._pending is not None:
            known = set(self._pending.sections.values())
            for digest, content in message.contents.items():
                if digest in known:
                    self._contents[digest] = content
            self._apply_if_complete()

    def _apply_if_complete(self) -> None:
        head = self._pending
        available = self._contents | self._manifest.sections
        if head is None or list_missing(head, available):
            return
        self._pending = None
        self._contents = {}
        applied = self._manifest.apply(head, available)
        if isinstance(applied, Err):
            self._counters.add('peer_messages_dropped', reason='manifest')
            log.warning(
                'Rejected a manifest from another daemon.',
                reason=applied.err_value,
            )

    def _send_head(self, receiver: Member) -> None:
        head = self._manifest.head
        message = ManifestMessage(
            GossipKind.head, head.version, head.sections, head.accepted
        )
        self._send_message(receiver, message)

    def _send_contents(self, receiver: Member, wanted: list[str]) -> None:
        contents: dict[str, bytes] = {}
        size = 0
        for digest in wanted:
            content = self._manifest.sections.get(digest)
            if content is None:
                continue
            if contents and size + len(content) > MAX_MESSAGE_BYTES:
                self._send_sections(receiver, contents)
                contents = {}
                size = 0
            contents[digest] = content
            size += len(content)
        if contents:
            self._send_sections(receiver, contents)

    def _send_sections(
        self, receiver: Member, contents: dict[str, bytes]
    ) -> None:
        version = self._manifest.head.version
        message = ManifestMessage(
            GossipKind.contents, version, contents=contents
        )
        self._send_message(receiver, message)

    def _send(self, receiver: Member, kind: GossipKind) -> None:
        version = self._manifest.head.version
        self._send_message(receiver, ManifestMessage(kind, version))

    def _send_message(self, receiver: Member, message: ManifestMessage) -> None:
        content = msgspec.msgpack.encode(message)
        self._peers.send(receiver, Topic.manifest, content)
