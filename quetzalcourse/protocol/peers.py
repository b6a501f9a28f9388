"""Signed envelope of messages between daemons."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.state.decoding import MalformedMessageError, decode_msgpack
from quetzalcourse.state.members import Member, Topic

if TYPE_CHECKING:
    from collections.abc import Sequence

ENVELOPE_VERSION = 1
MAC_BYTES = 16
MAX_TRACKED_SENDERS = 4096


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Message from one daemon to another.

    :param receiver: address of the intended receiver; others drop it.
    :param sequence: increases with every message of the sender's incarnation.
    """

    version: int
    vm: str
    incarnation: str
    data_centre: str
    address: str
    leaving: bool
    receiver: str
    sequence: int
    topic: Topic
    content: bytes

    def read_sender(self) -> Member:
        """Return the sender of the message."""
        return Member(
            self.vm,
            self.incarnation,
            self.data_centre,
            self.address,
            self.leaving,
        )


def sign(body: bytes, secret: bytes) -> bytes:
    """Compute the HMAC-SHA256 of a body, truncated to 128 bits."""
    return hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES]


class EnvelopeCodec:
    """Signs and encodes envelopes, and verifies and decodes them.

    To make replays harmless, each message names its receiver and carries a
    sequence number that increases within the sender's incarnation. A
    restarted receiver has lost the sequence numbers and may accept replayed
    messages, so every handler must tolerate outdated messages.

    :param secrets: shared secrets; the first one signs, all are accepted.
    """

    def __init__(self, secrets: Sequence[bytes]) -> None:
        """Start without known senders."""
        self._secrets = tuple(secrets)
        self._sequence = 0
        self._last_sequences: dict[str, int] = {}

    def encode(
        self,
        sender: Member,
        receiver: str,
        topic: Topic,
        content: bytes,
    ) -> bytes:
        """Sign and encode a message.

        :param receiver: address of the receiver.
        """
        self._sequence += 1
        body = msgspec.msgpack.encode(
            Envelope(
                ENVELOPE_VERSION,
                sender.vm,
                sender.incarnation,
                sender.data_centre,
                sender.address,
                sender.leaving,
                receiver,
                self._sequence,
                topic,
                content,
            )
        )
        return sign(body, self._secrets[0]) + body

    def decode(self, message_bytes: bytes, own: str) -> Result[Envelope, str]:
        """Verify and decode a message.

        :param own: this daemon's address.
        :returns: the envelope, or the reason to drop the message.
        """
        mac = message_bytes[:MAC_BYTES]
        body = message_bytes[MAC_BYTES:]
        if not self._is_signed(mac, body):
            return Err('foreign')
        try:
            envelope = decode_msgpack(body, Envelope)
        except MalformedMessageError:
            return Err('malformed')
        if envelope.version != ENVELOPE_VERSION:
            return Err('version')
        if envelope.receiver != own:
            return Err('misdirected')
        if not self._is_newer(envelope):
            return Err('replayed')
        return Ok(envelope)

    def _is_signed(self, mac: bytes, body: bytes) -> bool:
        return any(
            hmac.compare_digest(mac, sign(body, secret))
            for secret in self._secrets
        )

    def _is_newer(self, envelope: Envelope) -> bool:
        last = self._last_sequences.pop(envelope.incarnation, 0)
        self._last_sequences[envelope.incarnation] = max(
            last, envelope.sequence
        )
        # Ended incarnations stay in the table until newer ones evict them;
        # without the limit the table would grow with every restart.
        if len(self._last_sequences) > MAX_TRACKED_SENDERS:
            self._last_sequences.pop(next(iter(self._last_sequences)))
        return envelope.sequence > last
