"""Idempotency keys of callers, claimed before a call is sent."""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok

from quetzalcourse.exceptions import RefusedError
from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.rows import (
    ABSENT,
    Condition,
    FaultKind,
    Row,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from result import Result

    from quetzalcourse.coordination.ports import Table
    from quetzalcourse.state.rows import TransactionResult, StoreFault

MAX_CLAIM_ATTEMPTS = 3
RETRY_AFTER = timedelta(seconds=5)


class ClaimState(enum.StrEnum):
    """Known state of the call that a key was used for."""

    claimed = 'claimed'
    not_run = 'not_run'
    answered = 'answered'


class ClaimContent(msgspec.Struct):
    """Content of a claim's row.

    :param holder: request id of the call that made the claim.
    :param digest: SHA-256 of the call's content, in hexadecimal.
    :param status: HTTP status that the call was answered with.
    """

    holder: str
    digest: str
    state: ClaimState
    status: int = 0


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A call that carries an idempotency key.

    :param key: the caller's key.
    :param digest: SHA-256 of the call's content, in hexadecimal.
    """

    request_id: str
    client_account: str
    key: str
    digest: str

    @property
    def row_key(self) -> str:
        """Key of the claim's row, separate for each account."""
        named = f'{self.client_account}\n{self.key}'.encode()
        return f'idempotency/{hashlib.sha256(named).hexdigest()}'


@dataclass(frozen=True, slots=True)
class Claim:
    """Permission to send a call once.

    :param version: version of the claim's row.
    """

    call: KeyedCall
    version: int


class IdempotencyStore:
    """Claims idempotency keys in the platform's table.

    :param table: shared by all daemons, so that a caller who retries through
        another daemon is recognised.
    """

    def __init__(self, table: Table) -> None:
        """Keep the table."""
        self._table = table

    async def claim(self, call: KeyedCall) -> Claim:
        """Claim a key for a call that has not been sent yet.

        :raises RefusedError: if the key was used before, or if it can't be
            determined whether the claim took effect.
        """
        version = ABSENT
        for _ in range(MAX_CLAIM_ATTEMPTS):
            answer = await self._write(call, version, ClaimState.claimed)
            if isinstance(answer, Ok) and answer.ok_value.applied:
                return Claim(call, version + 1)
            found = await self._find_row(call, answer)
            if found is None:
                version = ABSENT
                continue
            if _is_own_claim(call, found):
                return Claim(call, found.version)
            version = found.version
        raise RefusedError(_refuse_store_unavailable())

    async def on_answered(self, claim: Claim, status: int) -> bool:
        """Record the status that a call was answered with.

        :returns: whether it was recorded; if not, the key stays claimed and a
            caller who retries is told that the outcome is unknown.
        """
        answer = await self._write(
            claim.call, claim.version, ClaimState.answered, status
        )
        return isinstance(answer, Ok) and answer.ok_value.applied

    async def on_not_run(self, claim: Claim) -> bool:
        """Give up the claim of a call that certainly did not run.

        The row stays, since a delayed deletion could remove the claim of the
        next call with this key.

        :returns: whether the key can be used again.
        """
        answer = await self._write(
            claim.call, claim.version, ClaimState.not_run
        )
        return isinstance(answer, Ok) and answer.ok_value.applied

    async def _write(
        self,
        call: KeyedCall,
        version: int,
        state: ClaimState,
        status: int = 0,
    ) -> Result[TransactionResult, StoreFault]:
        content = ClaimContent(call.request_id, call.digest, state, status)
        return await self._table.transact(
            Transaction(
                (Condition(call.row_key, version),),
                (Write(call.row_key, msgspec.json.encode(content)),),
            )
        )

    async def _find_row(
        self,
        call: KeyedCall,
        answer: Result[TransactionResult, StoreFault],
    ) -> Row | None:
        if isinstance(answer, Ok):
            conflicts = answer.ok_value.conflicts
            return conflicts[0] if conflicts else None
        # A write whose answer was lost may have taken effect. Sending the call
        # without knowing could let a second daemon send it as well.
        if answer.err_value.kind is FaultKind.not_applied:
            return None
        found = await self._table.read(call.row_key)
        if isinstance(found, Err):
            raise RefusedError(_refuse_store_unavailable())
        return found.ok_value


def digest_call(method: str, path: str, body: bytes) -> str:
    """Compute the digest that identifies a call's content.

    :param path: service, path and query.
    """
    head = f'{method} {path}\n'.encode()
    return hashlib.sha256(head + body).hexdigest()


def _is_own_claim(call: KeyedCall, row: Row) -> bool:
    """Check whether the call itself made the claim; if not, it can be replaced.

    :raises RefusedError: if the key was used by another call.
    """
    found = decode_json(row.content, ClaimContent)
    if found.state is ClaimState.not_run:
        return False
    if found.holder == call.request_id:
        return True
    if found.digest != call.digest:
        raise RefusedError(_refuse_key_reused())
    if found.state is ClaimState.answered:
        raise RefusedError(_refuse_already_ran(found.status))
    raise RefusedError(_refuse_outcome_unknown())


def _refuse_store_unavailable() -> Refusal:
    return Refusal(
        RefusalCode.store_unavailable,
        'The idempotency key could not be claimed; nothing was sent.',
        not_run=True,
        retry_after=RETRY_AFTER,
        step='claim key',
    )


def _refuse_key_reused() -> Refusal:
    return Refusal(
        RefusalCode.conflict,
        'The idempotency key was used for another request.',
        not_run=True,
        step='claim key',
    )


def _refuse_already_ran(status: int) -> Refusal:
    return Refusal(
        RefusalCode.already_ran,
        f'A request with this key ran and was answered with status {status}.',
        not_run=False,
        step='claim key',
    )


def _refuse_outcome_unknown() -> Refusal:
    return Refusal(
        RefusalCode.outcome_unknown,
        'A request with this key was sent; its outcome is not known yet.',
        not_run=False,
        retry_after=RETRY_AFTER,
        step='claim key',
    )
