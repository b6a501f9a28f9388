"""Routes to change keys on a daemon while the store is unreachable."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from sanic import Request
from sanic import response as sanic_response

from quetzalcourse.coordination.manifest.keys import match_secret
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.keys import KeyRecord, validate_record
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.transport.request_body import allow_streaming, read_body
from quetzalcourse.transport.caller_app import (
    BEARER,
    JSON_TYPE,
    decode_body,
)

if TYPE_CHECKING:
    from sanic import Sanic
    from sanic.response import HTTPResponse

    from quetzalcourse.transport.caller_app import RouteDependencies

KEYS_PATH = '/operator/keys'


class OperatorRoutes:
    """Serves operators, who authenticate with an operator key."""

    def __init__(self, app: Sanic, dependencies: RouteDependencies) -> None:
        """Register the routes."""
        self._dependencies = dependencies
        app.add_route(self._list, KEYS_PATH, methods=['GET'], name='list_keys')
        app.add_route(
            allow_streaming(self._change),
            KEYS_PATH,
            methods=['POST'],
            name='change_key',
            stream=True,
        )

    async def _list(self, request: Request) -> HTTPResponse:
        self._check_operator(request)
        records = list(self._dependencies.keys.records.values())
        return sanic_response.raw(
            msgspec.json.encode(records), content_type=JSON_TYPE
        )

    async def _change(self, request: Request) -> HTTPResponse:
        self._check_operator(request)
        content = await read_body(request, self._dependencies.settings.limits)
        record = decode_body(content, KeyRecord)
        fault = validate_record(record)
        if fault:
            raise RefusedError(_refuse(RefusalCode.invalid_body, fault))
        keys = self._dependencies.keys
        keys.merge(record)
        held = keys.records[record.key_id]
        if held.withdrawn and not record.withdrawn:
            raise RefusedError(
                _refuse(
                    RefusalCode.conflict,
                    'The key was withdrawn; a new key needs a new id.',
                )
            )
        return sanic_response.raw(
            msgspec.json.encode(held), content_type=JSON_TYPE
        )

    def _check_operator(self, request: Request) -> None:
        header = request.headers.get('authorization', '')
        secret = header[len(BEARER) :] if header.startswith(BEARER) else ''
        hashes = self._dependencies.settings.operators.key_hashes
        matches = [match_secret(digest, secret) for digest in hashes]
        if not secret or not any(matches):
            raise RefusedError(
                _refuse(RefusalCode.forbidden, 'An operator key is needed.')
            )


def _refuse(code: RefusalCode, message: str) -> Refusal:
    return Refusal(code, message, not_run=True, step='change key')
