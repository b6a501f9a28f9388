"""Tells daemons that wait for a batch's results as soon as they stand.

The load that this answers: a trainer reads its step at any of hundreds of
daemons, each of which reads the batches' rows only every second, so that the
store's reads do not grow with the daemons. The last result of a step stood
for half a second before its trainer, who was waiting for it, got to know.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

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

# Callers let a read wait for a second; whoever waits longer asks again.
SUBSCRIPTION_TTL = timedelta(seconds=1.2)


class ResultsSubscription(msgspec.Struct, frozen=True):
    """A caller waits for results at the sender.

    :param known: how many it has.
    """

    batch: str
    known: int


class ResultsCommitted(msgspec.Struct, frozen=True):
    """Results that stand in the store.

    :param listed: how many there are.
    """

    batch: str
    listed: int


@dataclass(frozen=True, slots=True)
class Subscriber:
    """Daemon at which a caller waits.

    :param until: time since boot until which it does.
    """

    member: Member
    until: timedelta


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
        """Listen to those who wait, and to owners."""
        self._directory = directory
        self._runner = runner
        self._reader = reader
        self._peers = peers
        self._members = members
        self._clock = clock
        self._waiters: dict[str, dict[str, Subscriber]] = {}
        peers.subscribe(Topic.results_awaited, self.on_awaited)
        peers.subscribe(Topic.results_stand, self.on_stand)
        reader.on_wait(self.ask)

    def ask(self, batch: str, known: int) -> None:
        """Ask the owner of a batch to tell of further results.

        :param known: how many this daemon has read.
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

    def on_awaited(self, sender: Member, content: bytes) -> None:
        """Note a daemon at which a caller waits, or answer it at once."""
        awaited = msgspec.msgpack.decode(content, type=ResultsSubscription)
        self._forget_old()
        run = self._runner.batches.get(awaited.batch)
        if run is None:
            return
        if run.committed > awaited.known:
            self._tell(sender, awaited.batch, run.committed)
            return
        until = self._clock.elapsed() + SUBSCRIPTION_TTL
        waiters = self._waiters.setdefault(awaited.batch, {})
        waiters[sender.vm] = Subscriber(sender, until)

    def on_committed(
        self,
        batch: str,
        position: int,
        results: Sequence[ItemResult],
    ) -> None:
        """Tell those who wait that results stand."""
        for waiter in self._waiters.pop(batch, {}).values():
            self._tell(waiter.member, batch, position + len(results))

    def on_stand(self, _: Member, content: bytes) -> None:
        """Wake the callers who wait for a batch's results."""
        stand = msgspec.msgpack.decode(content, type=ResultsCommitted)
        self._reader.on_result_count(stand.batch, stand.listed)

    def _tell(self, receiver: Member, batch: str, listed: int) -> None:
        content = msgspec.msgpack.encode(ResultsCommitted(batch, listed))
        self._peers.send(receiver, Topic.results_stand, content)

    def _forget_old(self) -> None:
        now = self._clock.elapsed()
        for batch, waiters in list(self._waiters.items()):
            for vm, waiter in list(waiters.items()):
                if waiter.until < now:
                    waiters.pop(vm)
            if not waiters:
                self._waiters.pop(batch)
