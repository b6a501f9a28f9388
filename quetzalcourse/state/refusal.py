"""Refusals: error responses to requests that are not served."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


class RefusalCode(enum.StrEnum):
    """Stable error codes that callers may check."""

    unauthenticated = 'unauthenticated'
    key_withdrawn = 'key_withdrawn'
    forbidden = 'forbidden'
    invalid_body = 'invalid_body'
    body_too_large = 'body_too_large'
    unknown_model = 'unknown_model'
    unknown_service = 'unknown_service'
    not_found = 'not_found'
    conflict = 'conflict'
    rate_limited = 'rate_limited'
    overloaded = 'overloaded'
    deadline_exceeded = 'deadline_exceeded'
    upstream_failed = 'upstream_failed'
    outcome_unknown = 'outcome_unknown'
    store_unavailable = 'store_unavailable'
    not_ready = 'not_ready'
    cancelled = 'cancelled'
    internal = 'internal'
    already_ran = 'already_ran'
    body_timeout = 'body_timeout'
    quarantined = 'quarantined'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a request was not served.

    :param code: stable error code.
    :param message: short sentence for people.
    :param not_run: true only if no upstream started to run the request.
    :param retry_after: time after which a retry may succeed, if any.
    :param step: processing step that refused the request.
    :param peer: upstream or daemon that caused the refusal, if any.
    """

    code: RefusalCode
    message: str
    not_run: bool
    retry_after: timedelta | None = None
    step: str = ''
    peer: str = ''
