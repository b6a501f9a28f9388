"""The store by way of another daemon, while it turns this one away.

Rows of batches and of members are reached so: what a daemon owns goes on
under the same conditions as ever, so that a deposed owner's write fails by
whichever daemon it comes. Leases are not: who acts for all must reach the
store itself.
"""

from __future__ import annotations

import asyncio
import itertools
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

import msgspec
from result import Err, Result

from quetzalcourse.coordination.feeds import store_calls as calls
from quetzalcourse.coordination.tasks import Tasks
from quetzalcourse.log import get_log
from quetzalcourse.state.members import Topic
from quetzalcourse.state.rows import FaultKind, StoreFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from quetzalcourse.coordination.feeds.store_helpers import StoreHelpers
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

    Answered = Result[calls.StoreReply, StoreFault]

Found = TypeVar('Found')

# A store that is slow takes some 300 ms; a daemon that has not answered by
# then is gone or turned away itself, and the next call goes to another.
ANSWER_TIME = timedelta(milliseconds=800)
# Calls that one daemon makes for others at a time. A third of the daemons
# turned away, with three tables followed and a few writes each, are some
# ten calls for each of the rest.
MAX_HELPED = 64
# Daemons that are asked to make a call, one after another: in the moment in
# which the store turns a third of them away, the word of each is a second
# old, and one in three can't help any more.
MAX_HELPERS = 3
NOT_HELPED = 'not helped'
log = get_log('relay')


class StoreRelay:
    """Table and changes, directly or by way of another daemon.

    :param tables: what may be reached by way of others.
    """

    def __init__(
        self,
        table: Table,
        feed: ChangeFeed,
        peers: Peers,
        helpers: StoreHelpers,
        tables: Collection[str],
        counters: Counters,
    ) -> None:
        """Listen to calls of others and to their answers."""
        self._table = table
        self._feed = feed
        self._peers = peers
        self._helpers = helpers
        self._tables = frozenset(tables)
        self._counters = counters
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[calls.StoreReply]] = {}
        self._helped = 0
        self._tasks = Tasks('store relay')
        peers.subscribe(Topic.store_asked, self.on_request)
        peers.subscribe(Topic.store_told, self.on_message)

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row."""
        return await self._call(
            lambda: self._table.read(key),
            calls.ReadCall(key),
            calls.read_row,
        )

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
    ) -> Result[list[Row], StoreFault]:
        """Read rows in the order of their keys."""
        return await self._call(
            lambda: self._table.scan(prefix, after, limit),
            calls.ScanCall(prefix, after, limit),
            calls.StoreReply.read_rows,
        )

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows together if every condition holds."""
        return await self._call(
            lambda: self._table.transact(transaction),
            calls.pack_transaction(transaction),
            calls.read_commit,
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
            calls.read_changes,
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
        """Wait for the changes behind a version."""
        call = calls.FollowCall(table, version, wait // calls.MILLISECOND)
        return await self._call(
            lambda: self._feed.follow(table, version, wait),
            call,
            calls.read_changes,
            wait,
        )

    def on_request(self, sender: Member, content: bytes) -> None:
        """Make a call for another daemon."""
        request = msgspec.msgpack.decode(content, type=calls.StoreRequest)
        able = self._helped < MAX_HELPED and not self._helpers.needed
        if able and request.call.tables <= self._tables:
            self._tasks.begin(self._help(sender, request))
            return
        fault = StoreFault(FaultKind.not_applied, NOT_HELPED, '')
        self._tell(sender, calls.tell_fault(request.number, fault))

    def on_message(self, sender: Member, content: bytes) -> None:
        """Take the answer to a call."""
        reply = msgspec.msgpack.decode(content, type=calls.StoreReply)
        waiting = self._waiting.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    async def _call(
        self,
        direct: Callable[[], Awaitable[Result[Found, StoreFault]]],
        call: calls.StoreCall,
        read: Callable[[calls.StoreReply], Found],
        wait: timedelta = timedelta(0),
    ) -> Result[Found, StoreFault]:
        """Make a call directly, or by way of another daemon.

        :param wait: how long the store itself may take to answer.
        """
        answer = None
        if not self._helpers.needed:
            answer = await direct()
            if not _asks_for_help(answer):
                return answer
        for _ in range(MAX_HELPERS):
            helper = await self._helpers.seek()
            if helper is None:
                break
            reply = await self._ask(helper, call, wait + ANSWER_TIME)
            answer = reply.map(read)
            if not _is_turned_down(reply):
                return answer
            self._helpers.on_miss(helper)
        return answer if answer is not None else await direct()

    async def _ask(
        self,
        helper: Member,
        call: calls.StoreCall,
        timeout: timedelta,
    ) -> Answered:
        number = next(self._numbers)
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiting
        request = calls.StoreRequest(number, call)
        self._peers.send(
            helper, Topic.store_asked, msgspec.msgpack.encode(request)
        )
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                reply = await waiting
        except TimeoutError:
            self._helpers.on_miss(helper)
            answer: Answered = Err(
                StoreFault(FaultKind.unanswered, 'relay', helper.address)
            )
        else:
            answer = calls.read_answer(reply)
        finally:
            self._waiting.pop(number, None)
        kind = type(call).__name__
        outcome = answer.err_value.kind if isinstance(answer, Err) else 'ok'
        self._counters.add(
            'store_calls_relayed', call=kind, outcome=str(outcome)
        )
        if isinstance(answer, Err):
            log.info(
                'Call by way of another daemon failed.',
                call=kind,
                peer=helper.address,
                reason=answer.err_value.step,
            )
        return answer

    async def _help(self, sender: Member, request: calls.StoreRequest) -> None:
        self._helped += 1
        try:
            reply = await self._make(request.number, request.call)
        finally:
            self._helped -= 1
        self._tell(sender, reply)

    async def _make(
        self,
        number: int,
        call: calls.StoreCall,
    ) -> calls.StoreReply:
        if isinstance(call, calls.TransactCall):
            answer = await self._table.transact(calls.read_transaction(call))
            return _tell(
                number,
                answer,
                lambda commit: calls.StoreReply(
                    number,
                    rows=calls.tell_rows(commit.conflicts),
                    version=commit.version,
                    applied=commit.applied,
                ),
            )
        if isinstance(call, calls.ListPartsCall):
            return _tell(
                number,
                await self._feed.list_parts(call.table),
                lambda parts: calls.StoreReply(number, parts=parts),
            )
        if isinstance(call, (calls.FollowCall, calls.ReadPartCall)):
            return _tell(
                number,
                await self._make_feed_call(call),
                lambda changes: calls.StoreReply(
                    number,
                    rows=calls.tell_rows(changes.rows),
                    version=changes.version,
                ),
            )
        return _tell(
            number,
            await self._make_read(call),
            lambda rows: calls.StoreReply(number, rows=calls.tell_rows(rows)),
        )

    async def _make_feed_call(
        self,
        call: calls.FollowCall | calls.ReadPartCall,
    ) -> Result[RowChanges, StoreFault]:
        if isinstance(call, calls.ReadPartCall):
            return await self._feed.read_part(call.table, call.part)
        wait = call.wait_ms * calls.MILLISECOND
        return await self._feed.follow(call.table, call.version, wait)

    async def _make_read(
        self,
        call: calls.ReadCall | calls.ScanCall,
    ) -> Result[list[Row], StoreFault]:
        if isinstance(call, calls.ScanCall):
            return await self._table.scan(call.prefix, call.after, call.limit)
        answer = await self._table.read(call.key)
        return answer.map(lambda row: [] if row is None else [row])

    def _tell(self, receiver: Member, reply: calls.StoreReply) -> None:
        self._peers.send(
            receiver, Topic.store_told, msgspec.msgpack.encode(reply)
        )


def _asks_for_help(answer: Result[Found, StoreFault]) -> bool:
    """Tell whether a call may be made again by way of another daemon.

    A write without an answer may have taken effect. Its caller has to know,
    since its own condition may fail then.
    """
    if not isinstance(answer, Err):
        return False
    fault = answer.err_value
    return fault.kind is FaultKind.not_applied and not fault.history_lost


def _is_turned_down(answer: Answered) -> bool:
    """Tell whether a daemon made no call, so that another may be asked."""
    return isinstance(answer, Err) and answer.err_value.step == NOT_HELPED


def _tell(
    number: int,
    answer: Result[Found, StoreFault],
    write: Callable[[Found], calls.StoreReply],
) -> calls.StoreReply:
    if isinstance(answer, Err):
        return calls.tell_fault(number, answer.err_value)
    return write(answer.ok_value)
