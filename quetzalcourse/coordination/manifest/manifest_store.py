"""Current manifest, and acceptance of new ones by compare-and-set."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.coordination.manifest.sections import (
    NO_HEAD,
    ManifestHead,
    decode_head,
    hash_content,
    join_sections,
    list_missing,
    split_sections,
)
from quetzalcourse.state.manifest import Manifest
from quetzalcourse.state.rows import (
    ABSENT,
    Condition,
    FaultKind,
    Row,
    StoreFault,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.ports import ObjectStore, Table

MANIFEST_KEY = 'heads/manifest'


@dataclass(frozen=True, slots=True)
class ManifestConflict:
    """Another manifest was accepted first.

    :param winner: version that is in force.
    """

    winner: int


class ManifestStore:
    """Holds the manifest in force; its version never decreases.

    :param table: holds the row of the accepted version.
    :param objects: holds the sections by content hash.
    :ivar sections: sections of the manifest in force by content hash.
    """

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        """Start with no manifest in force."""
        self.current = Manifest()
        self.head = NO_HEAD
        self.sections: dict[str, bytes] = {}
        self._table = table
        self._objects = objects
        self._listeners: list[Callable[[Manifest], None]] = []

    def on_manifest(self, listener: Callable[[Manifest], None]) -> None:
        """Register a listener for manifests that come into force."""
        self._listeners.append(listener)

    def activate(self, manifest: Manifest) -> bool:
        """Bring a manifest into force if it is newer than the current one.

        :param manifest: an accepted manifest.
        :returns: whether it came into force.
        """
        if manifest.version <= self.current.version:
            return False
        self.current = manifest
        for listener in self._listeners:
            listener(manifest)
        return True

    def apply(
        self,
        head: ManifestHead,
        contents: dict[str, bytes],
    ) -> Result[bool, str]:
        """Activate a manifest whose sections are all available.

        :param head: head of an accepted manifest.
        :param contents: sections by content hash, including those already held.
        :returns: whether it came into force, or the reason that it is invalid.
        """
        if head.version <= self.current.version:
            return Ok(False)
        sections: dict[str, bytes] = {}
        for name, digest in head.sections.items():
            content = contents.get(digest)
            if content is None or hash_content(content) != digest:
                return Err(f'section {name} is missing or damaged')
            sections[name] = content
        joined = join_sections(head.version, sections)
        if isinstance(joined, Err):
            return joined
        self.head = head
        self.sections = {
            head.sections[name]: content for name, content in sections.items()
        }
        return Ok(self.activate(joined.ok_value))

    async def refresh(self) -> Result[int, StoreFault]:
        """Read the accepted version and activate it.

        :returns: version in force.
        """
        answer = await self._table.read(MANIFEST_KEY)
        if isinstance(answer, Err):
            return answer
        return await self.refresh_from_row(answer.ok_value)

    async def refresh_from_row(
        self, row: Row | None
    ) -> Result[int, StoreFault]:
        """Activate the version of a head row, with the sections in the store.

        :param row: the row :data:`MANIFEST_KEY` as read.
        :returns: version in force.
        """
        read = _read_head(row)
        if isinstance(read, Err):
            return read
        head = read.ok_value
        if head.version <= self.current.version:
            return Ok(self.current.version)
        contents = dict(self.sections)
        for digest in list_missing(head, contents):
            answer = await self._objects.get(digest)
            if isinstance(answer, Err):
                return answer
            if answer.ok_value is not None:
                contents[digest] = answer.ok_value
        applied = self.apply(head, contents)
        if isinstance(applied, Err):
            return Err(_build_fault(applied.err_value))
        return Ok(self.current.version)

    async def accept(
        self,
        manifest: Manifest,
        replaces: int,
    ) -> Result[int, ManifestConflict | StoreFault]:
        """Store a manifest as the next version.

        Repeating the call after a lost answer is safe: a manifest that was
        accepted is found by its fingerprint, even below a newer one.

        :param manifest: manifest to accept; its own version is ignored.
        :param replaces: version that the operator has seen.
        :returns: number of the accepted version.
        """
        sections = split_sections(manifest)
        hashes = {name: hash_content(body) for name, body in sections.items()}
        for name, content in sections.items():
            stored = await self._objects.put(hashes[name], content)
            if isinstance(stored, Err):
                return stored
        return await self._compare_and_set(hashes, replaces)

    async def _compare_and_set(
        self,
        hashes: dict[str, str],
        replaces: int,
    ) -> Result[int, ManifestConflict | StoreFault]:
        answer = await self._table.read(MANIFEST_KEY)
        if isinstance(answer, Err):
            return answer
        row = answer.ok_value
        read = _read_head(row)
        if isinstance(read, Err):
            return read
        found = read.ok_value
        proposed = ManifestHead(replaces + 1, hashes)
        if found.has_accepted(proposed):
            return Ok(proposed.version)
        if found.version != replaces:
            return Err(ManifestConflict(found.version))
        head = found.make_successor(hashes)
        written = await self._table.transact(
            Transaction(
                (Condition(MANIFEST_KEY, row.version if row else ABSENT),),
                (Write(MANIFEST_KEY, msgspec.json.encode(head)),),
            )
        )
        if isinstance(written, Ok) and written.ok_value.applied:
            return Ok(head.version)
        if isinstance(written, Err) and written.err_value.kind is (
            FaultKind.not_applied
        ):
            return written
        return await self._resolve_outcome(head)

    async def _resolve_outcome(
        self,
        head: ManifestHead,
    ) -> Result[int, ManifestConflict | StoreFault]:
        # If the answer is lost after the write took effect, this looks like a
        # failure; only the row itself shows which manifest won.
        answer = await self._table.read(MANIFEST_KEY)
        if isinstance(answer, Err):
            return answer
        read = _read_head(answer.ok_value)
        if isinstance(read, Err):
            return read
        found = read.ok_value
        if found.has_accepted(head):
            return Ok(head.version)
        if found.version < head.version:
            return Err(
                StoreFault(FaultKind.not_applied, 'accept manifest', 'table')
            )
        return Err(ManifestConflict(found.version))


def _read_head(row: Row | None) -> Result[ManifestHead, StoreFault]:
    if row is None:
        return Ok(NO_HEAD)
    return decode_head(row.content).map_err(_build_fault)


def _build_fault(reason: str) -> StoreFault:
    return StoreFault(
        FaultKind.not_applied, f'read manifest: {reason}', 'store'
    )
