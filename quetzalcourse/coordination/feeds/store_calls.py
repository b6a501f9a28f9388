"""Messages of store calls that another daemon relays."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from quetzalcourse.coordination.feeds.feed_relay import RelayedRow
from quetzalcourse.state.rows import (
    RowChanges,
    TransactionResult,
    Condition,
    FaultKind,
    Row,
    StoreFault,
    Transaction,
    Write,
)

MILLISECOND = timedelta(milliseconds=1)


class ReadCall(msgspec.Struct, frozen=True, tag='read'):
    """Read one row."""

    key: str

    @property
    def tables(self) -> set[str]:
        """Tables that the call touches."""
        return {_find_table(self.key)}


class ScanCall(msgspec.Struct, frozen=True, tag='scan'):
    """Read rows in key order."""

    prefix: str
    after: str
    limit: int

    @property
    def tables(self) -> set[str]:
        """Tables that the call touches."""
        return {_find_table(self.prefix)}


class TransactCall(msgspec.Struct, frozen=True, tag='transact'):
    """Write rows atomically if every condition holds.

    :param conditions: keys with the versions that they must have.
    :param writes: keys with their new contents, ``None`` to delete the row.
    """

    conditions: list[tuple[str, int]]
    writes: list[tuple[str, bytes | None]]

    @property
    def tables(self) -> set[str]:
        """Tables that the call touches."""
        keys = [key for key, _ in (*self.conditions, *self.writes)]
        return {_find_table(key) for key in keys}


class FollowCall(msgspec.Struct, frozen=True, tag='follow'):
    """Wait for the changes of a table after a version.

    :param wait_ms: how long the store may hold the call.
    """

    table: str
    version: int
    wait_ms: int

    @property
    def tables(self) -> set[str]:
        """Tables that the call touches."""
        return {self.table}


class ListPartsCall(msgspec.Struct, frozen=True, tag='list_parts'):
    """List the parts of a table."""

    table: str

    @property
    def tables(self) -> set[str]:
        """Tables that the call touches."""
        return {self.table}


class ReadPartCall(msgspec.Struct, frozen=True, tag='read_part'):
    """Read all rows of a part."""

    table: str
    part: str

    @property
    def tables(self) -> set[str]:
        """Tables that the call touches."""
        return {self.table}


StoreCall = (
    ReadCall
    | ScanCall
    | TransactCall
    | FollowCall
    | ListPartsCall
    | ReadPartCall
)


class StoreRequest(msgspec.Struct, frozen=True):
    """A call that another daemon should make.

    :param number: sequence number of the call at the sender.
    """

    number: int
    call: StoreCall


class StoreReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The store's answer to a relayed call.

    :param number: sequence number of the answered call.
    :param fault: kind of the failure, empty if there was none.
    :param step: operation that failed.
    :param peer: address of the store.
    :param history_lost: whether the rows must be read again, since the changes
        asked for are no longer available.
    :param version: version of the rows just written, or the newest known.
    :param applied: whether a transaction took effect.
    """

    number: int
    fault: str = ''
    step: str = ''
    peer: str = ''
    history_lost: bool = False
    rows: list[RelayedRow] = []
    parts: list[str] = []
    version: int = 0
    applied: bool = False

    def decode_rows(self) -> list[Row]:
        """Decode the rows."""
        return [
            Row(row.key, row.content, row.version, row.removed)
            for row in self.rows
        ]

    def decode_fault(self) -> StoreFault:
        """Decode the failure."""
        return StoreFault(
            FaultKind(self.fault), self.step, self.peer, self.history_lost
        )


def _find_table(key: str) -> str:
    return key.partition('/')[0]


def encode_transaction(transaction: Transaction) -> TransactCall:
    """Encode a transaction as a call."""
    return TransactCall(
        [(one.key, one.version) for one in transaction.conditions],
        [(one.key, one.content) for one in transaction.writes],
    )


def decode_transaction(call: TransactCall) -> Transaction:
    """Decode the transaction of a call."""
    return Transaction(
        tuple(Condition(key, version) for key, version in call.conditions),
        tuple(Write(key, content) for key, content in call.writes),
    )


def encode_rows(rows: list[Row] | tuple[Row, ...]) -> list[RelayedRow]:
    """Encode rows for another daemon."""
    return [
        RelayedRow(row.key, row.content, row.version, row.removed)
        for row in rows
    ]


def encode_fault(number: int, fault: StoreFault) -> StoreReply:
    """Encode a failure for another daemon."""
    return StoreReply(
        number,
        fault.kind.value,
        fault.step,
        fault.peer,
        fault.history_lost,
    )


def decode_commit(reply: StoreReply) -> TransactionResult:
    """Decode the outcome of a transaction."""
    return TransactionResult(
        reply.applied, tuple(reply.decode_rows()), reply.version
    )


def decode_changes(reply: StoreReply) -> RowChanges:
    """Decode the changes of a table."""
    return RowChanges(tuple(reply.decode_rows()), reply.version)


def decode_row(reply: StoreReply) -> Row | None:
    """Decode the single row, ``None`` if there is none."""
    return next(iter(reply.decode_rows()), None)


def to_result(reply: StoreReply) -> Result[StoreReply, StoreFault]:
    """Convert a reply to a result."""
    return Err(reply.decode_fault()) if reply.fault else Ok(reply)
