"""Rows and transactions of the platform's tables."""

from __future__ import annotations

import enum
from dataclasses import dataclass

# Version of a row that does not exist.
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read.

    :param version: increases with every write; :data:`ABSENT` if the row does
        not exist.
    :param removed: whether this is a change that removed the row.
    """

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """Expected version of a row, a precondition of a transaction.

    :param version: :data:`ABSENT` if the row must not exist.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Write of a row.

    :param content: new content, ``None`` to delete the row.
    """

    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction.

    :param applied: whether the writes were applied.
    :param conflicts: current rows of the conditions that failed.
    :param version: version of the written rows if the table returns it,
        :data:`ABSENT` if every row counts its own writes.
    """

    applied: bool
    conflicts: tuple[Row, ...] = ()
    version: int = ABSENT


@dataclass(frozen=True, slots=True)
class RowChanges:
    """Rows of a table at one of its versions.

    :param rows: in the order of their changes or of their keys.
    :param version: newest version that they include.
    """

    rows: tuple[Row, ...]
    version: int


class FaultKind(enum.StrEnum):
    """Known effect of a store request that failed."""

    not_applied = 'not_applied'
    unanswered = 'unanswered'


@dataclass(frozen=True, slots=True)
class StoreFault:
    """Failure of a request to the platform's store.

    :param kind: ``unanswered`` if a write may have been applied.
    :param step: the operation that failed.
    :param peer: address of the store.
    :param history_lost: whether the requested changes are no longer
        available, so that the rows must be read again.
    """

    kind: FaultKind
    step: str
    peer: str
    history_lost: bool = False
