"""Client library for trainers: create steps and read each sample once.

It needs the daemons' addresses for callers and a key. It starts no threads,
and fails over to any other daemon when one is replaced.
"""

from __future__ import annotations

import asyncio
import itertools
from contextlib import aclosing
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import msgspec

from quetzalcourse.exceptions import QuetzalcourseError
from quetzalcourse.protocol.callers import StepResponse, StepBody
from quetzalcourse.protocol.refusals import RefusalBody
from quetzalcourse.state.decoding import MalformedMessageError, decode_json
from quetzalcourse.state.refusal import RefusalCode
from quetzalcourse.state.steps import (
    DeliveredBatch,
    DeliveryRecord,
    Sample,
    StepProgress,
)
from quetzalcourse.transport.connections import open_session

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from types import TracebackType

Message = TypeVar('Message', bound=msgspec.Struct)
HTTP_OK = 200
POLL_INTERVAL = timedelta(seconds=1)
RETRY_TIMEOUT = timedelta(minutes=15)
CALL_TIMEOUT = timedelta(seconds=30)
RETRYABLE_CODES = frozenset(
    (
        RefusalCode.store_unavailable,
        RefusalCode.overloaded,
        RefusalCode.rate_limited,
        RefusalCode.not_ready,
        RefusalCode.internal,
    )
)


class StepError(QuetzalcourseError):
    """A refusal that a retry does not resolve.

    :param code: stable code of the refusal.
    :param message: human-readable reason.
    """

    def __init__(self, code: str, message: str) -> None:
        """Store the code, which callers can test."""
        super().__init__(f'{code}: {message}')
        self.code = code


class BatchList(msgspec.Struct):
    """Response to a read of samples."""

    batches: list[DeliveredBatch]


class TrainerClient:
    """Creates and reads steps through any of several daemons.

    An asynchronous context manager that owns its connections.

    :param addresses: base URLs of the daemons or of their load balancer.
    :param key: API key of the client account.
    :param poll: pause between retries, and after reads without new batches.
    :param patience: time for which a call is retried before it fails.
    :param call_timeout: time that one address has to respond.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        poll: timedelta = POLL_INTERVAL,
        patience: timedelta = RETRY_TIMEOUT,
        call_timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        """Store the addresses without connecting."""
        if not addresses:
            raise ValueError('TrainerClient needs at least one address')
        self._addresses = itertools.cycle(addresses)
        self._address = next(self._addresses)
        self._headers = {'Authorization': f'Bearer {key}'}
        self._poll = poll
        self._patience = patience
        self._call_timeout = call_timeout.total_seconds()

    async def __aenter__(self) -> TrainerClient:
        """Open the connections."""
        timeout = aiohttp.ClientTimeout(total=self._call_timeout)
        self._session = open_session(headers=self._headers, timeout=timeout)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self._session.close()

    async def create(self, body: StepBody) -> StepResponse:
        """Create a step; repeating the call with the same body is idempotent.

        :raises StepError: if the step is refused.
        """
        content = await self._call(
            'POST', '/v1/steps', msgspec.json.encode(body)
        )
        return decode_json(content, StepResponse)

    async def observe(self, trainer: str, step: int) -> StepProgress:
        """Return the progress of a step."""
        content = await self._call('GET', f'/v1/steps/{trainer}/{step}')
        return decode_json(content, StepProgress)

    async def cancel(self, trainer: str, step: int) -> None:
        """Cancel a step and discard its samples."""
        await self._call('DELETE', f'/v1/steps/{trainer}/{step}')

    async def read(
        self,
        trainer: str,
        step: int,
        cursor: int,
    ) -> list[DeliveredBatch]:
        """Read batches from a cursor on; a repeated read returns the same."""
        path = f'/v1/steps/{trainer}/{step}/samples?cursor={cursor}'
        content = await self._call('GET', path)
        return decode_json(content, BatchList).batches

    async def acknowledge(self, trainer: str, step: int, cursor: int) -> None:
        """Acknowledge the batches before a cursor, so none is read again."""
        body = msgspec.json.encode({'cursor': cursor})
        path = f'/v1/steps/{trainer}/{step}/acknowledge'
        content = await self._call('POST', path, body)
        decode_json(content, DeliveryRecord)

    async def samples(
        self,
        trainer: str,
        step: int,
    ) -> AsyncIterator[Sample]:
        """Yield every sample of a step once, until the step is complete.

        A batch is acknowledged when the sample after it is requested, so a
        trainer that crashes reads the batch it was working on again.

        :raises StepError: if the step is refused or cancelled.
        """
        cursor = (await self.observe(trainer, step)).delivery.acknowledged
        batches = self._list_batches(trainer, step, cursor)
        async with aclosing(batches) as stream:  # type: ignore[type-var]
            async for batch in stream:
                for sample in batch.samples:
                    yield sample

    async def _list_batches(
        self,
        trainer: str,
        step: int,
        cursor: int,
    ) -> AsyncIterator[DeliveredBatch]:
        whole = False
        while not whole:
            batches = await self.read(trainer, step, cursor)
            for batch in batches:
                yield batch
                cursor = batch.position + 1
                whole = batch.whole
            if batches:
                await self.acknowledge(trainer, step, cursor)
            else:
                await asyncio.sleep(self._poll.total_seconds())
                whole = await self._is_fully_read(trainer, step, cursor)

    async def _is_fully_read(
        self, trainer: str, step: int, cursor: int
    ) -> bool:
        # A trainer that crashed after its last acknowledgement gets no batch
        # that marks the step as complete, and would poll forever.
        if cursor == 0:
            return False
        record = (await self.observe(trainer, step)).delivery
        return record.whole_at is not None and cursor > record.whole_at

    async def _call(self, method: str, path: str, body: bytes = b'') -> bytes:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._patience.total_seconds()
        while True:
            outcome = await self._try_call(method, path, body)
            if isinstance(outcome, bytes):
                return outcome
            if loop.time() >= deadline:
                raise outcome
            self._address = next(self._addresses)
            await asyncio.sleep(self._poll.total_seconds())

    async def _try_call(
        self,
        method: str,
        path: str,
        body: bytes,
    ) -> bytes | StepError:
        try:
            async with self._session.request(
                method, f'{self._address}{path}', data=body
            ) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return StepError('no_answer', f'{self._address}: {error!r}')
        if answer.status == HTTP_OK:
            return content
        refusal = read_refusal(content, answer.status)
        if refusal.code not in RETRYABLE_CODES:
            raise refusal
        return refusal


def read_refusal(content: bytes, status: int) -> StepError:
    """Parse the refusal of a daemon, or of a load balancer before it."""
    try:
        detail = decode_json(content, RefusalBody).error
    except MalformedMessageError:
        return StepError(RefusalCode.not_ready, f'status {status}')
    return StepError(detail.code, detail.message)
