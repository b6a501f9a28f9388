"""Connections whose caller closed its side before the answer began."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sanic.http.constants import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from quetzalcourse.protocol.refusals import STATUS_BY_CODE, encode_refusal
from quetzalcourse.state.refusal import Refusal, RefusalCode

if TYPE_CHECKING:
    from sanic import Request

CALLER_DISCONNECTED = Refusal(
    RefusalCode.cancelled,
    'The connection was closed for sending before the answer began.',
    not_run=False,
    step='serve',
)


class CallerProtocol(HttpProtocol):
    """Connection of a caller.

    The end of what a caller sends is all that is seen when its program is
    gone, so its request is given up: an engine that went on would keep a
    slot from others. A caller that closed only its sending side still
    reads, and without an answer it could not tell this from a crash.
    """

    def eof_received(self) -> bool:
        """Say why the request ends, and close the connection.

        :returns: false, so that the transport closes after its last write.
        """
        http = self.http
        transport = self.transport
        if http is None or transport is None:
            return False
        if http.stage is Stage.HANDLER:
            transport.write(encode_disconnect_response(http.request))
        return False


def encode_disconnect_response(request: Request) -> bytes:
    """Write the whole answer to a request that is given up."""
    request_id = getattr(request.ctx, 'request_id', '')
    body = encode_refusal(CALLER_DISCONNECTED, request_id)
    status = STATUS_BY_CODE[CALLER_DISCONNECTED.code]
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        f'content-type: application/json\r\n'
        f'content-length: {len(body)}\r\n'
        f'x-request-id: {request_id}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + body
