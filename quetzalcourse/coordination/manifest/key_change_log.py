"""Log of API key changes in the platform's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.keys import KeyRecord
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
    from quetzalcourse.coordination.ports import Table

KEYS_HEAD_KEY = 'heads/keys'
LOG_PREFIX = 'keys/log/'
PAGE_SIZE = 1000
MAX_ATTEMPTS = 8


def format_entry_key(sequence: int) -> str:
    """Format the row key of a change, so that rows sort by sequence."""
    return f'{LOG_PREFIX}{sequence:012d}'


def decode_sequence(row: Row | None) -> int:
    """Decode the number of changes in the log, 0 if it is malformed."""
    if row is None:
        return 0
    try:
        return decode_json(row.content, int)
    except MalformedMessageError:
        return 0


class KeyChangeLog:
    """Appends key changes to a log in the table and reads them back.

    :param table: the platform's table.
    """

    def __init__(self, table: Table) -> None:
        """Use the given table."""
        self._table = table

    async def append(self, record: KeyRecord) -> Result[int, StoreFault]:
        """Append a change.

        Appending one twice, as after a lost answer, only makes the log longer.

        :returns: sequence number of the change.
        """
        for _ in range(MAX_ATTEMPTS):
            read = await self._table.read(KEYS_HEAD_KEY)
            if isinstance(read, Err):
                return read
            row = read.ok_value
            sequence = decode_sequence(row) + 1
            written = await self._table.transact(
                Transaction(
                    (
                        Condition(
                            KEYS_HEAD_KEY, row.version if row else ABSENT
                        ),
                        Condition(format_entry_key(sequence), ABSENT),
                    ),
                    (
                        Write(KEYS_HEAD_KEY, msgspec.json.encode(sequence)),
                        Write(
                            format_entry_key(sequence),
                            msgspec.json.encode(record),
                        ),
                    ),
                )
            )
            if isinstance(written, Err):
                return written
            if written.ok_value.applied:
                return Ok(sequence)
        return Err(StoreFault(FaultKind.not_applied, 'append key', 'table'))

    async def read_after(
        self,
        sequence: int,
    ) -> Result[tuple[int, list[KeyRecord]], StoreFault]:
        """Read the changes after a sequence number.

        :param sequence: number of the last known change.
        :returns: number of the last change, and the changes; malformed rows are
            skipped.
        """
        records: list[KeyRecord] = []
        while True:
            after = format_entry_key(sequence)
            read = await self._table.scan(LOG_PREFIX, after, PAGE_SIZE)
            if isinstance(read, Err):
                return read
            for row in read.ok_value:
                sequence = int(row.key[len(LOG_PREFIX) :])
                records.extend(_decode(row.content))
            if len(read.ok_value) < PAGE_SIZE:
                return Ok((sequence, records))


def _decode(content: bytes) -> list[KeyRecord]:
    try:
        return [decode_json(content, KeyRecord)]
    except MalformedMessageError:
        return []
