"""Request ids, authentication and error handling of the callers' server."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err
from sanic import Request, Sanic
from sanic import exceptions as sanic_errors
from sanic import response as sanic_response
from structlog.contextvars import bind_contextvars, clear_contextvars

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.protocol.refusals import (
    STATUS_BY_CODE,
    encode_refusal,
    build_refusal_headers,
)
from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.transport.activity import Activity

if TYPE_CHECKING:
    from typing import TypeVar

    from sanic.response import HTTPResponse

    from quetzalcourse.coordination.requests.generation_runner import (
        GenerationRunner,
    )
    from quetzalcourse.coordination.service_levels.human_requests import (
        HumanRequestTracker,
    )
    from quetzalcourse.coordination.requests.idempotency import IdempotencyStore
    from quetzalcourse.coordination.manifest.keys import Identity, KeyRing
    from quetzalcourse.coordination.manifest.manifest_store import ManifestStore
    from quetzalcourse.coordination.routing.routing import Router
    from quetzalcourse.coordination.service_levels.service_levels import (
        ServiceLevelTracker,
    )
    from quetzalcourse.coordination.requests.service_dispatcher import (
        ServiceDispatcher,
    )
    from quetzalcourse.coordination.membership.status import StatusRegistry
    from quetzalcourse.coordination.steps.step_service import StepService
    from quetzalcourse.settings.process import ProcessSettings
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.transport.key_sessions import KeySessions

    Body = TypeVar('Body')

BEARER = 'Bearer '
JSON_TYPE = 'application/json'
log = get_log('callers')


@dataclass(frozen=True, slots=True)
class RouteDependencies:
    """Components of the daemon that the routes depend on."""

    settings: ProcessSettings
    clock: Clock
    counters: Counters
    activity: Activity
    keys: KeyRing
    manifest: ManifestStore
    router: Router
    generation: GenerationRunner
    services: ServiceDispatcher
    steps: StepService
    service_levels: ServiceLevelTracker
    human_service: HumanRequestTracker
    claims: IdempotencyStore
    sessions: KeySessions
    status: StatusRegistry


class RequestIdGenerator:
    """Generates request ids that are unique across all daemons.

    :param prefix: incarnation id of this process.
    """

    def __init__(self, prefix: str) -> None:
        """Start numbering at one."""
        self._prefix = prefix
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """Return a new request id."""
        return f'{self._prefix}-{next(self._numbers)}'


def prepare_app(
    app: Sanic, dependencies: RouteDependencies, ids: RequestIdGenerator
) -> None:
    """Register request ids, key tracking and error handlers.

    :param ids: generates the request ids.
    """

    app.ctx.request_ids = ids
    app.ctx.sessions = dependencies.sessions

    async def on_response(request: Request, response: HTTPResponse) -> None:
        response.headers['x-request-id'] = read_request_id(request)
        if (
            dependencies.activity.draining
            or dependencies.sessions.is_key_withdrawn(request)
        ):
            # Announces the close: a caller that reused the connection would
            # send its next request to a closed socket.
            request.stream.keep_alive = False  # type: ignore[union-attr]

    app.on_response(on_response)
    app.error_handler.add(RefusedError, handle_refused_error)
    app.error_handler.add(sanic_errors.SanicException, handle_sanic_error)
    app.error_handler.add(Exception, handle_internal_error)


def authenticate(request: Request, keys: KeyRing) -> Identity:
    """Authenticate a request by its bearer key.

    :returns: the identity that the key belongs to.
    :raises RefusedError: if the key is missing, unknown or withdrawn.
    """
    result = keys.authenticate(read_bearer(request))
    if isinstance(result, Err):
        raise RefusedError(result.err_value)
    request.app.ctx.sessions.record_key(request, result.ok_value)
    return result.ok_value


def read_bearer(request: Request) -> str:
    """Return the bearer key of a request, empty if it has none."""
    header = request.headers.get('authorization', '')
    return header[len(BEARER) :] if header.startswith(BEARER) else ''


def read_secret(request: Request) -> str:
    """Return the secret part of a request's bearer key."""
    bearer = read_bearer(request)
    return bearer.partition('.')[2] or bearer


def decode_body(content: bytes, kind: type[Body]) -> Body:
    """Decode and validate a JSON body.

    :param kind: message type that the body must match.
    :raises RefusedError: if it does not match, with the reason.
    """
    try:
        return decode_json(content, kind)
    except MalformedMessageError as error:
        raise RefusedError(
            Refusal(
                RefusalCode.invalid_body,
                str(error),
                not_run=True,
                step='read body',
            )
        ) from error


def build_refusal_response(refusal: Refusal, request_id: str) -> HTTPResponse:
    """Build the response that reports a refusal."""
    return sanic_response.raw(
        encode_refusal(refusal, request_id),
        status=STATUS_BY_CODE[refusal.code],
        headers=build_refusal_headers(refusal),
        content_type=JSON_TYPE,
    )


def read_request_id(request: Request) -> str:
    """Return the id of a request, assigning one on first use."""
    request_id = getattr(request.ctx, 'request_id', '')
    if not request_id:
        request_id = request.app.ctx.request_ids.next_id()
        request.ctx.request_id = request_id
        # Requests of one connection share a context, so log fields bound by
        # the previous request would appear in the lines of this one.
        clear_contextvars()
        bind_contextvars(request_id=request_id)
    return request_id


async def handle_refused_error(
    request: Request, error: Exception
) -> HTTPResponse:
    """Respond to a request that a component of the daemon refused."""
    assert isinstance(error, RefusedError)  # noqa: S101
    return build_refusal_response(error.refusal, read_request_id(request))


async def handle_sanic_error(
    request: Request, error: Exception
) -> HTTPResponse:
    """Respond to a request that the HTTP library rejected."""
    code = RefusalCode.invalid_body
    if isinstance(error, sanic_errors.PayloadTooLarge):
        code = RefusalCode.body_too_large
    elif isinstance(error, sanic_errors.NotFound):
        code = RefusalCode.not_found
    elif isinstance(error, sanic_errors.RequestTimeout):
        code = RefusalCode.body_timeout
    refusal = Refusal(code, str(error), not_run=True, step='read request')
    return build_refusal_response(refusal, read_request_id(request))


async def handle_internal_error(
    request: Request, error: Exception
) -> HTTPResponse:
    """Respond to a request that failed on an internal error."""
    # Only the type is logged: the text of an error may contain a part of the
    # caller's body.
    log.error('Request failed.', kind=type(error).__name__)
    refusal = Refusal(
        RefusalCode.internal,
        'The daemon met an unexpected fault.',
        not_run=False,
        step='serve',
    )
    return build_refusal_response(refusal, read_request_id(request))
