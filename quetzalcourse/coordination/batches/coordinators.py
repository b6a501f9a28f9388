"""Which daemon runs the batches of a model.

The load that this answers: a trainer submits a step every few seconds, each
by another daemon. Each of these would open a connection for each item of its
step, learn anew which upstreams are slow or silent, and fill upstreams that
others fill at the same moment. So the daemons of a data centre agree on one
that runs the batches of a model; whoever takes a submission offers it there,
and runs the batch itself if that one is gone, leaving or has enough to do.
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
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.feeds.follower import TableFollower
    from quetzalcourse.coordination.forwarding.residency import Residency
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.state.members import Member

# Time that a coordinator has to answer an offer.
OFFER_TIMEOUT = timedelta(milliseconds=150)
# Unfinished items that a coordinator holds; larger batches run where they come
# in, which spreads the streams.
MAX_OPEN_ITEMS = 640
# Size of an offer; larger batches run where they come in.
MAX_OFFER_BYTES = 1_000_000
log = get_log('coordinators')


class OfferOutcome(enum.StrEnum):
    """What became of an offered batch; ``unknown`` may still be accepted."""

    accepted = 'accepted'
    declined = 'declined'
    unknown = 'unknown'


class BatchAcceptor(Protocol):
    """Takes a batch that is offered."""

    async def __call__(
        self,
        head: BatchHead,
        items: Sequence[BatchItem],
    ) -> OfferOutcome:
        """Accept a batch, or decline it."""


class BatchOffer(msgspec.Struct, frozen=True):
    """A batch that another daemon should accept and run.

    :param number: which offer of the sender it is.
    """

    number: int
    head: BatchHead
    items: list[BatchItem]


class OfferReply(msgspec.Struct, frozen=True):
    """Whether an offered batch stands."""

    number: int
    accepted: bool


def find_coordinator(
    model: str, own: Member, members: Sequence[Member]
) -> Member:
    """Find the daemon that runs the batches of a model.

    :param own: daemon that asks; only its data centre counts, so that a cut
        between data centres separates no submission from its coordinator.
    :param members: live daemons.
    """
    local_members = [
        one for one in members if one.data_centre == own.data_centre
    ]
    return find_owner(model, list_high_capacity(local_members)) or own


class BatchCoordinators:
    """Offers batches to their coordinators, and takes those that are offered.

    While the store does not answer, nothing is offered and nothing taken: a
    coordinator that tries in vain could not say whether the batch stands, and
    its caller could not be refused truly.

    :param follower: table by which the store's answers here are judged.
    """

    def __init__(
        self,
        peers: Peers,
        members: MemberView,
        follower: TableFollower,
        residency: Residency,
    ) -> None:
        """Listen to offers and to answers."""
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
        """Call a taker with each batch that is offered here."""
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
            'Batch is offered to its coordinator.',
            batch=head.id,
            coordinator=coordinator.vm,
            outcome=outcome.value,
        )
        return outcome

    def on_offered(self, sender: Member, content: bytes) -> None:
        """Take a batch that another daemon offers."""
        offered = msgspec.msgpack.decode(content, type=BatchOffer)
        self._tasks.start(self._answer_offer(sender, offered))

    def on_reply(self, sender: Member, content: bytes) -> None:
        """Take the answer to an offer."""
        reply = msgspec.msgpack.decode(content, type=OfferReply)
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
            # Silence is the answer that promises nothing.
            return
        reply = OfferReply(offered.number, outcome is OfferOutcome.accepted)
        self._peers.send(
            sender, Topic.batch_told, msgspec.msgpack.encode(reply)
        )
