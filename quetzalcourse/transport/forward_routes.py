"""Callers' requests on their way to upstreams, and answers on theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.state.calls import AnswerState, AttemptTerms
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
        Forwarding,
    )
    from quetzalcourse.coordination.forwarding.pool import Pool, Upstream
    from quetzalcourse.state.calls import AnswerMarks, RequestHead
    from quetzalcourse.transport.dialect import UpstreamDialect
    from quetzalcourse.transport.spooling import SpooledBody
    from quetzalcourse.transport.upstream_calls import UpstreamCalls

# An answer up to this size is read whole before its first byte is sent on,
# so that one which breaks off can be asked for again elsewhere.
HELD_BYTES = 65536
SERVER_ERROR = 500
READER_SECONDS = 30.0
EVENT_STREAM = 'text/event-stream'
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
        on_run: Callable[[str], None],
    ) -> None:
        """Keep the parts."""
        self._forwarder = forwarder
        self._pool = pool
        self._calls = calls
        self._dialect = dialect
        self._on_run = on_run

    async def serve(
        self,
        request: Request,
        head: RequestHead,
        forwarding: Forwarding,
        body: SpooledBody,
    ) -> None:
        """Serve one request by one upstream after another.

        :raises RefusedError: if none gave an answer.
        """
        while True:
            upstream = self._forwarder.choose(forwarding)
            try:
                await self._attempt(request, head, forwarding, body, upstream)
            except AttemptFailedError as error:
                self._note(forwarding, upstream, error)
                repeat = self._forwarder.may_repeat(
                    forwarding, not_run=error.not_run
                )
                if not repeat:
                    refusal = self._forwarder.refuse(forwarding)
                    raise RefusedError(refusal) from None
            else:
                return

    def _note(
        self,
        forwarding: Forwarding,
        upstream: Upstream,
        error: AttemptFailedError,
    ) -> None:
        if not error.not_run:
            forwarding.may_have_run = True
        log.info(
            'Attempt failed.',
            request_id=forwarding.request_id,
            upstream=upstream.name,
            reason=error.reason,
            not_run=error.not_run,
            attempt=forwarding.attempts,
        )

    async def _attempt(
        self,
        request: Request,
        head: RequestHead,
        forwarding: Forwarding,
        body: SpooledBody,
        upstream: Upstream,
    ) -> None:
        left = self._forwarder.measure_left(forwarding)
        terms = AttemptTerms(
            upstream.name,
            forwarding.client_account,
            left,
            head.find('last-event-id'),
        )
        headers = self._dialect.write_request(head, terms)
        if not body.whole:
            forwarding.replayable = False
            if body.length is not None:
                headers.append(('Content-Length', str(body.length)))
        self._pool.on_start(upstream)
        try:
            async with self._calls.open(
                upstream.member.address,
                head.method,
                head.target,
                headers,
                body.open(),
                self._forwarder.find_patience(forwarding),
            ) as answer:
                marks = self._judge(forwarding, upstream, answer)
                await self._relay(request, forwarding, answer, marks)
                self._finish(forwarding, upstream, answer)
        except CallLostError as error:
            not_run = error.state is LostState.not_sent
            if error.state is LostState.late:
                self._pool.on_late(upstream)
            else:
                self._pool.on_failure(upstream, error.state.value)
            raise AttemptFailedError(
                error.state.value, not_run=not_run
            ) from error
        finally:
            self._pool.on_end(upstream)

    def _judge(
        self,
        forwarding: Forwarding,
        upstream: Upstream,
        answer: aiohttp.ClientResponse,
    ) -> AnswerMarks:
        marks = self._dialect.read_answer(
            forwarding.request_id, answer.status, answer.headers
        )
        self._pool.on_load(upstream, marks.load)
        if marks.state is AnswerState.not_run:
            self._pool.on_busy(upstream, '')
            raise AttemptFailedError(f'status {answer.status}', not_run=True)
        if marks.state is AnswerState.foreign:
            self._pool.on_failure(upstream, 'foreign answer')
            raise AttemptFailedError('foreign answer', not_run=False)
        failed = answer.status >= SERVER_ERROR
        if failed and self._forwarder.may_repeat(forwarding, not_run=False):
            raise AttemptFailedError(f'status {answer.status}', not_run=False)
        self._on_run(forwarding.client_account)
        return marks

    def _finish(
        self,
        forwarding: Forwarding,
        upstream: Upstream,
        answer: aiohttp.ClientResponse,
    ) -> None:
        self._pool.on_success(upstream)
        log.info(
            'Request answered.',
            request_id=forwarding.request_id,
            route=forwarding.route.name,
            upstream=upstream.name,
            status=answer.status,
            attempts=forwarding.attempts,
        )

    async def _relay(
        self,
        request: Request,
        forwarding: Forwarding,
        answer: aiohttp.ClientResponse,
        marks: AnswerMarks,
    ) -> None:
        held = b''
        whole = True
        left = self._forwarder.measure_left(forwarding)
        pieces = read_pieces(answer, left)
        if not answer.headers.get('Content-Type', '').startswith(EVENT_STREAM):
            held, whole = await _hold(pieces)
        else:
            whole = False
        headers = clean_answer_headers(answer)
        begun = await request.respond(
            status=answer.status,
            headers=dict(headers),
            content_type=answer.headers.get('Content-Type', ''),
        )
        stream = AnswerStream(request, begun, READER_SECONDS)
        if whole:
            await stream.send(held, last=True)
            return
        try:
            if held:
                await stream.send(held)
            async for piece in pieces:
                await stream.send(piece)
        except CallLostError:
            # What went out already must not look like a whole answer.
            log.warning('Answer broke off.', request_id=forwarding.request_id)
            abort_connection(request)
            return
        await stream.send(b'', last=True)


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
