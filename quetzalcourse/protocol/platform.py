"""Messages of the platform's APIs."""

from __future__ import annotations

import msgspec

from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.rows import TransactionResult, Row, Transaction


class RowMessage(msgspec.Struct):
    """Row of the table."""

    key: str
    content: bytes
    version: int


class ConditionMessage(msgspec.Struct):
    """Condition of a transaction."""

    key: str
    version: int


class WriteMessage(msgspec.Struct):
    """Write of a transaction."""

    key: str
    content: bytes | None


class TransactionMessage(msgspec.Struct):
    """Transaction on the table."""

    conditions: list[ConditionMessage]
    writes: list[WriteMessage]


class CommitMessage(msgspec.Struct):
    """Response of the table to a transaction."""

    applied: bool
    conflicts: list[RowMessage]


class ScanMessage(msgspec.Struct):
    """Response of the table to a scan."""

    rows: list[RowMessage]


class UpstreamOrder(msgspec.Struct):
    """Order for upstreams in a data centre.

    :param order_id: idempotency key.
    :param token: fencing token of the sender's lease.
    :param count: desired number of upstreams of the kind.
    :param deadline: expiry of the order in seconds since the epoch.
    :param notice_seconds: time that upstreams have to drain.
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
    """Number of upstreams of a kind in a data centre.

    :param reclaimed: whether the platform is about to reclaim them.
    """

    data_centre: str
    kind: str
    count: int
    reclaimed: bool = False


class UsageReport(msgspec.Struct):
    """Report of a usage window.

    :param report_id: idempotency key.
    :param content: encoded report, frozen so that every attempt sends the
        same bytes.
    """

    report_id: str
    token: int
    sender: str
    window: str
    content: bytes


class VmEntry(msgspec.Struct):
    """Entry VM in the platform's list."""

    vm: str
    data_centre: str
    address: str
    leaving: bool = False


class ScoreRequest(msgspec.Struct):
    """Request to the scoring service."""

    sample_id: str
    text: str


class ScoreResponse(msgspec.Struct):
    """Response of the scoring service."""

    score: float


class PlatformFaults(msgspec.Struct):
    """Fault injection settings of the platform's stand-in.

    :param down: refuse every request.
    :param slow_seconds: delay of each response.
    :param lose_answers: number of writes that are applied but whose response
        is dropped.
    :param ignore_tokens: accept orders and reports with a stale token.
    :param unavailable: kinds of upstreams that cannot be allocated.
    :param reclaimed: data centres whose cheap upstreams are being reclaimed.
    :param weight_requests: rate limit of the weight store in requests per
        second; 0 for no limit.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    weight_requests: int = 0
    ignore_tokens: bool = False
    unavailable: tuple[str, ...] = ()
    reclaimed: tuple[str, ...] = ()


def pack_transaction(transaction: Transaction) -> bytes:
    """Encode a transaction."""
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
    """Decode the table's response to a transaction."""
    message = decode_json(content, CommitMessage)
    return TransactionResult(
        message.applied,
        tuple(unpack_row(row) for row in message.conflicts),
    )


def unpack_row(message: RowMessage) -> Row:
    """Convert a row message."""
    return Row(message.key, message.content, message.version)
