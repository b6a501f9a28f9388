"""HTTP status, headers and JSON body of refusals."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Mapping

STATUS_BY_CODE: Mapping[RefusalCode, HTTPStatus] = {
    RefusalCode.unauthenticated: HTTPStatus.UNAUTHORIZED,
    RefusalCode.key_withdrawn: HTTPStatus.UNAUTHORIZED,
    RefusalCode.forbidden: HTTPStatus.FORBIDDEN,
    RefusalCode.invalid_body: HTTPStatus.BAD_REQUEST,
    RefusalCode.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalCode.unknown_model: HTTPStatus.NOT_FOUND,
    RefusalCode.unknown_service: HTTPStatus.NOT_FOUND,
    RefusalCode.not_found: HTTPStatus.NOT_FOUND,
    RefusalCode.conflict: HTTPStatus.CONFLICT,
    RefusalCode.rate_limited: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalCode.overloaded: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.deadline_exceeded: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalCode.upstream_failed: HTTPStatus.BAD_GATEWAY,
    RefusalCode.outcome_unknown: HTTPStatus.BAD_GATEWAY,
    RefusalCode.store_unavailable: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.not_ready: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCode.cancelled: HTTPStatus.CONFLICT,
    RefusalCode.internal: HTTPStatus.INTERNAL_SERVER_ERROR,
    RefusalCode.already_ran: HTTPStatus.CONFLICT,
    RefusalCode.body_timeout: HTTPStatus.REQUEST_TIMEOUT,
    RefusalCode.quarantined: HTTPStatus.BAD_GATEWAY,
}


class RefusalDetail(msgspec.Struct):
    """Error of a refused request."""

    code: str
    message: str
    request_id: str
    not_run: bool


class RefusalBody(msgspec.Struct):
    """JSON body of a refusal."""

    error: RefusalDetail


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as a JSON response body."""
    return msgspec.json.encode(
        RefusalBody(
            RefusalDetail(
                refusal.code.value,
                refusal.message,
                request_id,
                refusal.not_run,
            )
        )
    )


def build_refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Build the response headers of a refusal."""
    if refusal.retry_after is None:
        return {}
    seconds = max(1, round(refusal.retry_after.total_seconds()))
    return {'Retry-After': str(seconds)}
