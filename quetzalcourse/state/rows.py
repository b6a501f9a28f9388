"""Rows and transactions of the platform's table."""

from __future__ import annotations

import enum
from dataclasses import dataclass

ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read.

    :param key: name of the row.
    :param content: bytes of the row.
    :param version: grows with every write; :data:`ABSENT` is no row.
    :param removed: whether the change that is told is the row's removal.
    """

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """Version that a row must have for a transaction to take effect.

    :param key: name of the row.
    :param version: expected version, :data:`ABSENT` for no row.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """New content of a row.

    :param key: name of the row.
    :param content: new bytes, or ``None`` to delete the row.
    """

    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Answer of the table to a transaction.

    :param applied: whether the writes took effect.
    :param conflicts: rows whose condition failed, as they are now.
    :param version: version of the rows just written, where the table tells
        it; :data:`ABSENT` where every row counts its own writes.
    """

    applied: bool
    conflicts: tuple[Row, ...] = ()
    version: int = ABSENT


@dataclass(frozen=True, slots=True)
class RowChanges:
    """Rows of a table, as of one of its versions.

    :param rows: in the order of their changes, or of their keys.
    :param version: newest version that they show.
    """

    rows: tuple[Row, ...]
    version: int


class FaultKind(enum.StrEnum):
    """What is known of a store request that failed."""

    not_applied = 'not_applied'
    unanswered = 'unanswered'


@dataclass(frozen=True, slots=True)
class StoreFault:
    """Failure of a request to the platform's store.

    :param kind: ``unanswered`` means that a write may have taken effect.
    :param step: the operation that failed.
    :param peer: address of the store.
    :param history_lost: whether the changes that were asked for can't be
        told any more, so that the rows must be read again.
    """

    kind: FaultKind
    step: str
    peer: str
    history_lost: bool = False
