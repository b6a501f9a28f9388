"""Gossip messages between daemons about the manifest and keys."""

from __future__ import annotations

import enum

import msgspec

from quetzalcourse.state.keys import KeyRecord


class GossipKind(enum.IntEnum):
    """Step of the exchange between two daemons."""

    announce = 0
    ask = 1
    head = 2
    want = 3
    contents = 4


class ManifestMessage(msgspec.Struct, array_like=True, frozen=True):
    """Message about the manifest.

    :param version: version in force at the sender.
    :param sections: content hashes by section, in a ``head``.
    :param accepted: fingerprints of the last versions, in a ``head``.
    :param wanted: content hashes that the sender lacks, in a ``want``.
    :param contents: sections by content hash, in ``contents``.
    """

    kind: GossipKind
    version: int
    sections: dict[str, str] = {}
    accepted: dict[int, str] = {}
    wanted: list[str] = []
    contents: dict[str, bytes] = {}


class KeyMessage(msgspec.Struct, array_like=True, frozen=True):
    """Message about keys.

    :param records: changes of keys, in ``contents``.
    :param buckets: hash of each bucket of records, in an ``ask``.
    """

    kind: GossipKind
    records: list[KeyRecord] = []
    buckets: list[int] = []
