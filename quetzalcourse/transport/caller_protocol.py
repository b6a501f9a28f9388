"""Server protocol that cancels requests of disconnected callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sanic.http.constants import Stage

from quetzalcourse.protocol.refusals import STATUS_BY_CODE, encode_refusal
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.transport.server_protocol import ServerProtocol

if TYPE_CHECKING:
    from sanic import Request

CALLER_DISCONNECTED = Refusal(
    RefusalCode.cancelled,
    'The connection was closed for sending before the answer began.',
    not_run=False,
    step='serve',
)


class CallerProtocol(ServerProtocol):
    """HTTP connection of a caller, cancelled when the caller sends EOF.

    EOF is the only sign that a caller's process has exited, so the request
    is cancelled: an engine that kept generating would hold a slot that
    others need. A caller that closed only its sending side still reads, and
    without a response it could not tell the cancellation from a crash.
    """

    def eof_received(self) -> bool:
        """Send the refusal of a running request and close the connection.

        :returns: ``False``, so that the transport closes after it has
            flushed its writes.
        """
        http = self.http
        transport = self.transport
        if http is None or transport is None:
            return False
        if http.stage is Stage.HANDLER:
            transport.write(encode_disconnect_response(http.request))
        return False


def encode_disconnect_response(request: Request) -> bytes:
    """Encode the full HTTP response to a cancelled request."""
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
