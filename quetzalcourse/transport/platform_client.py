"""HTTP client of the platform's services."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from result import Err, Ok, Result

from quetzalcourse.protocol.platform import (
    RowMessage,
    ScanMessage,
    ScoreResponse,
    ScoreRequest,
    VmEntry,
    pack_transaction,
    unpack_commit,
    unpack_row,
)
from quetzalcourse.state.decoding import (
    Int64,
    MalformedMessageError,
    decode_json,
)
from quetzalcourse.state.members import Vm
from quetzalcourse.state.rows import FaultKind, StoreFault
from quetzalcourse.transport.response_body import read_body

if TYPE_CHECKING:
    from quetzalcourse.state.rows import TransactionResult, Row, Transaction

Message = TypeVar('Message')
HTTP_OK = 200
# Longest object that a daemon keeps.
MAX_OBJECT_BYTES = 33_554_432
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """Status and body of a response of the platform."""

    status: int
    content: bytes


class PlatformClient:
    """Client of the table, the object store and other platform services.

    :param session: shared HTTP session.
    :param address: IP address and port of the platform.
    :param timeout_seconds: timeout of a request.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_seconds: float,
    ) -> None:
        """Store the session, which the application owns."""
        self._session = session
        self._address = address
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> Result[PlatformResponse, StoreFault]:
        """Send one request.

        :returns: the response, or what is known of the request's effect.
        """
        url = f'http://{self._address}{path}'
        step = f'{method} {path}'
        try:
            async with self._session.request(
                method, url, data=body, timeout=self._timeout
            ) as response:
                content = await read_body(response, MAX_OBJECT_BYTES)
        except aiohttp.ClientConnectorError:
            return Err(StoreFault(FaultKind.not_applied, step, self._address))
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return Err(StoreFault(FaultKind.unanswered, step, self._address))
        if response.status == HTTP_UNAVAILABLE:
            return Err(StoreFault(FaultKind.not_applied, step, self._address))
        return Ok(PlatformResponse(response.status, content))

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row of the table, ``None`` if there is none."""
        result = await self.request('GET', f'/table/rows/{quote(key)}')
        if isinstance(result, Err):
            return result
        if result.ok_value.status == HTTP_NOT_FOUND:
            return Ok(None)
        return self._decode('read', result.ok_value, RowMessage).map(unpack_row)

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
    ) -> Result[list[Row], StoreFault]:
        """Read rows of the table in key order.

        :param after: key after which to start.
        :param limit: maximum number of rows.
        """
        path = (
            f'/table/scan?prefix={quote(prefix)}'
            f'&after={quote(after)}&limit={limit}'
        )
        result = await self.request('GET', path)
        if isinstance(result, Err):
            return result
        found = self._decode('scan', result.ok_value, ScanMessage)
        return found.map(lambda page: [unpack_row(row) for row in page.rows])

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows of the table atomically if every condition holds."""
        result = await self.request(
            'POST', '/table/transact', pack_transaction(transaction)
        )
        if isinstance(result, Err):
            return result
        try:
            return Ok(unpack_commit(result.ok_value.content))
        except MalformedMessageError:
            return Err(self._build_fault('transact'))

    async def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Read an object, ``None`` if none has that name."""
        result = await self.request('GET', f'/objects/{quote(name)}')
        if isinstance(result, Err):
            return result
        if result.ok_value.status == HTTP_NOT_FOUND:
            return Ok(None)
        return Ok(result.ok_value.content)

    async def put(self, name: str, content: bytes) -> Result[None, StoreFault]:
        """Write an object."""
        result = await self.request('PUT', f'/objects/{quote(name)}', content)
        if isinstance(result, Err):
            return result
        return Ok(None)

    async def list_vms(self) -> Result[list[Vm], StoreFault]:
        """List the entry VMs."""
        result = await self.request('GET', '/vms')
        if isinstance(result, Err):
            return result
        found = self._decode('list VMs', result.ok_value, list[VmEntry])
        return found.map(
            lambda entries: [
                Vm(entry.vm, entry.data_centre, entry.address, entry.leaving)
                for entry in entries
            ]
        )

    async def newest(self, model: str) -> Result[int, StoreFault]:
        """Fetch the newest published weight version of a model."""
        path = f'/weights/{quote(model)}'
        result = await self.request('GET', path)
        if isinstance(result, Err):
            return result
        if result.ok_value.status != HTTP_OK:
            fault = FaultKind.not_applied
            return Err(StoreFault(fault, f'GET {path}', self._address))
        return self._decode('newest', result.ok_value, Int64)

    async def score(
        self,
        sample_id: str,
        text: str,
    ) -> Result[float, FaultKind]:
        """Score one sample."""
        body = msgspec.json.encode(ScoreRequest(sample_id, text))
        result = await self.request('POST', '/scoring', body)
        if isinstance(result, Err):
            return Err(result.err_value.kind)
        if result.ok_value.status != HTTP_OK:
            return Err(FaultKind.unanswered)
        found = self._decode('score', result.ok_value, ScoreResponse)
        return found.map(lambda scored: scored.score).map_err(
            lambda fault: fault.kind
        )

    def _decode(
        self, step: str, response: PlatformResponse, kind: type[Message]
    ) -> Result[Message, StoreFault]:
        try:
            return Ok(decode_json(response.content, kind))
        except MalformedMessageError:
            return Err(self._build_fault(step))

    def _build_fault(self, step: str) -> StoreFault:
        """Build the fault of a response that can't be read."""
        return StoreFault(FaultKind.unanswered, step, self._address)
