"""Notifies daemons of new results that their callers wait for.

A trainer reads its step at any of hundreds of daemons. Each of these reads the
rows of batches only every second, so that the reads do not grow with the
number of daemons; by that alone, a waiting trainer would get the last result
of its step half a second late.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.state.decoding import decode_msgpack
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.batches.directory import BatchDirectory
    from quetzalcourse.coordination.batches.result_reader import ResultReader
    from quetzalcourse.coordination.batches.runner import BatchRunner
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.state.batches import ItemResult
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member

# Callers wait up to a second per read; a longer wait subscribes again.
SUBSCRIPTION_TTL = timedelta(seconds=1.2)


class ResultsSubscription(msgspec.Struct, frozen=True):
    """Subscription of a daemon whose caller waits for results.

    :param known: number of results that the sender has.
    """

    batch: str
    known: int


class ResultsCommitted(msgspec.Struct, frozen=True):
    """Notification of results in the store.

    :param listed: number of results in the store.
    """

    batch: str
    listed: int


@dataclass(frozen=True, slots=True)
class Subscriber:
    """Daemon at which a caller waits.

    :param expires_at: time since boot at which its subscription ends.
    """

    member: Member
    expires_at: timedelta


class ResultNotifications:
    """Subscribes to the results of batches, and notifies subscribers."""

    def __init__(
        self,
        directory: BatchDirectory,
        runner: BatchRunner,
        reader: ResultReader,
        peers: Peers,
        members: MemberView,
        clock: Clock,
    ) -> None:
        """Listen to waiting callers, subscriptions and notifications."""
        self._directory = directory
        self._runner = runner
        self._reader = reader
        self._peers = peers
        self._members = members
        self._clock = clock
        self._subscribers: dict[str, dict[str, Subscriber]] = {}
        peers.subscribe(Topic.results_awaited, self.on_subscription)
        peers.subscribe(Topic.results_stand, self.on_notification)
        reader.on_wait(self.request_notifications)

    def request_notifications(self, batch: str, known: int) -> None:
        """Ask the owner of a batch for a notification of further results.

        :param known: number of results that this daemon has read.
        """
        view = self._directory.find(batch)
        if view is None or view.owner is None:
            return
        vm = view.owner.vm
        if vm == self._members.own.vm:
            return
        content = msgspec.msgpack.encode(ResultsSubscription(batch, known))
        for member in self._members.list_live():
            if member.vm == vm:
                self._peers.send(member, Topic.results_awaited, content)

    def on_subscription(self, sender: Member, content: bytes) -> None:
        """Record a subscription, or answer it if results are there."""
        subscription = decode_msgpack(content, ResultsSubscription)
        self._expire_subscriptions()
        run = self._runner.batches.get(subscription.batch)
        if run is None:
            return
        if run.committed > subscription.known:
            self._notify(sender, subscription.batch, run.committed)
            return
        expires_at = self._clock.elapsed() + SUBSCRIPTION_TTL
        subscribers = self._subscribers.setdefault(subscription.batch, {})
        subscribers[sender.vm] = Subscriber(sender, expires_at)

    def on_committed(
        self,
        batch: str,
        position: int,
        results: Sequence[ItemResult],
    ) -> None:
        """Notify the subscribers of a batch of new results."""
        for subscriber in self._subscribers.pop(batch, {}).values():
            self._notify(subscriber.member, batch, position + len(results))

    def on_notification(self, _: Member, content: bytes) -> None:
        """Wake the callers that wait for the results of a batch."""
        notification = decode_msgpack(content, ResultsCommitted)
        self._reader.on_result_count(notification.batch, notification.listed)

    def _notify(self, receiver: Member, batch: str, listed: int) -> None:
        content = msgspec.msgpack.encode(ResultsCommitted(batch, listed))
        self._peers.send(receiver, Topic.results_stand, content)

    def _expire_subscriptions(self) -> None:
        now = self._clock.elapsed()
        for batch, subscribers in list(self._subscribers.items()):
            for vm, subscriber in list(subscribers.items()):
                if subscriber.expires_at < now:
                    subscribers.pop(vm)
            if not subscribers:
                self._subscribers.pop(batch)
