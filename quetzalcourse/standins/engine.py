"""Stand-in for an inference engine on a real socket, with fault injection."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
from sanic import Request
from sanic import response as answers

from quetzalcourse.protocol.engines import (
    CacheEvent,
    EngineChunk,
    EngineOrder,
    EngineRefusal,
    EngineRequest,
    LoadReport,
)
from quetzalcourse.protocol.events import END_EVENT, encode_event
from quetzalcourse.standins.tokens import make_token, plan_length
from quetzalcourse.transport.sockets import open_listener, read_address
from quetzalcourse.transport.web import (
    WebServer,
    abort_connection,
    build_app,
)

if TYPE_CHECKING:
    from sanic import Sanic
    from sanic.response import HTTPResponse

BODY_BYTES = 16_000_000
PREFIX_LENGTH = 64


@dataclass(slots=True)
class EngineFaults:
    """Faults to inject into the engine stand-in.

    :param refuse: refuse every request before running it.
    :param break_after: abort one stream after this many tokens.
    :param stall: send no tokens while set.
    :param drop_versions: leave the weight version out of chunks.
    :param crossed_request: send one chunk with another request's id.
    :param swap_fails: ignore orders to load a version.
    :param report_lag_seconds: age of the load report.
    :param lose_cache_events: drop this many of the next cache events.
    :param leaving: announce in the load report that the engine leaves.
    :param gateway_status: HTTP status of a gateway in front of the engine that
        answers in its place; 0 for none.
    :param strange_report: answer load queries with an unexpected body.
    :param padding: number of characters appended to every token.
    """

    refuse: bool = False
    break_after: int | None = None
    stall: bool = False
    drop_versions: bool = False
    crossed_request: bool = False
    swap_fails: bool = False
    report_lag_seconds: float = 0.0
    lose_cache_events: int = 0
    leaving: bool = False
    gateway_status: int = 0
    strange_report: bool = False
    padding: int = 0


@dataclass(slots=True)
class EngineRecord:
    """Requests and orders that an engine received, for assertions."""

    bodies: list[bytes] = field(default_factory=list)
    headers: list[dict[str, str]] = field(default_factory=list)
    started: list[str] = field(default_factory=list)
    completed: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    orders: list[EngineOrder] = field(default_factory=list)
    max_queued: int = 0
    max_running: int = 0


class EngineStandin:
    """Engine with a slot limit, a queue of its own and a prefix cache.

    :param name: unique in the process.
    :param models: models that it serves.
    :param slots: requests that it runs at once; further ones are queued.
    :param token_seconds: time per token.
    :param checks_fencing: whether orders with an old fencing token are
        refused.
    """

    def __init__(
        self,
        name: str,
        models: tuple[str, ...],
        slots: int = 8,
        token_seconds: float = 0.0005,
        checks_fencing: bool = True,
        address: str = '127.0.0.1:0',
    ) -> None:
        """Open the listening socket, so that the address is known."""
        self.name = name
        self.faults = EngineFaults()
        self.record = EngineRecord()
        self.weight_version = 1
        self.role = ''
        self.models = list(models)
        self.adapters: list[str] = []
        self._slots = slots
        self._token_seconds = token_seconds
        self._checks_fencing = checks_fencing
        self._newest_token = 0
        self._slot = asyncio.Semaphore(slots)
        self._running = 0
        self._queued = 0
        self._cancelled: set[str] = set()
        self._cache: deque[str] = deque(maxlen=256)
        self._events: list[CacheEvent] = []
        self._event_sequence = 0
        self._saved: dict[str, list[str]] = {}
        self._reports: deque[tuple[float, LoadReport]] = deque(maxlen=4096)
        self._orders_seen: set[str] = set()
        listener = open_listener(address)
        self.address = read_address(listener)
        app = build_app(f'engine-{name}', BODY_BYTES)
        self._add_routes(app)
        self._server = WebServer(app, listener)

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()

    def report_load(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            self._slots,
            self._running,
            self._queued,
            self.weight_version,
            list(self.models),
            list(self.adapters),
            self.role,
            self.faults.leaving,
        )

    def _add_routes(self, app: Sanic) -> None:
        app.add_route(self._complete, '/v1/completions', methods=['POST'])
        app.add_route(
            self._cancel, '/v1/requests/<request_id>', methods=['DELETE']
        )
        app.add_route(self._report, '/load', methods=['GET'])
        app.add_route(self._list_events, '/cache-events', methods=['GET'])
        app.add_route(self._take_order, '/orders', methods=['POST'])
        app.add_route(
            self._export, '/kv/<request_id>', methods=['GET'], name='export'
        )
        app.add_route(
            self._import, '/kv/<request_id>', methods=['PUT'], name='import'
        )

    async def _complete(self, request: Request) -> HTTPResponse | None:
        self.record.bodies.append(request.body)
        self.record.headers.append(dict(request.headers))
        if self.faults.gateway_status:
            return answers.text('upstream', status=self.faults.gateway_status)
        wanted = msgspec.json.decode(request.body, type=EngineRequest)
        if self.faults.refuse or wanted.model not in self.models:
            return refuse('refused')
        if wanted.weight_version not in {None, self.weight_version}:
            return refuse('version')
        self._queued += 1
        self.record.max_queued = max(
            self.record.max_queued, self._queued - self._count_free()
        )
        try:
            await self._slot.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        self.record.max_running = max(self.record.max_running, self._running)
        try:
            await self._stream(request, wanted)
        finally:
            self._running -= 1
            self._slot.release()
        return None

    def _count_free(self) -> int:
        return self._slots - self._running

    async def _stream(
        self,
        request: Request,
        wanted: EngineRequest,
    ) -> None:
        self.record.started.append(wanted.request_id)
        self._remember_prefix(wanted.prompt)
        length = plan_length(wanted.prompt, wanted.seed, wanted.max_tokens)
        stream = await request.respond(content_type='text/event-stream')
        start = len(wanted.resume_tokens)
        if start >= length:
            await stream.send(self._encode_end(wanted, start))
        for offset in range(start, length):
            await self._pace()
            if wanted.request_id in self._cancelled:
                abort_connection(request)
                return
            if self.faults.break_after == offset - start:
                self.faults.break_after = None
                abort_connection(request)
                return
            await stream.send(self._encode_token(wanted, offset, length))
        await stream.send(END_EVENT)
        await stream.eof()
        self.record.completed.append(wanted.request_id)

    async def _pace(self) -> None:
        await asyncio.sleep(self._token_seconds)
        while self.faults.stall:
            await asyncio.sleep(self._token_seconds)

    def _encode_end(self, wanted: EngineRequest, offset: int) -> bytes:
        chunk = EngineChunk(
            wanted.request_id,
            offset,
            [],
            self.weight_version,
            'stop',
            count_prompt(wanted.prompt),
        )
        return encode_event(msgspec.json.encode(chunk))

    def _encode_token(
        self,
        wanted: EngineRequest,
        offset: int,
        length: int,
    ) -> bytes:
        request_id = wanted.request_id
        if self.faults.crossed_request:
            self.faults.crossed_request = False
            request_id = 'another-request'
        last = offset + 1 == length
        reason = 'length' if length == wanted.max_tokens else 'stop'
        token = make_token(wanted.prompt, wanted.seed, offset)
        token += 'x' * self.faults.padding
        self._saved.setdefault(wanted.request_id, []).append(token)
        chunk = EngineChunk(
            request_id,
            offset,
            [token],
            0 if self.faults.drop_versions else self.weight_version,
            reason if last else '',
            count_prompt(wanted.prompt) if last else 0,
        )
        return encode_event(msgspec.json.encode(chunk))

    async def _cancel(self, _: Request, request_id: str) -> HTTPResponse:
        self._cancelled.add(request_id)
        self.record.cancelled.append(request_id)
        return answers.empty()

    async def _report(self, _: Request) -> HTTPResponse:
        if self.faults.strange_report:
            return answers.text('welcome')
        now = asyncio.get_running_loop().time()
        self._reports.append((now, self.report_load()))
        asked = now - self.faults.report_lag_seconds
        old = [report for at, report in self._reports if at <= asked]
        report = old[-1] if old else self._reports[0][1]
        return encode_answer(report)

    async def _list_events(self, request: Request) -> HTTPResponse:
        after = int(request.args.get('after', '0'))
        return encode_answer(
            [event for event in self._events if event.sequence > after]
        )

    async def _take_order(self, request: Request) -> HTTPResponse:
        order = msgspec.json.decode(request.body, type=EngineOrder)
        self.record.orders.append(order)
        if self._checks_fencing and order.token < self._newest_token:
            return refuse('fencing', status=409)
        self._newest_token = max(self._newest_token, order.token)
        if order.order_id not in self._orders_seen:
            self._orders_seen.add(order.order_id)
            self._apply(order)
        return encode_answer(self.report_load())

    def _apply(self, order: EngineOrder) -> None:
        if order.kind == 'load_version' and not self.faults.swap_fails:
            self.weight_version = order.version
        elif order.kind == 'load_adapter':
            self.adapters.append(order.name)
        elif order.kind == 'load_model':
            self.models.append(order.name)
        elif order.kind == 'role':
            self.role = order.name

    async def _export(self, _: Request, request_id: str) -> HTTPResponse:
        return encode_answer(self._saved.get(request_id, []))

    async def _import(self, request: Request, request_id: str) -> HTTPResponse:
        self._saved[request_id] = msgspec.json.decode(
            request.body, type=list[str]
        )
        return answers.empty()

    def _remember_prefix(self, prompt: str) -> None:
        prefix = prompt[:PREFIX_LENGTH]
        if prefix in self._cache:
            return
        if len(self._cache) == self._cache.maxlen:
            self._emit('evicted', self._cache[0])
        self._cache.append(prefix)
        self._emit('stored', prefix)

    def _emit(self, kind: str, prefix: str) -> None:
        self._event_sequence += 1
        if self.faults.lose_cache_events:
            self.faults.lose_cache_events -= 1
            return
        self._events.append(CacheEvent(self._event_sequence, kind, prefix))


def count_prompt(prompt: str) -> int:
    """Count the tokens of a prompt."""
    return len(prompt.split())


def encode_answer(message: object) -> HTTPResponse:
    """Build a response with a message as JSON."""
    return answers.raw(
        msgspec.json.encode(message), content_type='application/json'
    )


def refuse(reason: str, status: int = 503) -> HTTPResponse:
    """Build the response that refuses a request before it runs."""
    return answers.raw(
        msgspec.json.encode(EngineRefusal(reason)),
        status=status,
        content_type='application/json',
    )
