"""Client of the platform's metadata store."""

from __future__ import annotations

from base64 import b64decode
from datetime import timedelta
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from quetzalcourse.state.decoding import (
    Int64,
    MalformedMessageError,
    Milliseconds,
    decode_json,
)
from quetzalcourse.state.rows import (
    RowChanges,
    TransactionResult,
    FaultKind,
    Row,
    StoreFault,
)

if TYPE_CHECKING:
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.rows import Transaction
    from quetzalcourse.transport.channel import Channel, ChannelResponse

OK = 200
GONE = 410
CONFLICT = 412
SERVER_ERROR = 500
BUSY = 503
# A slow store takes some 300 ms for a write; after this time the response
# counts as lost.
CALL_TIMEOUT_SECONDS = 1.5
FOLLOW_SLACK_SECONDS = 0.8
# A delayed response makes the store's clock seem late by its delay. The best
# sample of the last ten seconds is off by a few milliseconds.
CLOCK_SAMPLE_MAX_AGE = timedelta(seconds=10)
# Most rows that the store returns in one response.
PAGE_ROWS = 500


class RowMessage(msgspec.Struct, omit_defaults=True):
    """A row; ``ver`` comes from a counter common to the whole store."""

    table: str
    part: str
    key: str
    value: bytes = b''
    ver: int = 0
    tombstone: bool = False


class StoredRowMessage(msgspec.Struct):
    """A row as the store returns it; ``value`` is its content in base64.

    Any process may have written the value, so it is decoded for each row apart:
    one that is malformed must not make the others unreadable.
    """

    table: str
    part: str
    key: str
    value: str = ''
    ver: Int64 = 0
    tombstone: bool = False


class ExpectedMessage(msgspec.Struct):
    """Version that a row must have; 0 means that it must not exist."""

    table: str
    part: str
    key: str
    ver: int


class TransactionMessage(msgspec.Struct):
    """Atomic changes; ``remove`` lists rows to delete."""

    expected: list[ExpectedMessage]
    writes: list[RowMessage]
    remove: list[RowMessage]


class AnswerMessage(msgspec.Struct):
    """Response to any call on rows.

    ``ver`` is the store's latest version, ``now_ms`` its monotonic clock.
    """

    ver: Int64 = 0
    now_ms: Milliseconds = 0
    rows: list[StoredRowMessage] = []
    parts: list[str] = []
    has_more: bool = False


def split_key(key: str) -> tuple[str, str, str]:
    """Split a key into table, part and name within the part."""
    table, part, name = key.split('/', 2)
    return table, part, name


def read_row(message: StoredRowMessage) -> Row:
    """Convert a row from its wire format; malformed content becomes empty."""
    try:
        content = b64decode(message.value, validate=True)
    except ValueError:
        content = b''
    return Row(
        f'{message.table}/{message.part}/{message.key}',
        content,
        message.ver,
        message.tombstone,
    )


class StoreClient:
    """Reads, writes and follows rows, and estimates the store's clock.

    :param channel: connections to the store.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Start without a sample of the store's clock."""
        self._channel = channel
        self._clock = clock
        self._counters = counters
        self._clock_offset: timedelta | None = None
        self._clock_offset_at = timedelta(0)

    def estimate(self) -> timedelta | None:
        """Estimate the store's monotonic clock, ``None`` before a sample."""
        if self._clock_offset is None:
            return None
        return self._clock.elapsed() + self._clock_offset

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row."""
        table, part, name = split_key(key)
        answer = await self._get(
            'rows-get',
            {'table': table, 'part': part, 'from': name, 'limit': 1},
        )
        if isinstance(answer, Err):
            return answer
        rows = [read_row(row) for row in answer.ok_value.rows]
        return Ok(next((row for row in rows if row.key == key), None))

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = PAGE_ROWS,
    ) -> Result[list[Row], StoreFault]:
        """Read rows of one part in key order.

        :param prefix: ``TABLE/PART/``.
        """
        table, part, _ = split_key(prefix)
        begin = f'{split_key(after)[2]}\x00' if after else ''
        rows: list[Row] = []
        while True:
            answer = await self._get(
                'rows-get',
                {'table': table, 'part': part, 'from': begin, 'limit': limit},
            )
            if isinstance(answer, Err):
                return answer
            rows.extend(read_row(row) for row in answer.ok_value.rows)
            if not answer.ok_value.has_more or len(rows) >= limit:
                return Ok(rows)
            begin = f'{split_key(rows[-1].key)[2]}\x00'

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows of one part atomically if every condition holds."""
        body = msgspec.json.encode(pack_transaction(transaction))
        answer = await self._call('POST', '/quetzalcourse/rows-tx', body)
        if isinstance(answer, Err):
            return answer
        status, message = answer.ok_value
        rows = tuple(read_row(row) for row in message.rows)
        return Ok(TransactionResult(status == OK, rows, message.ver))

    async def read_part(
        self,
        table: str,
        part: str,
    ) -> Result[RowChanges, StoreFault]:
        """Read all rows of a part."""
        rows: list[Row] = []
        version = 0
        begin = ''
        while True:
            answer = await self._get(
                'rows-get',
                {'table': table, 'part': part, 'from': begin},
            )
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            version = version or page.ver
            rows.extend(read_row(row) for row in page.rows)
            if not page.has_more:
                return Ok(RowChanges(tuple(rows), version))
            begin = f'{page.rows[-1].key}\x00'

    async def list_parts(self, table: str) -> Result[list[str], StoreFault]:
        """List the parts of a table."""
        parts: list[str] = []
        while True:
            query: dict[str, str | int] = {
                'table': table,
                'after': parts[-1] if parts else '',
            }
            answer = await self._get('rows-parts', query)
            if isinstance(answer, Err):
                return answer
            parts.extend(answer.ok_value.parts)
            if not answer.ok_value.has_more:
                return Ok(parts)

    async def follow(
        self,
        table: str,
        version: int,
        wait: timedelta,
    ) -> Result[RowChanges, StoreFault]:
        """Wait for the changes after a version."""
        milliseconds = int(wait.total_seconds() * 1000)
        answer = await self._get(
            'rows-feed',
            {'table': table, 'after': version, 'wait_ms': milliseconds},
            wait.total_seconds() + FOLLOW_SLACK_SECONDS,
        )
        if isinstance(answer, Err):
            return answer
        message = answer.ok_value
        rows = tuple(read_row(row) for row in message.rows)
        return Ok(RowChanges(rows, message.ver))

    async def _get(
        self,
        call: str,
        query: dict[str, str | int],
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[AnswerMessage, StoreFault]:
        target = f'/quetzalcourse/{call}?{urlencode(query)}'
        answer = await self._call('GET', target, seconds=seconds)
        return answer.map(lambda found: found[1])

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[tuple[int, AnswerMessage], StoreFault]:
        began = self._clock.elapsed()
        headers = {'Content-Type': 'application/json'} if body else None
        answer = await self._channel.request(
            method, target, body, headers=headers, seconds=seconds
        )
        call = target.partition('?')[0].rpartition('/')[2]
        took = self._clock.elapsed() - began
        self._counters.observe('store_call', took.total_seconds(), call=call)
        read = answer.and_then(lambda found: self._decode_answer(call, found))
        outcome = read.err_value.kind if isinstance(read, Err) else 'ok'
        self._counters.add('store_calls', call=call, outcome=str(outcome))
        return read

    def _decode_answer(
        self,
        call: str,
        answer: ChannelResponse,
    ) -> Result[tuple[int, AnswerMessage], StoreFault]:
        if answer.status not in (OK, CONFLICT):
            return Err(self._classify_status(call, answer.status))
        try:
            message = decode_json(answer.content, AnswerMessage)
        except MalformedMessageError as error:
            step = f'{call}: {error}'
            return Err(
                StoreFault(FaultKind.unanswered, step, self._channel.address)
            )
        if message.now_ms:
            self.on_clock(timedelta(milliseconds=message.now_ms))
        return Ok((answer.status, message))

    def on_clock(self, store_now: timedelta) -> None:
        """Update the clock estimate from a response that has just arrived."""
        now = self._clock.elapsed()
        offset = store_now - now
        previous = self._clock_offset
        outdated = now - self._clock_offset_at > CLOCK_SAMPLE_MAX_AGE
        if previous is None or offset > previous or outdated:
            self._clock_offset = offset
            self._clock_offset_at = now

    def _classify_status(self, call: str, status: int) -> StoreFault:
        kind = FaultKind.unanswered
        if status < SERVER_ERROR or status == BUSY:
            kind = FaultKind.not_applied
        return StoreFault(
            kind,
            f'{call} {status}',
            self._channel.address,
            history_lost=status == GONE,
        )


def pack_transaction(transaction: Transaction) -> TransactionMessage:
    """Convert a transaction to its wire format."""
    expected = [
        ExpectedMessage(*split_key(condition.key), condition.version)
        for condition in transaction.conditions
    ]
    writes = [
        RowMessage(*split_key(write.key), write.content)
        for write in transaction.writes
        if write.content is not None
    ]
    removals = [
        RowMessage(*split_key(write.key))
        for write in transaction.writes
        if write.content is None
    ]
    return TransactionMessage(expected, writes, removals)
