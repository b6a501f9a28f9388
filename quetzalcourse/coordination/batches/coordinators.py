"""Assigns the batches of a model to one coordinator daemon.

A trainer submits a step every few seconds, each to another daemon. If each
of these ran its step, it would open a connection per item, learn again which
upstreams are slow or unresponsive, and overfill upstreams that others are
filling at the same time. So the daemons of a data centre agree on one
coordinator per model. A daemon that receives a submission offers it there, and
runs the batch itself if the coordinator is gone, leaving or full.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

import msgspec

from quetzalcourse.coordination.batches.failover import list_high_capacity
from quetzalcourse.coordination.slots.ownership import find_owner
from quetzalcourse.coordination.tasks import BackgroundTasks
from quetzalcourse.log import get_log
from quetzalcourse.state.batches import BatchHead, BatchItem
from quetzalcourse.state.decoding import decode_msgpack
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.state.members import Member

OFFER_TIMEOUT = timedelta(milliseconds=150)
# Unfinished items that a coordinator may hold; a batch beyond that runs at the
# daemon that received it, which spreads the streams.
MAX_OPEN_ITEMS = 640
# A larger batch is not offered and runs at the daemon that received it.
MAX_OFFER_BYTES = 1_000_000
log = get_log('coordinators')


class OfferOutcome(enum.StrEnum):
    """Outcome of an offer; an ``unknown`` one may still be accepted."""

    accepted = 'accepted'
    declined = 'declined'
    unknown = 'unknown'


class BatchAcceptor(Protocol):
    """Handles a batch that another daemon offers."""

    async def __call__(
        self,
        head: BatchHead,
        items: Sequence[BatchItem],
    ) -> OfferOutcome:
        """Accept a batch, or decline it."""


class BatchOffer(msgspec.Struct, frozen=True):
    """Offer of a batch, for the receiver to accept and run.

    :param number: number of the offer, unique for its sender.
    """

    number: int
    head: BatchHead
    items: list[BatchItem]


class OfferReply(msgspec.Struct, frozen=True):
    """Answer to an offer."""

    number: int
    accepted: bool


def find_coordinator(
    model: str, own: Member, members: Sequence[Member]
) -> Member:
    """Find the coordinator of a model.

    :param own: daemon that asks. Only members of its data centre are eligible,
        so that a network partition between data centres does not separate a
        submission from its coordinator.
    :param members: live daemons.
    """
    local_members = [
        one for one in members if one.data_centre == own.data_centre
    ]
    return find_owner(model, list_high_capacity(local_members)) or own


class BatchCoordinators:
    """Offers batches to their coordinators, and answers offers of others.

    While the store does not answer, batches are neither offered nor accepted:
    a coordinator whose write fails could not tell whether the batch exists, so
    its caller could not get a definite refusal.

    :param follower: table feed that shows whether the store answers here.
    """

    def __init__(
        self,
        peers: Peers,
        members: MemberView,
        follower: TableFollower,
        residency: Residency,
    ) -> None:
        """Subscribe to offers and to replies."""
        self._residency = residency
        self._peers = peers
        self._members = members
        self._follower = follower
        self._acceptor: BatchAcceptor | None = None
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[bool]] = {}
        self._tasks = BackgroundTasks('coordinators')
        peers.subscribe(Topic.batch_offered, self.on_offered)
        peers.subscribe(Topic.batch_told, self.on_reply)

    def on_offer(self, acceptor: BatchAcceptor) -> None:
        """Set the handler of batches that are offered to this daemon."""
        self._acceptor = acceptor

    async def offer(
        self,
        head: BatchHead,
        items: Sequence[BatchItem],
    ) -> OfferOutcome:
        """Offer a batch to its coordinator.

        :returns: ``declined`` also if this daemon is the coordinator.
        """
        own = self._members.own
        coordinator = find_coordinator(
            head.model, own, self._members.list_live()
        )
        if coordinator.vm == own.vm or self._follower.store_unavailable:
            return OfferOutcome.declined
        if not self._residency.may_store_items(head, coordinator):
            return OfferOutcome.declined
        offered = BatchOffer(next(self._numbers), head, list(items))
        content = msgspec.msgpack.encode(offered)
        if len(content) > MAX_OFFER_BYTES:
            return OfferOutcome.declined
        outcome = await self._send(coordinator, offered.number, content)
        log.info(
            'Offered a batch to its coordinator.',
            batch=head.id,
            coordinator=coordinator.vm,
            outcome=outcome.value,
        )
        return outcome

    def on_offered(self, sender: Member, content: bytes) -> None:
        """Answer the offer of another daemon."""
        offered = decode_msgpack(content, BatchOffer)
        self._tasks.start(self._answer_offer(sender, offered))

    def on_reply(self, sender: Member, content: bytes) -> None:
        """Complete the offer that a reply belongs to."""
        reply = decode_msgpack(content, OfferReply)
        waiting = self._waiting.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply.accepted)

    async def _send(
        self,
        coordinator: Member,
        number: int,
        content: bytes,
    ) -> OfferOutcome:
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiting
        self._peers.send(coordinator, Topic.batch_offered, content)
        try:
            async with asyncio.timeout(OFFER_TIMEOUT.total_seconds()):
                accepted = await waiting
        except TimeoutError:
            return OfferOutcome.unknown
        finally:
            self._waiting.pop(number, None)
        return OfferOutcome.accepted if accepted else OfferOutcome.declined

    async def _answer_offer(self, sender: Member, offered: BatchOffer) -> None:
        outcome = OfferOutcome.declined
        if self._acceptor is not None and not self._follower.store_unavailable:
            outcome = await self._acceptor(offered.head, offered.items)
        if outcome is OfferOutcome.unknown:
            # Without a reply, the sender treats the outcome as unknown too.
            return
        reply = OfferReply(offered.number, outcome is OfferOutcome.accepted)
        self._peers.send(
            sender, Topic.batch_told, msgspec.msgpack.encode(reply)
        )
