"""Store access through another daemon while the store refuses this one.

Rows of batches and members may be relayed: each write keeps its conditions,
so a deposed owner's write fails whichever daemon sends it. Leases may not:
a daemon that acts for all must reach the store itself.
"""

from __future__ import annotations

import asyncio
import itertools
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

import msgspec
from result import Err, Result

from quetzalcourse.coordination.feeds import store_calls as calls
from quetzalcourse.coordination.permit import Permit
from quetzalcourse.coordination.tasks import BackgroundTasks
from quetzalcourse.log import get_log
from quetzalcourse.state.decoding import decode_msgpack
from quetzalcourse.state.members import Topic
from quetzalcourse.state.rows import FaultKind, StoreFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from quetzalcourse.coordination.feeds.relay_peers import RelayPeers
    from quetzalcourse.coordination.feeds.ports import ChangeFeed
    from quetzalcourse.coordination.ports import Peers, Table
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.rows import (
        RowChanges,
        TransactionResult,
        Row,
        Transaction,
    )

    ReplyResult = Result[calls.StoreReply, StoreFault]

Value = TypeVar('Value')

# A slow store takes some 300 ms. A peer that has not answered after this time
# is dead or refused itself, and the next call goes to another one.
RELAY_TIMEOUT = timedelta(milliseconds=800)
# Calls that one daemon makes for others at a time. If a third of the daemons
# are refused, with three followed tables and a few writes each, that is some
# ten calls for each of the rest.
MAX_RELAYED_CALLS = 64
# Peers to try one after another. When the store starts to refuse a third of
# the daemons, each report is up to a second old, and one peer in three can no
# longer relay.
MAX_RELAY_ATTEMPTS = 3
# Sent as the step of a declined call; callers compare it.
NOT_RELAYED = 'not helped'
log = get_log('relay')


class StoreRelay:
    """Accesses tables and change feeds directly or through another daemon.

    :param tables: tables that may be accessed through peers.
    """

    def __init__(
        self,
        table: Table,
        feed: ChangeFeed,
        peers: Peers,
        relay_peers: RelayPeers,
        tables: Collection[str],
        counters: Counters,
    ) -> None:
        """Subscribe to calls of other daemons and to their replies."""
        self._table = table
        self._feed = feed
        self._peers = peers
        self._relay_peers = relay_peers
        self._tables = frozenset(tables)
        self._counters = counters
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[calls.StoreReply]] = {}
        self._active_calls = 0
        self._tasks = BackgroundTasks('store relay')
        peers.subscribe(Topic.store_asked, self.on_request)
        peers.subscribe(Topic.store_told, self.on_reply)

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row."""
        return await self._call(
            lambda: self._table.read(key),
            calls.ReadCall(key),
            calls.decode_row,
        )

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
    ) -> Result[list[Row], StoreFault]:
        """Read rows in key order."""
        return await self._call(
            lambda: self._table.scan(prefix, after, limit),
            calls.ScanCall(prefix, after, limit),
            calls.StoreReply.decode_rows,
        )

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows atomically if every condition holds."""
        return await self._call(
            lambda: self._table.transact(transaction),
            calls.encode_transaction(transaction),
            calls.decode_commit,
        )

    async def read_part(
        self,
        table: str,
        part: str,
    ) -> Result[RowChanges, StoreFault]:
        """Read all rows of a part."""
        return await self._call(
            lambda: self._feed.read_part(table, part),
            calls.ReadPartCall(table, part),
            calls.decode_changes,
        )

    async def list_parts(self, table: str) -> Result[list[str], StoreFault]:
        """List the parts of a table."""
        return await self._call(
            lambda: self._feed.list_parts(table),
            calls.ListPartsCall(table),
            lambda reply: reply.parts,
        )

    async def follow(
        self,
        table: str,
        version: int,
        wait: timedelta,
    ) -> Result[RowChanges, StoreFault]:
        """Wait for the changes after a version."""
        call = calls.FollowCall(table, version, wait // calls.MILLISECOND)
        return await self._call(
            lambda: self._feed.follow(table, version, wait),
            call,
            calls.decode_changes,
            wait,
        )

    def on_request(self, sender: Member, content: bytes) -> None:
        """Make a call for another daemon, or decline it."""
        request = decode_msgpack(content, calls.StoreRequest)
        accepting = (
            self._active_calls < MAX_RELAYED_CALLS
            and not self._relay_peers.needed
        )
        if accepting and request.call.tables <= self._tables:
            self._active_calls += 1
            permit = Permit(self._on_relayed)
            permit.assign(self._tasks.start(self._relay(sender, request)))
            return
        fault = StoreFault(FaultKind.not_applied, NOT_RELAYED, '')
        self._send_reply(sender, calls.encode_fault(request.number, fault))

    def on_reply(self, sender: Member, content: bytes) -> None:
        """Complete the pending call that a reply answers."""
        reply = decode_msgpack(content, calls.StoreReply)
        future = self._pending.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)

    async def _call(
        self,
        direct: Callable[[], Awaitable[Result[Value, StoreFault]]],
        call: calls.StoreCall,
        decode: Callable[[calls.StoreReply], Value],
        wait: timedelta = timedelta(0),
    ) -> Result[Value, StoreFault]:
        """Make a call directly, or through a peer.

        :param direct: makes the call to the store itself.
        :param call: the same call, as sent to a peer.
        :param decode: decodes the peer's reply.
        :param wait: how long the store itself may hold the call.
        """
        answer = None
        if not self._relay_peers.needed:
            answer = await direct()
            if not _may_retry_through_peer(answer):
                return answer
        for _ in range(MAX_RELAY_ATTEMPTS):
            peer = await self._relay_peers.find_or_wait()
            if peer is None:
                break
            reply = await self._send_call(peer, call, wait + RELAY_TIMEOUT)
            answer = reply.map(decode)
            if not _is_declined(reply):
                return answer
            self._relay_peers.on_failure(peer)
        return answer if answer is not None else await direct()

    async def _send_call(
        self,
        peer: Member,
        call: calls.StoreCall,
        timeout: timedelta,
    ) -> ReplyResult:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        request = calls.StoreRequest(number, call)
        self._peers.send(
            peer, Topic.store_asked, msgspec.msgpack.encode(request)
        )
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                reply = await future
        except TimeoutError:
            self._relay_peers.on_failure(peer)
            answer: ReplyResult = Err(
                StoreFault(FaultKind.unanswered, 'relay', peer.address)
            )
        else:
            answer = calls.to_result(reply)
        finally:
            self._pending.pop(number, None)
        kind = type(call).__name__
        outcome = answer.err_value.kind if isinstance(answer, Err) else 'ok'
        self._counters.add(
            'store_calls_relayed', call=kind, outcome=str(outcome)
        )
        if isinstance(answer, Err):
            log.info(
                'Relayed store call failed.',
                call=kind,
                peer=peer.address,
                reason=answer.err_value.step,
            )
        return answer

    async def _relay(self, sender: Member, request: calls.StoreRequest) -> None:
        reply = await self._execute(request.number, request.call)
        self._send_reply(sender, reply)

    def _on_relayed(self) -> None:
        self._active_calls -= 1

    async def _execute(
        self,
        number: int,
        call: calls.StoreCall,
    ) -> calls.StoreReply:
        if isinstance(call, calls.TransactCall):
            answer = await self._table.transact(calls.decode_transaction(call))
            return _build_reply(
                number,
                answer,
                lambda commit: calls.StoreReply(
                    number,
                    rows=calls.encode_rows(commit.conflicts),
                    version=commit.version,
                    applied=commit.applied,
                ),
            )
        if isinstance(call, calls.ListPartsCall):
            return _build_reply(
                number,
                await self._feed.list_parts(call.table),
                lambda parts: calls.StoreReply(number, parts=parts),
            )
        if isinstance(call, (calls.FollowCall, calls.ReadPartCall)):
            return _build_reply(
                number,
                await self._execute_feed_call(call),
                lambda changes: calls.StoreReply(
                    number,
                    rows=calls.encode_rows(changes.rows),
                    version=changes.version,
                ),
            )
        return _build_reply(
            number,
            await self._execute_read(call),
            lambda rows: calls.StoreReply(number, rows=calls.encode_rows(rows)),
        )

    async def _execute_feed_call(
        self,
        call: calls.FollowCall | calls.ReadPartCall,
    ) -> Result[RowChanges, StoreFault]:
        if isinstance(call, calls.ReadPartCall):
            return await self._feed.read_part(call.table, call.part)
        wait = call.wait_ms * calls.MILLISECOND
        return await self._feed.follow(call.table, call.version, wait)

    async def _execute_read(
        self,
        call: calls.ReadCall | calls.ScanCall,
    ) -> Result[list[Row], StoreFault]:
        if isinstance(call, calls.ScanCall):
            return await self._table.scan(call.prefix, call.after, call.limit)
        answer = await self._table.read(call.key)
        return answer.map(lambda row: [] if row is None else [row])

    def _send_reply(self, receiver: Member, reply: calls.StoreReply) -> None:
        self._peers.send(
            receiver, Topic.store_told, msgspec.msgpack.encode(reply)
        )


def _may_retry_through_peer(answer: Result[Value, StoreFault]) -> bool:
    """Return whether a failed call may be repeated through a peer.

    An unanswered write may have taken effect. The caller has to know, since a
    repeated write may then fail on its own condition.
    """
    if not isinstance(answer, Err):
        return False
    fault = answer.err_value
    return fault.kind is FaultKind.not_applied and not fault.history_lost


def _is_declined(answer: ReplyResult) -> bool:
    """Return whether a peer made no call, so that another one may be tried."""
    return isinstance(answer, Err) and answer.err_value.step == NOT_RELAYED


def _build_reply(
    number: int,
    answer: Result[Value, StoreFault],
    encode: Callable[[Value], calls.StoreReply],
) -> calls.StoreReply:
    if isinstance(answer, Err):
        return calls.encode_fault(number, answer.err_value)
    return encode(answer.ok_value)
