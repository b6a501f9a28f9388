"""Reverse proxy for callers' requests, with retries on other upstreams."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.state.calls import ResponseOutcome, AttemptMetadata
from quetzalcourse.transport.headers import HOP_BY_HOP, list_connection_headers
from quetzalcourse.transport.response_body import (
    EVENT_SEPARATOR,
    EventSplitter,
    OversizedEventError,
)
from quetzalcourse.transport.response_stream import ResponseStream
from quetzalcourse.transport.upstream_client import (
    CallFailedError,
    CallFailure,
    read_chunks,
    read_chunks_until,
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
    from quetzalcourse.coordination.forwarding.selection import (
        UpstreamSelection,
    )
    from quetzalcourse.coordination.forwarding.upstream import Upstream
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.calls import RequestHead
    from quetzalcourse.state.pool import LoadReport
    from quetzalcourse.transport.dialect import UpstreamDialect
    from quetzalcourse.transport.spooled_body import SpooledBody
    from quetzalcourse.transport.upstream_client import UpstreamClient
    from quetzalcourse.transport.crash_detector import CrashDetector

# A response up to this size is buffered before its first byte is relayed, so
# that a truncated one can be retried on another upstream.
MAX_BUFFERED_BYTES = 65536
# A response that began in time may end so much later.
LATE_BODY_TIME = timedelta(milliseconds=400)
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
WRITE_TIMEOUT_SECONDS = 30.0
EVENT_STREAM_TYPE = 'text/event-stream'
log = get_log('forward')


class AttemptFailedError(Exception):
    """Attempt that yields no response for the caller.

    :param not_run: whether the upstream certainly did not run the request.
    :param reason: short name of the failure, for logs.
    """

    def __init__(self, reason: str, *, not_run: bool) -> None:
        """Store the failure."""
        super().__init__(reason)
        self.reason = reason
        self.not_run = not_run


class RequestProxy:
    """Forwards requests to upstreams and relays the responses.

    :param on_run: called with the client account of each request that an
        upstream ran.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        selection: UpstreamSelection,
        pool: Pool,
        client: UpstreamClient,
        dialect: UpstreamDialect,
        crash_detector: CrashDetector,
        quarantine: Quarantine,
        on_run: Callable[[str], None],
    ) -> None:
        """Store the collaborators."""
        self._forwarder = forwarder
        self._selection = selection
        self._pool = pool
        self._client = client
        self._dialect = dialect
        self._crash_detector = crash_detector
        self._quarantine = quarantine
        self._on_run = on_run

    async def serve(
        self,
        request: Request,
        head: RequestHead,
        forwarding: ForwardedRequest,
        body: SpooledBody,
    ) -> None:
        """Serve a request, trying upstreams until one responds.

        :raises RefusedError: if no upstream responds.
        """
        caller = CallerResponse(request, head.find('last-event-id'))
        while True:
            upstream = await self._choose(caller, forwarding)
            if upstream is None:
                return
            try:
                await self._attempt(caller, head, forwarding, body, upstream)
            except AttemptFailedError as error:
                self._record_failed_attempt(forwarding, upstream, error)
                if not self._should_retry(caller, forwarding, error):
                    return
            else:
                return

    async def _choose(
        self,
        caller: CallerResponse,
        forwarding: ForwardedRequest,
    ) -> Upstream | None:
        try:
            await self._forwarder.admit(forwarding)
            return await self._selection.acquire(forwarding)
        except RefusedError:
            if not caller.started:
                raise
            caller.abort()
            return None

    def _should_retry(
        self,
        caller: CallerResponse,
        forwarding: ForwardedRequest,
        error: AttemptFailedError,
    ) -> bool:
        if caller.unrecoverable:
            caller.abort()
            return False
        if self._forwarder.may_repeat(forwarding, not_run=error.not_run):
            return True
        if caller.started:
            caller.abort()
            return False
        raise RefusedError(self._selection.build_refusal(forwarding)) from None

    def _record_failed_attempt(
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
        caller: CallerResponse,
        head: RequestHead,
        forwarding: ForwardedRequest,
        body: SpooledBody,
        upstream: Upstream,
    ) -> None:
        try:
            await self._send(caller, head, forwarding, body, upstream)
        finally:
            self._selection.release(forwarding)

    async def _send(
        self,
        caller: CallerResponse,
        head: RequestHead,
        forwarding: ForwardedRequest,
        body: SpooledBody,
        upstream: Upstream,
    ) -> None:
        time_left = self._forwarder.find_time_left(forwarding)
        metadata = AttemptMetadata(
            upstream.name,
            forwarding.client_account,
            time_left,
            caller.resume_after,
        )
        headers = self._dialect.write_request(head, metadata)
        if not body.complete:
            forwarding.replayable = False
            if body.length is not None:
                headers.append(('Content-Length', str(body.length)))
        self._pool.on_send(upstream)
        isolated = self._quarantine.on_start(
            forwarding.fingerprint, upstream.name
        )
        try:
            async with self._client.open(
                upstream.member.address,
                head.method,
                head.target,
                headers,
                body.open(),
                self._forwarder.find_timeout(forwarding),
            ) as response:
                self._check_response(caller, forwarding, upstream, response)
                await self._relay(caller, forwarding, response)
                self._record_success(forwarding, upstream, response)
        except CallFailedError as error:
            not_run = error.state is CallFailure.not_sent
            if error.state is not CallFailure.unanswered:
                self._forwarder.on_no_response(forwarding, upstream)
            if not_run:
                self._forwarder.on_not_sent(forwarding, upstream)
            if error.state is CallFailure.late:
                self._forwarder.on_timeout(forwarding)
                self._pool.on_timeout(upstream)
            else:
                self._pool.on_failure(upstream, error.state.value)
            if error.state is CallFailure.unanswered:
                await self._crash_detector.on_connection_lost(
                    upstream, forwarding.request_id, forwarding.fingerprint
                )
            raise AttemptFailedError(
                error.state.value, not_run=not_run
            ) from error
        finally:
            if isolated:
                self._quarantine.on_finish(
                    forwarding.fingerprint, upstream.name
                )

    def _check_response(
        self,
        caller: CallerResponse,
        forwarding: ForwardedRequest,
        upstream: Upstream,
        response: aiohttp.ClientResponse,
    ) -> None:
        metadata = self._dialect.read_response(
            forwarding.request_id, response.status, response.headers
        )
        self._pool.on_load(upstream, metadata.load)
        if metadata.state is ResponseOutcome.not_run:
            self._pool.on_model_refused(upstream, '')
            if _is_full(response.status, metadata.load):
                self._selection.on_full(forwarding, upstream)
            raise AttemptFailedError(f'status {response.status}', not_run=True)
        if metadata.state is ResponseOutcome.foreign:
            self._pool.on_failure(upstream, 'foreign answer')
            raise AttemptFailedError('foreign answer', not_run=False)
        self._forwarder.on_answer(forwarding, upstream)
        failed = response.status >= HTTP_SERVER_ERROR
        if caller.started and metadata.state is not ResponseOutcome.served:
            raise AttemptFailedError(f'status {response.status}', not_run=False)
        if failed and self._forwarder.may_repeat(forwarding, not_run=False):
            raise AttemptFailedError(f'status {response.status}', not_run=False)
        if not caller.started:
            self._on_run(forwarding.client_account)

    def _record_success(
        self,
        forwarding: ForwardedRequest,
        upstream: Upstream,
        response: aiohttp.ClientResponse,
    ) -> None:
        self._pool.on_success(upstream)
        self._selection.on_served(forwarding)
        self._quarantine.on_answer(forwarding.fingerprint, upstream.run_id)
        self._pool.on_idle_connection(upstream, self._client.keep_alive)
        log.info(
            'Request answered.',
            request_id=forwarding.request_id,
            fingerprint=forwarding.fingerprint,
            route=forwarding.route.name,
            upstream=upstream.name,
            status=response.status,
            attempts=forwarding.attempts,
        )

    async def _relay(
        self,
        caller: CallerResponse,
        forwarding: ForwardedRequest,
        response: aiohttp.ClientResponse,
    ) -> None:
        time_left = self._forwarder.find_time_left(forwarding)
        if response.headers.get('Content-Type', '').startswith(
            EVENT_STREAM_TYPE
        ):
            await caller.start(response)
            await self._relay_events(
                caller, forwarding, read_chunks(response, time_left)
            )
            return
        chunks = read_chunks_until(response, time_left + LATE_BODY_TIME)
        buffered, complete = await _read_up_to_limit(chunks)
        await caller.start(response)
        if complete:
            await caller.send(buffered, last=True)
            return
        try:
            await caller.send(buffered)
            async for chunk in chunks:
                await caller.send(chunk)
        except CallFailedError:
            caller.unrecoverable = True
            raise
        await caller.send(b'', last=True)

    async def _relay_events(
        self,
        caller: CallerResponse,
        forwarding: ForwardedRequest,
        chunks: AsyncIterator[bytes],
    ) -> None:
        """Relay complete events as they arrive.

        An upstream may fail in the middle of an event; another upstream
        resumes after the last complete one.

        :raises CallFailedError: if the stream is interrupted; the response is
            marked unrecoverable if it cannot be resumed.
        """
        splitter = EventSplitter()
        try:
            async for chunk in chunks:
                frames = _split_events(splitter, chunk)
                for frame in frames:
                    event = self._dialect.read_event(frame)
                    if event is not None:
                        caller.resume_after = str(event.number)
                if frames:
                    await caller.send(EVENT_SEPARATOR.join([*frames, b'']))
            if splitter.rest:
                raise CallFailedError(CallFailure.unanswered, 'broken event')
        except CallFailedError:
            repeatable = self._forwarder.may_repeat(forwarding, not_run=False)
            if not (forwarding.route.resumable and repeatable):
                caller.unrecoverable = True
            raise
        await caller.send(b'', last=True)


class CallerResponse:
    """Response to a caller, produced by one or several upstreams.

    :param resume_after: number of the last event that was sent.

    ``unrecoverable`` is set when no other upstream can complete it.
    """

    def __init__(self, request: Request, resume_after: str) -> None:
        """Create a response that has not started."""
        self.resume_after = resume_after
        self.unrecoverable = False
        self._request = request
        self._stream: ResponseStream | None = None

    @property
    def started(self) -> bool:
        """Whether the response has started."""
        return self._stream is not None

    async def start(self, response: aiohttp.ClientResponse) -> None:
        """Start with status and headers of the first upstream's response."""
        if self._stream is not None:
            return
        stream = await self._request.respond(
            status=response.status,
            headers=dict(filter_proxied_headers(response)),
            content_type=response.headers.get('Content-Type', ''),
        )
        self._stream = ResponseStream(
            self._request, stream, WRITE_TIMEOUT_SECONDS
        )

    async def send(self, chunk: bytes, *, last: bool = False) -> None:
        """Send a chunk of the body."""
        assert self._stream is not None  # noqa: S101
        await self._stream.send(chunk, last=last)

    def abort(self) -> None:
        """Abort the connection, so that the response looks incomplete."""
        log.warning('Response to caller aborted.', peer=self._request.ip)
        abort_connection(self._request)


def _is_full(status: int, load: LoadReport | None) -> bool:
    """Return whether an upstream refused a request for lack of slots."""
    if status != HTTP_UNAVAILABLE:
        return False
    return load is None or load.total >= load.slots


def _split_events(splitter: EventSplitter, chunk: bytes) -> list[bytes]:
    try:
        return splitter.feed(chunk)
    except OversizedEventError as error:
        raise CallFailedError(CallFailure.unanswered, str(error)) from error


async def _read_up_to_limit(chunks: AsyncIterator[bytes]) -> tuple[bytes, bool]:
    """Read a body up to the buffer limit.

    :returns: the bytes read, and whether the body is complete.
    """
    buffered: list[bytes] = []
    size = 0
    async for chunk in chunks:
        buffered.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            return b''.join(buffered), False
    return b''.join(buffered), True


def filter_proxied_headers(
    response: aiohttp.ClientResponse,
) -> list[tuple[str, str]]:
    """Remove hop-by-hop headers from an upstream's response."""
    pairs = [(name.lower(), text) for name, text in response.headers.items()]
    dropped = HOP_BY_HOP | list_connection_headers(pairs)
    return [pair for pair in pairs if pair[0] not in dropped]
