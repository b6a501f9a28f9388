"""Slot reports and allowances in messages between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING


from quetzalcourse.coordination.slots.ownership import hash_name
from quetzalcourse.log import get_log
from quetzalcourse.protocol.slots import (
    decode_slots,
    encode_allowances,
    encode_reports,
    list_allowances,
    list_reports,
)
from quetzalcourse.state.decoding import MalformedMessageError
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.manifest import Manifest
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.slots import Allowance, SlotReport

log = get_log('slots')


class PeerSlotLink:
    """Implements the port ``SlotLink`` on top of the port ``Peers``.

    :param peers: sends and receives the encoded messages.
    """

    def __init__(self, peers: Peers, counters: Counters) -> None:
        """Start without upstream names; the manifest supplies them."""
        self._peers = peers
        self._counters = counters
        self._ids: dict[str, int] = {}
        self._names: dict[int, str] = {}

    def on_manifest(self, manifest: Manifest) -> None:
        """Update the upstream names from the manifest in force."""
        self._ids = {name: hash_name(name) for name in manifest.upstreams}
        self._names = {digest: name for name, digest in self._ids.items()}

    def send_reports(
        self,
        owner: Member,
        reports: tuple[SlotReport, ...],
    ) -> None:
        """Send reports to the owner of their upstreams."""
        self._send(owner, encode_reports(reports, self._ids), 'report')

    def send_allowances(
        self,
        requester: Member,
        allowances: tuple[Allowance, ...],
    ) -> None:
        """Send allowances to the daemon that requested them."""
        content = encode_allowances(allowances, self._ids)
        self._send(requester, content, 'allowance')

    def subscribe(
        self,
        on_reports: Callable[[Member, tuple[SlotReport, ...]], None],
        on_allowances: Callable[[Member, tuple[Allowance, ...]], None],
    ) -> None:
        """Register handlers of incoming reports and allowances."""

        def receive(sender: Member, content: bytes) -> None:
            try:
                message = decode_slots(content)
            except MalformedMessageError as error:
                self._counters.add('slot_messages_malformed')
                log.warning(
                    'Peer message dropped.',
                    peer=sender.incarnation,
                    reason=str(error),
                )
                return
            if message.reports:
                on_reports(sender, list_reports(message, self._names))
            if message.allowances:
                on_allowances(sender, list_allowances(message, self._names))

        self._peers.subscribe(Topic.slots, receive)

    def _send(self, receiver: Member, content: bytes, kind: str) -> None:
        self._counters.add('slot_messages', kind=kind)
        self._counters.add('slot_bytes', len(content), kind=kind)
        self._peers.send(receiver, Topic.slots, content)
