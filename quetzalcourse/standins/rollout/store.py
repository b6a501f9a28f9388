"""Stand-in for the platform's metadata store."""

from __future__ import annotations

import asyncio
import json
import random
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from quetzalcourse.standins.rollout.server import StandinServer
from quetzalcourse.transport.gateway import send_response
from quetzalcourse.transport.web import abort_connection

if TYPE_CHECKING:
    from sanic import Request

    from quetzalcourse.state.calls import RequestHead

    RowName = tuple[str, str, str]

PAGE_ROWS = 500
ROW_BYTES = 65536
OK = 200
FORBIDDEN = 403
BAD_REQUEST = 400
GONE = 410
CONFLICT = 412
UNAVAILABLE = 503
SILENT_POLL = 0.05
READ_ONLY = frozenset(('op', 'servers'))


@dataclass(slots=True)
class StoreFaults:
    """Faults to inject into the store.

    :param mode: how every call fails: ``busy``, ``reset`` or ``silent``.
    :param lost_answers: share of transactions whose answer is lost.
    :param late_seconds: delay in seconds until a transaction is applied
        whose answer is lost.
    :param delay_seconds: latency in seconds added to every call.
    :param answer_delay_seconds: seconds between a write and its
        answer.
    """

    mode: str = ''
    lost_answers: float = 0
    late_seconds: float = 0
    delay_seconds: float = 0
    answer_delay_seconds: float = 0


@dataclass(slots=True)
class StoredRow:
    """Row; ``value`` is the base64 text as received."""

    table: str
    part: str
    key: str
    value: str
    ver: int
    tombstone: bool = False

    def to_wire(self) -> dict[str, Any]:
        """Return the row as it goes over the wire."""
        message: dict[str, Any] = {
            'table': self.table,
            'part': self.part,
            'key': self.key,
            'ver': self.ver,
        }
        if self.tombstone:
            message['tombstone'] = True
        else:
            message['value'] = self.value
        return message


@dataclass(slots=True)
class StoreContent:
    """All rows and the log of their changes."""

    rows: dict[RowName, StoredRow] = field(default_factory=dict)
    log: list[StoredRow] = field(default_factory=list)
    version: int = 1
    oldest: int = 0


class StoreEndpoint:
    """Address of the store with faults of its own.

    With an endpoint for each daemon, the store can be made unavailable to a
    single daemon.
    """

    def __init__(self, store: StoreStandin) -> None:
        """Create the endpoint without faults."""
        self.faults = StoreFaults()
        self._store = store
        self.server = StandinServer('store-door', self.serve)

    async def serve(self, request: Request, head: RequestHead) -> None:
        """Forward a call to the store, or fail it."""
        if await apply_fault(self.faults, request):
            return
        await self._store.serve(request, head)


class StoreStandin:
    """Serves the row API of the store.

    :param seed: seed for the choice of lost answers.
    """

    def __init__(self, seed: int = 0) -> None:
        """Create an empty store."""
        self.faults = StoreFaults()
        self.content = StoreContent()
        self.calls = 0
        self._random = random.Random(seed)
        self._changed = asyncio.Condition()
        self._started = time.monotonic()
        self._late_writes: set[asyncio.Task[None]] = set()

    async def write(
        self, table: str, key: str, document: Any, part: str = ''
    ) -> int:
        """Write a row as the operator, a trainer or a server does.

        :param document: content; bytes are written as they are, which allows
            malformed rows.
        :returns: the row's version.
        """
        content = document
        if not isinstance(document, bytes):
            content = json.dumps(document).encode()
        value = b64encode(content).decode()
        return await self.write_text(table, key, value, part)

    async def write_text(
        self, table: str, key: str, value: str, part: str = ''
    ) -> int:
        """Write a row whose value may not even be base64."""
        return await self._apply([(table, part, key, value)], [])

    async def remove(self, table: str, key: str, part: str = '') -> None:
        """Remove a row as the store does when heartbeats stop."""
        await self._apply([], [(table, part, key)])

    def forget_history(self) -> None:
        """Clear the change log, so that followers have to read again."""
        self.content.log.clear()
        self.content.oldest = self.content.version

    async def serve(self, request: Request, head: RequestHead) -> None:
        """Serve one call."""
        self.calls += 1
        if await apply_fault(self.faults, request):
            return
        await self._dispatch(request, head)

    async def _dispatch(self, request: Request, head: RequestHead) -> None:
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                head.target.partition('?')[2], keep_blank_values=True
            ).items()
        }
        call = head.path.rpartition('/')[2]
        if call == 'rows-tx':
            await request.receive_body()
            await self._transact(request, json.loads(request.body))
        elif call == 'rows-get':
            await self._answer(request, OK, self._get(query))
        elif call == 'rows-parts':
            await self._answer(request, OK, self._list_parts(query))
        else:
            status, content = await self._follow(query)
            await self._answer(request, status, content)

    async def _transact(self, request: Request, body: dict[str, Any]) -> None:
        if not _is_valid(body):
            await self._answer(request, BAD_REQUEST, {})
            return
        lost = self._random.random() < self.faults.lost_answers
        if lost and self.faults.late_seconds:
            task = asyncio.ensure_future(self._apply_late(body))
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
            abort_connection(request)
            return
        status, content = await self._apply_if_current(body)
        await asyncio.sleep(self.faults.answer_delay_seconds)
        if lost:
            abort_connection(request)
            return
        await self._answer(request, status, content)

    async def _apply_late(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(self.faults.late_seconds)
        await self._apply_if_current(body)

    async def _apply_if_current(
        self, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        rows = self.content.rows
        failed = False
        current = []
        for expected in body['expected']:
            row = rows.get(_row_name(expected))
            version = 0 if row is None else row.ver
            failed |= version != expected['ver']
            if row is not None:
                current.append(row.to_wire())
        if failed:
            return CONFLICT, {'rows': current}
        version = await self._apply(
            [(*_row_name(row), row['value']) for row in body['writes']],
            [_row_name(row) for row in body['remove']],
        )
        return OK, {'ver': version}

    async def _apply(
        self,
        writes: list[tuple[str, str, str, str]],
        removals: list[RowName],
    ) -> int:
        content = self.content
        content.version += 1
        version = content.version
        for table, part, key, value in writes:
            row = StoredRow(table, part, key, value, version)
            content.rows[table, part, key] = row
            content.log.append(row)
        for name in removals:
            if content.rows.pop(name, None) is not None:
                content.log.append(
                    StoredRow(*name, '', version, tombstone=True)
                )
        async with self._changed:
            self._changed.notify_all()
        return version

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        limit = min(int(query.get('limit') or PAGE_ROWS), PAGE_ROWS)
        begin, end = query.get('from', ''), query.get('to', '')
        matching = sorted(
            (
                row
                for row in self.content.rows.values()
                if (row.table, row.part) == (query['table'], query['part'])
                and row.key >= begin
                and (not end or row.key < end)
            ),
            key=lambda row: row.key.encode(),
        )
        return {
            'rows': [row.to_wire() for row in matching[:limit]],
            'has_more': len(matching) > limit,
        }

    def _list_parts(self, query: dict[str, str]) -> dict[str, Any]:
        parts = {
            row.part
            for row in self.content.rows.values()
            if row.table == query['table']
        }
        after = query.get('after', '')
        return {'parts': sorted(part for part in parts if part > after)}

    async def _follow(
        self,
        query: dict[str, str],
    ) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        if after < self.content.oldest:
            return GONE, {}
        deadline = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            rows = [
                row.to_wire()
                for row in self.content.log
                if row.table == query['table'] and row.ver > after
            ]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return OK, {'rows': rows}
            await self._wait(remaining)

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait()
        except TimeoutError:
            return

    async def _answer(
        self,
        request: Request,
        status: int,
        content: dict[str, Any],
    ) -> None:
        now = (time.monotonic() - self._started) * 1000 + 1
        message = {'ver': self.content.version, 'now_ms': now} | content
        await send_response(
            request, json.dumps(message).encode(), status=status
        )


async def apply_fault(faults: StoreFaults, request: Request) -> bool:
    """Apply the injected faults to a call.

    :returns: whether this has ended the call.
    """
    await asyncio.sleep(faults.delay_seconds)
    if faults.mode == 'busy':
        await send_response(request, b'{}', status=UNAVAILABLE)
        return True
    if faults.mode == 'reset':
        abort_connection(request)
        return True
    while faults.mode == 'silent':
        await asyncio.sleep(SILENT_POLL)
    return False


def _row_name(row: dict[str, Any]) -> RowName:
    return row['table'], row['part'], row['key']


def _is_valid(body: dict[str, Any]) -> bool:
    """Return whether the store accepts a transaction."""
    entries = [*body['expected'], *body['writes'], *body['remove']]
    parts = {entry['part'] for entry in entries}
    tables = {entry['table'] for entry in entries}
    small = all(
        len(b64decode(row['value'])) <= ROW_BYTES for row in body['writes']
    )
    return len(parts) <= 1 and not tables & READ_ONLY and small
