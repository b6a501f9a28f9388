"""Callers' requests on their way to upstreams, and answers on theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.state.calls import ResponseOutcome, AttemptMetadata
from quetzalcourse.transport.headers import HOP_BY_HOP, list_named
from quetzalcourse.transport.relay import AnswerStream
from quetzalcourse.transport.upstream_calls import (
    CallLostError,
    LostState,
    read_pieces,
)
from quetzalcourse.transport.web import abort_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    import aiohttp
    from sanic import Request

    from quetzalcourse.coordination.forwarding.forwarding import (
        Forwarder,
        ForwardedRequest,
    )
    from quetzalcourse.coordination.forwarding.pool import Pool
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.calls import RequestHead
    from quetzalcourse.transport.dialect import UpstreamDialect
    from quetzalcourse.transport.spooling import SpooledBody
    from quetzalcourse.transport.upstream_calls import UpstreamCalls
    from quetzalcourse.transport.upstream_ends import UpstreamEnds

# An answer up to this size is read whole before its first byte is sent on,
# so that one which breaks off can be asked for again elsewhere.
HELD_BYTES = 65536
SERVER_ERROR = 500
READER_SECONDS = 30.0
EVENT_STREAM = 'text/event-stream'
FRAME_END = b'\n\n'
log = get_log('forward')


class AttemptFailedError(Exception):
    """Attempt that gives its request no answer.

    :param not_run: whether the upstream certainly did not run it.
    :param reason: what went wrong, in a word.
    """

    def __init__(self, reason: str, *, not_run: bool) -> None:
        """Keep what went wrong."""
        super().__init__(reason)
        self.reason = reason
        self.not_run = not_run


class Forwards:
    """Passes requests on and answers back.

    :param on_run: called with the client account of each request that an
        upstream ran.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        pool: Pool,
        calls: UpstreamCalls,
        dialect: UpstreamDialect,
        ends: UpstreamEnds,
        quarantine: Quarantine,
        on_run: Callable[[str], None],
    ) -> None:
        """Keep the parts."""
        self._forwarder = forwarder
        self._pool = pool
        self._calls = calls
        self._dialect = dialect
        self._ends = ends
        self._quarantine = quarantine
        self._on_run = on_run

    async def serve(
        self,
        request: Request,
        head: RequestHead,
        forwarding: ForwardedRequest,
        body: SpooledBody,
    ) -> None:
        """Serve one request by one upstream after another.

        :raises RefusedError: if none gave an answer.
        """
        caller = CallerAnswer(request, head.find('last-event-id'))
        while True:
            upstream = await self._choose(caller, forwarding)
            if upstream is None:
                return
            try:
                await self._attempt(caller, head, forwarding, body, upstream)
            except AttemptFailedError as error:
                self._note(forwarding, upstream, error)
                if not self._goes_on(caller, forwarding, error):
                    return
            else:
                return

    async def _choose(
        self,
        caller: CallerAnswer,
        forwarding: ForwardedRequest,
    ) -> Upstream | None:
        try:
            await self._forwarder.admit(forwarding)
            return self._forwarder.choose(forwarding)
        except RefusedError:
            if not caller.begun:
                raise
            caller.cut()
            return None

    def _goes_on(
        self,
        caller: CallerAnswer,
        forwarding: ForwardedRequest,
        error: AttemptFailedError,
    ) -> bool:
        if caller.is_broken:
            caller.cut()
            return False
        if self._forwarder.may_repeat(forwarding, not_run=error.not_run):
            return True
        if caller.begun:
            caller.cut()
            return False
        raise RefusedError(self._forwarder.build_refusal(forwarding)) from None

    def _note(
        self,
        forwarding: ForwardedRequest,
        upstream: Upstream,
        error: AttemptFailedError,
    ) -> None:
        if not error.not_run:
            forwarding.may_have_run = True
        log.info(
            'Attempt failed.',
            request_id=forwarding.request_id,
            fingerprint=forwarding.fingerprint,
            upstream=upstream.name,
            reason=error.reason,
            not_run=error.not_run,
            attempt=forwarding.attempts,
        )

    async def _attempt(
        self,
        caller: CallerAnswer,
        head: RequestHead,
        forwarding: ForwardedRequest,
        body: SpooledBody,
        upstream: Upstream,
    ) -> None:
        left = self._forwarder.find_time_left(forwarding)
        terms = AttemptMetadata(
            upstream.name,
            forwarding.client_account,
            left,
            caller.resume_after,
        )
        headers = self._dialect.write_request(head, terms)
        if not body.whole:
            forwarding.replayable = False
            if body.length is not None:
                headers.append(('Content-Length', str(body.length)))
        self._pool.on_start(upstream)
        self._pool.on_send(upstream)
        isolated = self._quarantine.on_start(
            forwarding.fingerprint, upstream.name
        )
        try:
            async with self._calls.open(
                upstream.member.address,
                head.method,
                head.target,
                headers,
                body.open(),
                self._forwarder.find_timeout(forwarding),
            ) as answer:
                self._judge(caller, forwarding, upstream, answer)
                await self._relay(caller, forwarding, answer)
                self._finish(forwarding, upstream, answer)
        except CallLostError as error:
            not_run = error.state is LostState.not_sent
            if error.state is not LostState.unanswered:
                self._forwarder.on_no_response(forwarding, upstream)
            if not_run:
                self._forwarder.on_not_sent(forwarding, upstream)
            if error.state is LostState.late:
                self._forwarder.on_timeout(forwarding)
                self._pool.on_timeout(upstream)
            else:
                self._pool.on_failure(upstream, error.state.value)
            if error.state is LostState.unanswered:
                await self._ends.on_broken(
                    upstream, forwarding.request_id, forwarding.fingerprint
                )
            raise AttemptFailedError(
                error.state.value, not_run=not_run
            ) from error
        finally:
            self._pool.on_end(upstream)
            if isolated:
                self._quarantine.on_finish(
                    forwarding.fingerprint, upstream.name
                )

    def _judge(
        self,
        caller: CallerAnswer,
        forwarding: ForwardedRequest,
        upstream: Upstream,
        answer: aiohttp.ClientResponse,
    ) -> None:
        marks = self._dialect.read_answer(
            forwarding.request_id, answer.status, answer.headers
        )
        self._pool.on_load(upstream, marks.load)
        if marks.state is ResponseOutcome.not_run:
            self._pool.on_model_refused(upstream, '')
            raise AttemptFailedError(f'status {answer.status}', not_run=True)
        if marks.state is ResponseOutcome.foreign:
            self._pool.on_failure(upstream, 'foreign answer')
            raise AttemptFailedError('foreign answer', not_run=False)
        self._forwarder.on_answer(forwarding)
        failed = answer.status >= SERVER_ERROR
        if caller.begun and marks.state is not ResponseOutcome.served:
            raise AttemptFailedError(f'status {answer.status}', not_run=False)
        if failed and self._forwarder.may_repeat(forwarding, not_run=False):
            raise AttemptFailedError(f'status {answer.status}', not_run=False)
        if not caller.begun:
            self._on_run(forwarding.client_account)

    def _finish(
        self,
        forwarding: ForwardedRequest,
        upstream: Upstream,
        answer: aiohttp.ClientResponse,
    ) -> None:
        self._pool.on_success(upstream)
        self._quarantine.on_answer(forwarding.fingerprint, upstream.run_id)
        self._pool.on_idle_connection(upstream, self._calls.keep_alive)
        log.info(
            'Request answered.',
            request_id=forwarding.request_id,
            fingerprint=forwarding.fingerprint,
            route=forwarding.route.name,
            upstream=upstream.name,
            status=answer.status,
            attempts=forwarding.attempts,
        )

    async def _relay(
        self,
        caller: CallerAnswer,
        forwarding: ForwardedRequest,
        answer: aiohttp.ClientResponse,
    ) -> None:
        left = self._forwarder.find_time_left(forwarding)
        pieces = read_pieces(answer, left)
        if answer.headers.get('Content-Type', '').startswith(EVENT_STREAM):
            await caller.begin(answer)
            await self._relay_events(caller, forwarding, pieces)
            return
        held, whole = await _hold(pieces)
        await caller.begin(answer)
        if whole:
            await caller.send(held, last=True)
            return
        try:
            await caller.send(held)
            async for piece in pieces:
                await caller.send(piece)
        except CallLostError:
            caller.is_broken = True
            raise
        await caller.send(b'', last=True)

    async def _relay_events(
        self,
        caller: CallerAnswer,
        forwarding: ForwardedRequest,
        pieces: AsyncIterator[bytes],
    ) -> None:
        """Send whole events on as they arrive.

        An upstream may break off in the middle of an event; what goes on
        elsewhere goes on behind the last whole one.

        :raises CallLostError: if the stream broke off; the caller's answer is
            broken if it can't be resumed.
        """
        rest = b''
        try:
            async for piece in pieces:
                *frames, rest = (rest + piece).split(FRAME_END)
                for frame in frames:
                    event = self._dialect.read_event(frame)
                    if event is not None:
                        caller.resume_after = str(event.number)
                if frames:
                    await caller.send(FRAME_END.join([*frames, b'']))
            if rest:
                raise CallLostError(LostState.unanswered, 'broken event')
        except CallLostError:
            may = self._forwarder.may_repeat(forwarding, not_run=False)
            if not (forwarding.route.resumable and may):
                caller.is_broken = True
            raise
        await caller.send(b'', last=True)


class CallerAnswer:
    """The answer that a caller gets, from one upstream or from several.

    :param resume_after: number of the last event that went out.

    ``is_broken`` tells whether no other upstream can complete it.
    """

    def __init__(self, request: Request, resume_after: str) -> None:
        """Begin before the first byte."""
        self.resume_after = resume_after
        self.is_broken = False
        self._request = request
        self._stream: AnswerStream | None = None

    @property
    def begun(self) -> bool:
        """Whether a part of it went out."""
        return self._stream is not None

    async def begin(self, answer: aiohttp.ClientResponse) -> None:
        """Take status and headers of an upstream's answer, the first only."""
        if self._stream is not None:
            return
        response = await self._request.respond(
            status=answer.status,
            headers=dict(clean_answer_headers(answer)),
            content_type=answer.headers.get('Content-Type', ''),
        )
        self._stream = AnswerStream(self._request, response, READER_SECONDS)

    async def send(self, piece: bytes, *, last: bool = False) -> None:
        """Send a piece of the body."""
        assert self._stream is not None  # noqa: S101
        await self._stream.send(piece, last=last)

    def cut(self) -> None:
        """End an answer that must not look whole."""
        log.warning('Answer broke off.', peer=self._request.ip)
        abort_connection(self._request)


async def _hold(pieces: AsyncIterator[bytes]) -> tuple[bytes, bool]:
    """Read an answer up to a bound.

    :returns: what was read, and whether that is all of it.
    """
    held: list[bytes] = []
    size = 0
    async for piece in pieces:
        held.append(piece)
        size += len(piece)
        if size > HELD_BYTES:
            return b''.join(held), False
    return b''.join(held), True


def clean_answer_headers(
    answer: aiohttp.ClientResponse,
) -> list[tuple[str, str]]:
    """Keep the headers that a caller may see."""
    pairs = [(name.lower(), text) for name, text in answer.headers.items()]
    dropped = HOP_BY_HOP | list_named(pairs)
    return [pair for pair in pairs if pair[0] not in dropped]
