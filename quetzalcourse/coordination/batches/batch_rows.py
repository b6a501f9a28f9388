"""Storage layout of batches in the platform's table.

All rows of a batch share one part, so that one transaction can change them:

- ``batches/ID/head``, ``owner``, ``progress`` and ``end`` are small metadata
  rows that every daemon follows;
- ``items/ID/CHUNK`` hold the items; only owners read them;
- ``partials/ID/INDEX`` hold the texts of unfinished items, from which the
  next owner continues;
- ``results/ID/POSITION.PIECE`` hold results and are never rewritten; the
  results of one commit are split into pieces that fit into a row each.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.coordination.table_scan import scan_all
from quetzalcourse.log import get_log
from quetzalcourse.state.batches import (
    BatchHead,
    BatchItem,
    ItemResult,
    Ownership,
    PartialText,
)
from quetzalcourse.state.decoding import (
    MalformedMessageError,
    decode_json,
    decode_msgpack,
)
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
    from collections.abc import Mapping, Sequence

    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.rows import TransactionResult

log = get_log('batches')
TABLE = 'batches'
NUMBERED_NAME = re.compile(r'[0-9]+(?:\.[0-9]+)?')
ITEMS = 'items'
RESULTS = 'results'
PARTIALS = 'partials'
HEAD = 'head'
OWNER = 'owner'
PROGRESS = 'progress'
END = 'end'
# The store limits rows to 64 KiB and transactions to 1 MB and 100 rows; the
# rest is left for keys and for the encoding on the wire.
CHUNK_BYTES = 48_000
TRANSACTION_BYTES = 500_000
MAX_TRANSACTION_ROWS = 100
# The rest is left for the owner's row.
MAX_PARTIALS = 90
POSITION_DIGITS = 8
PIECE_DIGITS = 3
# Results beyond this size go into the next commit.
COMMIT_BYTES = 500_000


@dataclass(frozen=True, slots=True)
class AppliedWrite:
    """Write that was applied, with the version of its rows."""

    version: int


def name_row(batch: str, name: str) -> str:
    """Build the key of a metadata row."""
    return f'{TABLE}/{batch}/{name}'


def name_result(batch: str, position: int, piece: int = 0) -> str:
    """Build the key of a result row.

    :param position: position of the first result of the commit.
    """
    number = f'{position:0{POSITION_DIGITS}d}.{piece:0{PIECE_DIGITS}d}'
    return f'{RESULTS}/{batch}/{number}'


def split_results(results: Sequence[ItemResult]) -> list[bytes]:
    """Encode results, split into the contents of rows."""
    packed = msgspec.json.encode(results)
    return [
        packed[begin : begin + CHUNK_BYTES]
        for begin in range(0, len(packed), CHUNK_BYTES)
    ]


def join_results(rows: Sequence[Row]) -> list[ItemResult]:
    """Decode results from their rows.

    :param rows: sorted by key.
    """
    commits: dict[str, list[bytes]] = {}
    for row in rows:
        commits.setdefault(row.key.rpartition('.')[0], []).append(row.content)
    return [
        result
        for pieces in commits.values()
        for result in decode_json(b''.join(pieces), list[ItemResult])
    ]


def split_items(items: Sequence[BatchItem]) -> list[bytes]:
    """Encode items, split into the contents of rows."""
    chunks: list[bytes] = []
    chunk: list[bytes] = []
    size = 0
    for item in items:
        packed = msgspec.msgpack.encode(item)
        if chunk and size + len(packed) > CHUNK_BYTES:
            chunks.append(msgspec.msgpack.encode(chunk))
            chunk, size = [], 0
        chunk.append(packed)
        size += len(packed)
    chunks.append(msgspec.msgpack.encode(chunk))
    return chunks


def group_chunks(
    batch: str,
    chunks: Sequence[bytes],
) -> list[tuple[Write, ...]]:
    """Group the rows of items into transactions."""
    groups: list[tuple[Write, ...]] = [()]
    size = 0
    for number, chunk in enumerate(chunks):
        if size + len(chunk) > TRANSACTION_BYTES:
            groups.append(())
            size = 0
        row = Write(f'{ITEMS}/{batch}/{number:04d}', chunk)
        groups[-1] = (*groups[-1], row)
        size += len(chunk)
    return groups


def pack_partials(
    partials: Mapping[int, PartialText],
) -> list[tuple[int, bytes]]:
    """Encode as many texts as fit into one transaction.

    A text that is left out only has to be generated again.
    """
    packed: list[tuple[int, bytes]] = []
    size = 0
    for rank, partial in partials.items():
        content = msgspec.msgpack.encode(partial)
        # Texts after one that is too large may still fit.
        if len(content) > CHUNK_BYTES:
            continue
        if size + len(content) > TRANSACTION_BYTES:
            continue
        size += len(content)
        packed.append((rank, content))
    return packed[:MAX_PARTIALS]


def join_items(chunks: Sequence[bytes]) -> list[BatchItem]:
    """Decode items from the contents of their rows."""
    return [
        decode_msgpack(packed, BatchItem)
        for chunk in chunks
        for packed in decode_msgpack(chunk, list[bytes])
    ]


def list_numbered(rows: Sequence[Row]) -> list[Row]:
    """List the rows with a number as their name, as all numbered rows have.

    Other rows of a batch's part come from another writer.
    """
    return [
        row
        for row in rows
        if NUMBERED_NAME.fullmatch(row.key.rpartition('/')[2])
    ]


def decode_partials(rows: Sequence[Row]) -> list[PartialText]:
    """Decode saved texts; one that is malformed is generated again."""
    partials: list[PartialText] = []
    for row in rows:
        try:
            partials.append(decode_msgpack(row.content, PartialText))
        except MalformedMessageError:
            log.warning('Ignored a malformed text.', key=row.key)
    return partials


class BatchRows:
    """Reads and writes the rows of batches."""

    def __init__(self, table: Table) -> None:
        """Store the table client."""
        self._table = table

    async def create(
        self,
        head: BatchHead,
        chunks: Sequence[bytes],
        owner: Ownership,
        replaced: int = ABSENT,
    ) -> Result[AppliedWrite | Row, StoreFault]:
        """Write a new batch.

        :param chunks: contents of the rows of its items.
        :param replaced: version of the refusal that it replaces, if any.
        :returns: the write, or the row that conflicts with it.
        """
        key = name_row(head.id, HEAD)
        writes = [
            Write(key, msgspec.json.encode(head)),
            Write(name_row(head.id, OWNER), msgspec.json.encode(owner)),
        ]
        groups = group_chunks(head.id, chunks)
        for group in groups[:-1]:
            # Rows without a head row are ignored: the last transaction
            # creates the batch, or it never existed.
            prepared = await self._table.transact(Transaction((), group))
            if isinstance(prepared, Err):
                return prepared
        writes += groups[-1]
        answer = await self._table.transact(
            Transaction((Condition(key, replaced),), tuple(writes))
        )
        return _read_commit(answer, key)

    async def write_refusal(
        self, head: BatchHead
    ) -> Result[AppliedWrite | Row, StoreFault]:
        """Write a refusal in place of a batch.

        A write of the batch whose answer was lost may still be in flight;
        it fails once the refusal is in the store.
        """
        key = name_row(head.id, HEAD)
        answer = await self._table.transact(
            Transaction(
                (Condition(key, ABSENT),),
                (Write(key, msgspec.json.encode(head)),),
            )
        )
        return _read_commit(answer, key)

    async def take_ownership(
        self,
        batch: str,
        version: int,
        owner: Ownership,
    ) -> Result[AppliedWrite | Row, StoreFault]:
        """Replace the owner of a batch.

        :param version: expected version of the current owner row.
        """
        key = name_row(batch, OWNER)
        answer = await self._table.transact(
            Transaction(
                (Condition(key, version),),
                (Write(key, msgspec.json.encode(owner)),),
            )
        )
        return _read_commit(answer, key)

    async def save_partials(
        self,
        batch: str,
        owner_version: int,
        partials: Mapping[int, PartialText],
        successor: Ownership | None = None,
    ) -> Result[AppliedWrite | Row, StoreFault]:
        """Save the texts of unfinished items.

        :param partials: texts by item index.
        :param successor: new owner, written in the same transaction to hand
            the batch over; ``None`` to keep it.
        """
        key = name_row(batch, OWNER)
        writes = [
            Write(f'{PARTIALS}/{batch}/{rank:04d}', content)
            for rank, content in pack_partials(partials)
        ]
        if successor is not None:
            writes.append(Write(key, msgspec.json.encode(successor)))
        answer = await self._table.transact(
            Transaction((Condition(key, owner_version),), tuple(writes))
        )
        return _read_commit(answer, key)

    async def read_partials(
        self,
        batch: str,
    ) -> Result[list[PartialText], StoreFault]:
        """Read the saved texts of unfinished items."""
        answer = await scan_all(self._table, f'{PARTIALS}/{batch}/')
        return answer.map(lambda rows: decode_partials(list_numbered(rows)))

    async def commit_results(
        self,
        batch: str,
        owner_version: int,
        position: int,
        results: Sequence[ItemResult],
    ) -> Result[AppliedWrite | Row, StoreFault]:
        """Commit results at their positions; they never change later.

        :param owner_version: expected version of the owner row, so that the
            commit of a former owner fails.
        :returns: the write, or the row that conflicts with it.
        """
        key = name_result(batch, position)
        owner = name_row(batch, OWNER)
        progress = msgspec.json.encode(position + len(results))
        writes = [
            Write(name_result(batch, position, number), piece)
            for number, piece in enumerate(split_results(results))
        ]
        writes.append(Write(name_row(batch, PROGRESS), progress))
        answer = await self._table.transact(
            Transaction(
                (Condition(owner, owner_version), Condition(key, ABSENT)),
                tuple(writes),
            )
        )
        return _read_commit(answer, owner)

    async def mark_ended(
        self, batch: str
    ) -> Result[AppliedWrite | Row, StoreFault]:
        """Record that the caller ended a batch."""
        key = name_row(batch, END)
        answer = await self._table.transact(
            Transaction((), (Write(key, b'1'),))
        )
        return _read_commit(answer, key)

    async def read_metadata(
        self,
        batch: str,
    ) -> Result[list[Row], StoreFault]:
        """Read the metadata rows of a batch."""
        return await scan_all(self._table, f'{TABLE}/{batch}/')

    async def read_items(
        self,
        batch: str,
    ) -> Result[list[BatchItem], StoreFault]:
        """Read the items of a batch."""
        answer = await scan_all(self._table, f'{ITEMS}/{batch}/')
        return answer.map(
            lambda rows: join_items(
                [row.content for row in list_numbered(rows)]
            )
        )

    async def read_results(
        self,
        batch: str,
        known: int,
    ) -> Result[list[ItemResult], StoreFault]:
        """Read the results after those that are known.

        :param known: number of known results, which end with a whole commit.
        """
        last_piece = 10**PIECE_DIGITS - 1
        after = name_result(batch, known - 1, last_piece) if known else ''
        answer = await scan_all(self._table, f'{RESULTS}/{batch}/', after)
        return answer.map(lambda rows: join_results(list_numbered(rows)))

    async def remove(
        self,
        batch: str,
    ) -> Result[None, StoreFault]:
        """Delete all rows of a batch."""
        keys: list[str] = []
        for table in (RESULTS, PARTIALS, ITEMS, TABLE):
            found = await scan_all(self._table, f'{table}/{batch}/')
            if isinstance(found, Err):
                return found
            keys += [row.key for row in found.ok_value]
        # Without the head, nobody would find the rows that remain.
        keys.sort(key=lambda key: key == name_row(batch, HEAD))
        for begin in range(0, len(keys), MAX_TRANSACTION_ROWS):
            writes = tuple(
                Write(key, None)
                for key in keys[begin : begin + MAX_TRANSACTION_ROWS]
            )
            answer = await self._table.transact(Transaction((), writes))
            if isinstance(answer, Err):
                return answer
        return Ok(None)


def _read_commit(
    answer: Result[TransactionResult, StoreFault],
    key: str,
) -> Result[AppliedWrite | Row, StoreFault]:
    if isinstance(answer, Err):
        return answer
    commit = answer.ok_value
    if commit.applied:
        return Ok(AppliedWrite(commit.version))
    found = next((row for row in commit.conflicts if row.key == key), None)
    if found is None:
        found = next(iter(commit.conflicts), None)
    if found is None:
        return Err(StoreFault(FaultKind.unanswered, 'conflict', ''))
    return Ok(found)
