"""HTTP server that accepts callers' connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sanic import exceptions as sanic_errors
from sanic import response as sanic_response

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.protocol.refusals import STATUS_BY_CODE, encode_refusal
from quetzalcourse.state.calls import RequestHead
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.transport.web import SignalFreeSanic, build_app

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sanic import Request, Sanic
    from sanic.response import HTTPResponse

    from quetzalcourse.state.routing import CallerLimits

    Handler = Callable[[Request, RequestHead], Awaitable[None]]

HTTP_UNAVAILABLE = 503
HTTP_HEADER_TOO_LARGE = 431
# Sanic applies this limit to headers too. Bodies are limited where they are
# read, by the manifest in force.
MAX_BODY_BYTES = 1 << 30
JSON_TYPE = 'application/json'
# Codes whose own status already implies that the request did not run.
CALLER_ERROR_CODES = frozenset(
    (
        RefusalCode.unauthenticated,
        RefusalCode.not_found,
        RefusalCode.invalid_body,
        RefusalCode.body_too_large,
        RefusalCode.body_timeout,
        RefusalCode.rate_limited,
    )
)
log = get_log('callers')


class GatewaySanic(SignalFreeSanic):
    """Sanic application with one handler for every request.

    Requests are routed by path prefixes that change at run time, which
    sanic's router does not support.
    """

    async def handle_request(self, request: Request) -> None:
        """Pass a request to the handler and report a refusal."""
        request.stream.request_max_size = float('inf')  # type: ignore
        head = read_head(request)
        try:
            await self.ctx.handler(request, head)
        except RefusedError as error:
            await send_refusal(request, head, error.refusal)


def build_gateway(name: str, handler: Handler) -> Sanic:
    """Build the application of the server.

    :param handler: serves a request or raises ``RefusedError``.
    """
    app = build_app(name, MAX_BODY_BYTES, GatewaySanic)
    app.ctx.handler = handler
    # Sanic refuses to start without a route; this one is never reached.
    app.add_route(respond_empty, '/')
    app.error_handler.add(Exception, handle_fault)
    return app


async def respond_empty(_: Request) -> HTTPResponse:
    """Return an empty response."""
    return sanic_response.empty()


def apply_limits(app: Sanic, limits: CallerLimits) -> None:
    """Apply header size and timeout limits to new connections."""
    app.config.REQUEST_MAX_HEADER_SIZE = limits.header_bytes
    app.config.REQUEST_TIMEOUT = limits.header_timeout.total_seconds()
    app.config.KEEP_ALIVE_TIMEOUT = limits.idle_timeout.total_seconds()


def read_head(request: Request) -> RequestHead:
    """Extract method, target, host and headers of a request."""
    headers = tuple(request.headers.items())
    host = request.headers.get('host', '').partition(':')[0].lower()
    target = request.raw_url.decode('ascii', 'surrogateescape')
    return RequestHead(request.method, target, host, headers)


def choose_status(refusal: Refusal) -> int:
    """Choose the HTTP status of a refusal.

    Callers read 503 as a guarantee that the request did not run and never
    will; any other status of an upstream failure guarantees nothing.
    """
    if refusal.not_run and refusal.code not in CALLER_ERROR_CODES:
        return HTTP_UNAVAILABLE
    return STATUS_BY_CODE[refusal.code].value


async def send_refusal(
    request: Request,
    head: RequestHead,
    refusal: Refusal,
) -> None:
    """Send the response that reports a refusal."""
    request_id = head.find('x-request-id')
    status = choose_status(refusal)
    headers = {}
    if refusal.retry_after is not None:
        headers['Retry-After'] = f'{refusal.retry_after.total_seconds():g}'
    if refusal.code is not RefusalCode.not_found:
        log.info(
            'Request refused.',
            request_id=request_id,
            code=refusal.code.value,
            status=status,
            not_run=refusal.not_run,
            step=refusal.step,
        )
    await send_response(
        request,
        encode_refusal(refusal, request_id),
        status=status,
        headers=headers,
        content_type=JSON_TYPE,
    )


async def send_response(
    request: Request,
    content: bytes,
    *,
    status: int = 200,
    headers: dict[str, str] | None = None,
    content_type: str = JSON_TYPE,
) -> None:
    """Send a response with a complete body."""
    response = await request.respond(
        status=status, headers=headers, content_type=content_type
    )
    await response.send(content, end_stream=True)


async def handle_fault(request: Request, error: Exception) -> HTTPResponse:
    """Respond to a request on which sanic or the daemon failed."""
    status = getattr(error, 'status_code', 500)
    if isinstance(error, sanic_errors.PayloadTooLarge):
        if 'header' in str(error):
            status = HTTP_HEADER_TOO_LARGE
    elif not isinstance(error, sanic_errors.SanicException):
        # Only the type is logged: the text of an error may contain a part of
        # the caller's body.
        log.error('Request failed.', kind=type(error).__name__)
    refusal = Refusal(
        RefusalCode.internal,
        'The request could not be served.',
        not_run=False,
        step='serve',
    )
    return sanic_response.raw(
        encode_refusal(refusal, ''), status=status, content_type=JSON_TYPE
    )


def build_probe_app(
    name: str,
    response: Callable[[str], tuple[int, bytes]],
) -> Sanic:
    """Build an application that serves health probes and metrics.

    :param response: returns status and text for a path.
    """

    async def serve(request: Request, head: RequestHead) -> None:
        status, content = response(head.path)
        await send_response(
            request, content, status=status, content_type='text/plain'
        )

    return build_gateway(name, serve)


def disable_keep_alive(request: Request) -> None:
    """Close the caller's connection after the response."""
    stream: Any = request.stream
    stream.keep_alive = False
