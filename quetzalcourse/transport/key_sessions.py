"""Termination of responses and connections of withdrawn keys."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any, TypeVar

from quetzalcourse.coordination.manifest.keys import refuse_key
from quetzalcourse.coordination.requests.interrupt_scope import (
    AttemptInterruptedError,
    InterruptScope,
    Interruption,
)
from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.transport.web import abort_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine

    from sanic import Request

    from quetzalcourse.coordination.manifest.keys import Identity, KeyRing
    from quetzalcourse.state.generation import Chunk

Answer = TypeVar('Answer')


class KeySessions:
    """Closes idle connections whose last request used a withdrawn key.

    :param keys: notifies of withdrawn keys.
    """

    def __init__(self, keys: KeyRing) -> None:
        """Subscribe to withdrawals."""
        self._keys = keys
        self._connections: set[Any] = set()
        keys.on_withdrawn(self._close_idle)

    def record_key(self, request: Request, identity: Identity) -> None:
        """Record the key of a connection's latest request."""
        request.ctx.identity = identity
        connection: Any = request.protocol
        connection.conn_info.ctx.key_id = identity.key_id
        # Sanic maintains this set of the server's open connections.
        self._connections = connection.connections

    def is_key_withdrawn(self, request: Request) -> bool:
        """Check whether the key of a request was withdrawn meanwhile."""
        identity = getattr(request.ctx, 'identity', None)
        if identity is None:
            return False
        return self._keys.is_withdrawn(identity.key_id)

    def _close_idle(self, key_id: str) -> None:
        for connection in tuple(self._connections):
            context = connection.conn_info.ctx if connection.conn_info else None
            if getattr(context, 'key_id', None) == key_id:
                connection.close_if_idle()


async def end_on_withdrawal(
    chunks: AsyncIterator[Chunk],
    keys: KeyRing,
    key_id: str,
) -> AsyncIterator[Chunk]:
    """Yield chunks until they end or the caller's key is withdrawn.

    :param chunks: chunks generated for the caller.
    :param key_id: id of the request's key.
    :raises RefusedError: if the key is withdrawn before the last chunk.
    """
    scope = InterruptScope(TrafficClass.human)
    loop = asyncio.get_running_loop()
    with keys.watch(key_id) as withdrawn:
        watcher = loop.create_task(_interrupt(withdrawn, scope))
        try:
            while True:
                scope.check()
                chunk = await scope.wait(anext(chunks, None))
                if chunk is None:
                    return
                yield chunk
        except AttemptInterruptedError:
            raise RefusedError(
                refuse_key(RefusalCode.key_withdrawn, not_run=False)
            ) from None
        finally:
            watcher.cancel()
            await chunks.aclose()  # type: ignore[attr-defined]


async def _interrupt(withdrawn: asyncio.Event, scope: InterruptScope) -> None:
    await withdrawn.wait()
    scope.interrupt(Interruption.withdrawn)


async def run_until_withdrawn(
    work: Coroutine[None, None, Answer],
    withdrawn: asyncio.Event,
) -> Answer:
    """Run a coroutine, cancelling it when a key is withdrawn.

    :param work: coroutine to run.
    :param withdrawn: set when the key is withdrawn.
    :raises RefusedError: if the key is withdrawn first.
    """
    task = asyncio.ensure_future(work)
    withdrawal = asyncio.ensure_future(withdrawn.wait())
    try:
        await asyncio.wait(
            (task, withdrawal), return_when=asyncio.FIRST_COMPLETED
        )
        if task.done():
            return task.result()
    finally:
        withdrawal.cancel()
        if not task.done():
            task.cancel()
            with suppress(asyncio.CancelledError, Exception):
                await task
    raise RefusedError(refuse_key(RefusalCode.key_withdrawn, not_run=False))


async def serve_until_withdrawn(
    work: Coroutine[None, None, Answer],
    request: Request,
    keys: KeyRing,
    key_id: str,
) -> Answer:
    """Serve a request whose response is relayed byte for byte.

    A response that has started cannot carry an error any more. The
    connection is then aborted, so that the caller does not take the response
    for complete.

    :param work: sends the response.
    :raises RefusedError: if the key is withdrawn before ``work`` is done.
    """
    with keys.watch(key_id) as withdrawn:
        try:
            return await run_until_withdrawn(work, withdrawn)
        except RefusedError:
            if withdrawn.is_set() and request.responded:
                abort_connection(request)
            raise
