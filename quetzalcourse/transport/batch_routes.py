"""Callers' calls about batches."""

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
    """Serves submissions and the calls about them."""

    def __init__(self, batches: BatchService, dialect: CallerDialect) -> None:
        """Keep the parts."""
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
        """Accept a batch."""
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
            # Any answer would promise something; a cut promises nothing,
            # and the caller submits the batch again.
            log.warning('Outcome of a submission is unknown.', batch=batch_id)
            abort_connection(request)
            return
        await send_response(request, b'{}', status=HTTP_ACCEPTED)

    async def serve(
        self,
        request: Request,
        call: BatchCall,
        client_account: str,
    ) -> None:
        """Serve a call about a batch."""
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
