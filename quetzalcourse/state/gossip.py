"""What daemons tell one another of manifest and keys."""

from __future__ import annotations

import enum

import msgspec

from quetzalcourse.state.keys import KeyRecord


class GossipKind(enum.IntEnum):
    """Steps by which news travels between two daemons."""

    announce = 0
    ask = 1
    head = 2
    want = 3
    contents = 4


class ManifestMessage(msgspec.Struct, array_like=True, frozen=True):
    """One message about the manifest.

    :param version: version that the sender has in force.
    :param sections: content hashes by section, with ``head``.
    :param accepted: fingerprints of the last versions, with ``head``.
    :param wanted: content hashes that the sender lacks, with ``want``.
    :param contents: sections by content hash, with ``contents``.
    """

    kind: GossipKind
    version: int
    sections: dict[str, str] = {}
    accepted: dict[int, str] = {}
    wanted: list[str] = []
    contents: dict[str, bytes] = {}


class KeyMessage(msgspec.Struct, array_like=True, frozen=True):
    """One message about keys.

    :param records: changes of keys, with ``contents``.
    :param buckets: hash of each bucket of records, with ``ask``.
    """

    kind: GossipKind
    records: list[KeyRecord] = []
    buckets: list[int] = []
