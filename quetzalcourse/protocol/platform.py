"""Messages to and from the platform."""

from __future__ import annotations

import msgspec

from quetzalcourse.state.rows import TransactionResult, Row, Transaction


class RowMessage(msgspec.Struct):
    """A row on the wire."""

    key: str
    content: bytes
    version: int


class ConditionMessage(msgspec.Struct):
    """A condition on the wire."""

    key: str
    version: int


class WriteMessage(msgspec.Struct):
    """A write on the wire."""

    key: str
    content: bytes | None


class TransactionMessage(msgspec.Struct):
    """A transaction on the wire."""

    conditions: list[ConditionMessage]
    writes: list[WriteMessage]


class CommitMessage(msgspec.Struct):
    """The table's answer to a transaction."""

    applied: bool
    conflicts: list[RowMessage]


class ScanMessage(msgspec.Struct):
    """The table's answer to a scan."""

    rows: list[RowMessage]


class UpstreamOrder(msgspec.Struct):
    """Order for upstreams in a data centre.

    :param order_id: idempotency key.
    :param token: fencing token of the sender's lease.
    :param count: how many upstreams of the kind there should be.
    :param deadline: seconds since the epoch after which it is void.
    :param notice_seconds: time that upstreams get to drain.
    """

    order_id: str
    token: int
    sender: str
    data_centre: str
    kind: str
    count: int
    deadline: float = 0.0
    notice_seconds: float = 0.0


class UpstreamCount(msgspec.Struct):
    """Upstreams of a kind in a data centre, as the platform lists them.

    :param reclaimed: whether they are about to be taken away.
    """

    data_centre: str
    kind: str
    count: int
    reclaimed: bool = False


class UsageReport(msgspec.Struct):
    """Report of a usage window.

    :param report_id: idempotency key.
    :param content: the frozen bytes.
    """

    report_id: str
    token: int
    sender: str
    window: str
    content: bytes


class VmEntry(msgspec.Struct):
    """An entry VM as the platform lists it."""

    vm: str
    data_centre: str
    address: str
    leaving: bool = False


class ScoreRequest(msgspec.Struct):
    """Call of the scoring service."""

    sample_id: str
    text: str


class ScoreResponse(msgspec.Struct):
    """Answer of the scoring service."""

    score: float


class PlatformFaults(msgspec.Struct):
    """Fault switches of the platform's stand-in.

    :param down: refuse every request.
    :param slow_seconds: wait before each answer.
    :param lose_answers: writes whose answer is dropped after they applied.
    :param ignore_tokens: take orders and reports with an old token.
    :param unavailable: kinds of upstreams that can't be had.
    :param reclaimed: data centres whose cheap upstreams are being taken.
    :param weight_requests: requests a second that the weight store takes;
        0 for any number.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    weight_requests: int = 0
    ignore_tokens: bool = False
    unavailable: tuple[str, ...] = ()
    reclaimed: tuple[str, ...] = ()


def pack_transaction(transaction: Transaction) -> bytes:
    """Encode a transaction for the wire."""
    return msgspec.json.encode(
        TransactionMessage(
            [
                ConditionMessage(condition.key, condition.version)
                for condition in transaction.conditions
            ],
            [
                WriteMessage(write.key, write.content)
                for write in transaction.writes
            ],
        )
    )


def unpack_commit(content: bytes) -> TransactionResult:
    """Read the table's answer to a transaction."""
    message = msgspec.json.decode(content, type=CommitMessage)
    return TransactionResult(
        message.applied,
        tuple(unpack_row(row) for row in message.conflicts),
    )


def unpack_row(message: RowMessage) -> Row:
    """Turn a row on the wire into a row."""
    return Row(message.key, message.content, message.version)
