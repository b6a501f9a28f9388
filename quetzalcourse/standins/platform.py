"""Stand-in for the platform on a real socket, with fault injection."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import xxhash
from sanic import Request
from sanic import response as answers

from quetzalcourse.protocol.platform import (
    CommitMessage,
    PlatformFaults,
    RowMessage,
    ScanMessage,
    ScoreResponse,
    ScoreRequest,
    TransactionMessage,
    UpstreamOrder,
    UsageReport,
    VmEntry,
)
from quetzalcourse.standins.engine import encode_answer
from quetzalcourse.standins.order_store import OrderStore
from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.web import (
    WebServer,
    abort_connection,
    build_app,
)

if TYPE_CHECKING:
    from sanic import Sanic
    from sanic.response import HTTPResponse

BODY_BYTES = 64_000_000


@dataclass(slots=True)
class PlatformRecord:
    """Calls that the platform received, for assertions."""

    reads: int = 0
    writes: int = 0
    orders: list[UpstreamOrder] = field(default_factory=list)
    reports: list[UsageReport] = field(default_factory=list)
    scored: list[str] = field(default_factory=list)


class TableStandin:
    """Transactional table in memory."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.rows: dict[str, RowMessage] = {}
        self._versions: dict[str, int] = {}

    def read(self, key: str) -> RowMessage | None:
        """Read one row."""
        return self.rows.get(key)

    def scan(self, prefix: str, after: str, limit: int) -> list[RowMessage]:
        """Read rows in key order."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        start = bisect_right(keys, after)
        return [self.rows[key] for key in keys[start : start + limit]]

    def transact(self, message: TransactionMessage) -> CommitMessage:
        """Write rows atomically if every condition holds."""
        conflicts = [
            self.rows.get(
                condition.key, RowMessage(condition.key, b'', version=0)
            )
            for condition in message.conditions
            if self._find_version(condition.key) != condition.version
        ]
        if conflicts:
            return CommitMessage(applied=False, conflicts=conflicts)
        for write in message.writes:
            self._write(write.key, write.content)
        return CommitMessage(applied=True, conflicts=[])

    def _find_version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0

    def _write(self, key: str, content: bytes | None) -> None:
        if content is None:
            self.rows.pop(key, None)
            return
        # Versions of a deleted row are never reused. Otherwise a writer that
        # still holds one would pass a condition that it must fail.
        version = self._versions.get(key, 0) + 1
        self._versions[key] = version
        self.rows[key] = RowMessage(key, content, version)


class PlatformStandin:
    """Platform with its table, object store, orders, reports and scoring."""

    def __init__(self, address: str = '127.0.0.1:0') -> None:
        """Open the listening socket, so that the address is known."""
        self.faults = PlatformFaults()
        self.record = PlatformRecord()
        self.table = TableStandin()
        self.objects: dict[str, bytes] = {}
        self.orders = OrderStore()
        self.vms: list[VmEntry] = []
        self.weights: dict[str, int] = {}
        self._weight_asked: deque[float] = deque(maxlen=10_000)
        listener = open_listener(address)
        self.address = read_address(listener)
        app = build_app(f'platform-{self.address}', BODY_BYTES)
        self._add_routes(app)
        self._server = WebServer(app, listener)

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()

    def _add_routes(self, app: Sanic) -> None:
        app.on_request(self._check_faults)
        app.on_response(self._lose_answer)
        app.add_route(self._read, '/table/rows/<key:path>', methods=['GET'])
        app.add_route(self._scan, '/table/scan', methods=['GET'])
        app.add_route(self._transact, '/table/transact', methods=['POST'])
        app.add_route(
            self._get, '/objects/<name:path>', methods=['GET'], name='get'
        )
        app.add_route(
            self._put, '/objects/<name:path>', methods=['PUT'], name='put'
        )
        app.add_route(self._order, '/upstream-orders', methods=['POST'])
        app.add_route(self._list_upstreams, '/upstreams', methods=['GET'])
        app.add_route(self._take_report, '/usage-reports', methods=['POST'])
        app.add_route(self._list_vms, '/vms', methods=['GET'])
        app.add_route(self._tell_weights, '/weights/<model>', methods=['GET'])
        app.add_route(self._score, '/scoring', methods=['POST'])
        app.add_route(self._set_faults, '/faults', methods=['PUT'])

    async def _check_faults(self, request: Request) -> HTTPResponse | None:
        if request.path == '/faults':
            return None
        if self.faults.down:
            return answers.empty(status=503)
        await asyncio.sleep(self.faults.slow_seconds)
        return None

    async def _lose_answer(self, request: Request, _: object) -> None:
        if request.method == 'GET' or request.path == '/faults':
            return
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            abort_connection(request)

    async def _read(self, _: Request, key: str) -> HTTPResponse:
        self.record.reads += 1
        row = self.table.read(key)
        if row is None:
            return answers.empty(status=404)
        return encode_answer(row)

    async def _scan(self, request: Request) -> HTTPResponse:
        self.record.reads += 1
        rows = self.table.scan(
            request.args.get('prefix', ''),
            request.args.get('after', ''),
            int(request.args.get('limit', '1000')),
        )
        return encode_answer(ScanMessage(rows))

    async def _transact(self, request: Request) -> HTTPResponse:
        self.record.writes += 1
        message = msgspec.json.decode(request.body, type=TransactionMessage)
        return encode_answer(self.table.transact(message))

    async def _get(self, _: Request, name: str) -> HTTPResponse:
        self.record.reads += 1
        content = self.objects.get(name)
        if content is None:
            return answers.empty(status=404)
        return answers.raw(content)

    async def _put(self, request: Request, name: str) -> HTTPResponse:
        self.record.writes += 1
        self.objects[name] = request.body
        return answers.empty()

    async def _order(self, request: Request) -> HTTPResponse:
        order = msgspec.json.decode(request.body, type=UpstreamOrder)
        self.record.orders.append(order)
        return answers.empty(status=self.orders.take_order(order, self.faults))

    async def _list_upstreams(self, _: Request) -> HTTPResponse:
        return encode_answer(self.orders.list_counts(self.faults))

    async def _take_report(self, request: Request) -> HTTPResponse:
        report = msgspec.json.decode(request.body, type=UsageReport)
        self.record.reports.append(report)
        status = self.orders.take_report(report, self.faults)
        return answers.empty(status=status)

    async def _list_vms(self, _: Request) -> HTTPResponse:
        return encode_answer(self.vms)

    async def _tell_weights(self, _: Request, model: str) -> HTTPResponse:
        now = asyncio.get_running_loop().time()
        while self._weight_asked and self._weight_asked[0] <= now - 1:
            self._weight_asked.popleft()
        limit = self.faults.weight_requests
        if limit and len(self._weight_asked) >= limit:
            return answers.empty(status=429)
        self._weight_asked.append(now)
        return encode_answer(self.weights.get(model, 0))

    async def _score(self, request: Request) -> HTTPResponse:
        wanted = msgspec.json.decode(request.body, type=ScoreRequest)
        self.record.scored.append(wanted.sample_id)
        digest = xxhash.xxh32_intdigest(wanted.text.encode())
        return encode_answer(ScoreResponse(digest % 1000 / 1000))

    async def _set_faults(self, request: Request) -> HTTPResponse:
        self.faults = msgspec.json.decode(request.body, type=PlatformFaults)
        return answers.empty()
