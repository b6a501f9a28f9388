"""Sections of the manifest, named by the hash of their content."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
import xxhash
from result import Err, Ok, Result

from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.manifest import Manifest

if TYPE_CHECKING:
    from collections.abc import Iterable

SECTIONS = (
    'client_accounts',
    'keys',
    'trainers',
    'upstreams',
    'services',
    'maintenance',
    'service_levels',
    'fleet',
)
PART_SEPARATOR = '/'
ENTRIES_PER_PART = 32
HASH_LENGTH = 32
MAX_ACCEPTED_VERSIONS = 32


@dataclass(frozen=True, slots=True)
class ManifestHead:
    """Row that names the accepted version.

    :param version: number of the accepted manifest.
    :param sections: content hash of each section or part of one.
    :param accepted: fingerprints of the last versions, by version. They show an
        operator whose answer was lost that the manifest was accepted, even if
        another one has replaced it since.
    """

    version: int
    sections: dict[str, str]
    accepted: dict[int, str] = field(default_factory=dict)

    def fingerprint(self) -> str:
        """Compute a hash of the content, independent of the version."""
        return hash_content(msgspec.json.encode(self.sections, order='sorted'))

    def has_accepted(self, other: ManifestHead) -> bool:
        """Return whether another head is this one or one accepted before it."""
        return self.accepted.get(other.version) == other.fingerprint()

    def make_successor(self, sections: dict[str, str]) -> ManifestHead:
        """Build the head of the next version.

        :param sections: content hashes of the next version.
        """
        successor = ManifestHead(self.version + 1, sections)
        accepted = self.accepted | {successor.version: successor.fingerprint()}
        oldest = successor.version - MAX_ACCEPTED_VERSIONS
        kept = {
            version: fingerprint
            for version, fingerprint in accepted.items()
            if version > oldest
        }
        return ManifestHead(successor.version, sections, kept)


NO_HEAD = ManifestHead(0, {})


def hash_content(content: bytes) -> str:
    """Name content by its SHA-256, truncated to 128 bits."""
    return hashlib.sha256(content).hexdigest()[:HASH_LENGTH]


def decode_head(content: bytes) -> Result[ManifestHead, str]:
    """Decode the row that names the accepted version.

    :returns: the head, or the decoding error.
    """
    try:
        return Ok(decode_json(content, ManifestHead))
    except MalformedMessageError as error:
        return Err(str(error))


def split_sections(manifest: Manifest) -> dict[str, bytes]:
    """Encode each section separately, so that unchanged ones keep their hash.

    A section of many entries is split by the hash of the entries' names. A
    change of one upstream among 890 then transfers one part of some 30 entries.

    :param manifest: manifest to split.
    :returns: encoded section or part by its name.
    """
    encoded: dict[str, bytes] = {}
    for name in SECTIONS:
        section = getattr(manifest, name)
        parts = split_entries(section) if isinstance(section, dict) else None
        if parts is None:
            encoded[name] = _encode(section)
            continue
        for number, entries in parts.items():
            part = f'{name}{PART_SEPARATOR}{number}'
            encoded[part] = _encode(entries)
    return encoded


def split_entries(entries: dict[str, Any]) -> dict[int, dict] | None:
    """Distribute entries over a power of two of parts.

    :returns: entries by part, or ``None`` if they fit into one.
    """
    count = 1
    while count * ENTRIES_PER_PART < len(entries):
        count *= 2
    if count == 1:
        return None
    parts: dict[int, dict] = {}
    for name, entry in entries.items():
        number = xxhash.xxh32_intdigest(name.encode()) % count
        parts.setdefault(number, {})[name] = entry
    return parts


def join_sections(
    version: int,
    sections: dict[str, bytes],
) -> Result[Manifest, str]:
    """Rebuild a manifest from its sections.

    :param sections: encoded section or part by its name.
    :returns: the manifest, or the decoding error.
    """
    encoded_sections: dict[str, bytes] = {}
    parts: dict[str, list[bytes]] = {}
    for name, content in sections.items():
        section, separator, _ = name.partition(PART_SEPARATOR)
        if separator:
            parts.setdefault(section, []).append(content[1:-1])
        else:
            encoded_sections[section] = content
    for section, encoded_parts in parts.items():
        encoded_sections[section] = b'{' + b','.join(encoded_parts) + b'}'
    try:
        return Ok(_decode(version, encoded_sections))
    except MalformedMessageError as error:
        return Err(str(error))


def list_missing(
    head: ManifestHead,
    available: Iterable[str],
) -> list[str]:
    """List the content hashes of a head that are not available yet."""
    return sorted(set(head.sections.values()) - set(available))


def _encode(section: Any) -> bytes:
    return msgspec.json.encode(section, order='sorted')


def _decode(version: int, sections: dict[str, bytes]) -> Manifest:
    parts = [
        f'"{name}":{content.decode()}' for name, content in sections.items()
    ]
    parts.append(f'"version":{version}')
    document = '{' + ','.join(parts) + '}'
    return decode_json(document, Manifest)
