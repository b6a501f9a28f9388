"""Handlers of batch submissions and calls about batches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from quetzalcourse.coordination.batches.batch_service import OutcomeUnknownError
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.log import get_log
from quetzalcourse.state.calls import BatchOperation
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.transport.gateway import send_response
from quetzalcourse.transport.web import abort_connection

if TYPE_CHECKING:
    from sanic import Request

    from quetzalcourse.coordination.batches.batch_service import BatchService
    from quetzalcourse.state.calls import BatchCall
    from quetzalcourse.state.routing import Route
    from quetzalcourse.transport.dialect import CallerDialect

HTTP_ACCEPTED = 202
BODY_TYPE = 'application/octet-stream'
log = get_log('batches')


class BatchRoutes:
    """Serves batch submissions and calls about submitted batches."""

    def __init__(self, batches: BatchService, dialect: CallerDialect) -> None:
        """Store the batch service and the codec of the platform."""
        self._batches = batches
        self._dialect = dialect

    async def submit(
        self,
        request: Request,
        batch_id: str,
        client_account: str,
        route: Route,
        body: bytes,
    ) -> None:
        """Accept a batch.

        :raises RefusedError: if the body is invalid or the batch has no id.
        """
        read = self._dialect.read_submission(body)
        if isinstance(read, Err):
            raise RefusedError(_refuse_invalid(read.err_value))
        if not batch_id:
            raise RefusedError(_refuse_invalid('The batch has no id.'))
        try:
            await self._batches.submit(
                batch_id, client_account, route, read.ok_value
            )
        except OutcomeUnknownError:
            # Any response would claim an outcome. An aborted connection
            # claims none, and the caller submits the batch again.
            log.warning(
                'Batch submission outcome unknown; connection aborted.',
                batch=batch_id,
            )
            abort_connection(request)
            return
        await send_response(request, b'{}', status=HTTP_ACCEPTED)

    async def serve(
        self,
        request: Request,
        call: BatchCall,
        client_account: str,
    ) -> None:
        """Serve a call about a submitted batch."""
        if call.verb is BatchOperation.end:
            await self._batches.end(call.batch, client_account)
            await send_response(request, b'{}')
        elif call.verb is BatchOperation.read_item:
            body = await self._batches.read_item(
                call.batch, client_account, call.item
            )
            await send_response(request, body, content_type=BODY_TYPE)
        else:
            page = await self._batches.read_results(
                call.batch, client_account, call.position, call.wait
            )
            await send_response(request, self._dialect.write_page(page))


def _refuse_invalid(reason: str) -> Refusal:
    return Refusal(
        RefusalCode.invalid_body, reason, not_run=True, step='submit'
    )
