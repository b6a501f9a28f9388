"""Messages between this daemon and the owners and users of slots.

Hundreds of daemons exchange demand and grants during a burst. A daemon's
reports to one owner share a message, and no message is sent to itself.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.slot_grants.messages import (
    ContentionNotice,
    DemandReport,
    DemandReports,
    Grant,
    Grants,
)
from quetzalcourse.state.decoding import decode_msgpack
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzalcourse.coordination.ports import Peers
    from quetzalcourse.coordination.slot_grants.slot_groups import (
        OwnerDirectory,
    )
    from quetzalcourse.coordination.slot_grants.slot_owners import (
        GrantsByDaemon,
        SlotOwners,
    )
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.counters import Counters
    from quetzalcourse.state.members import Member


class GrantExchange:
    """Sends reports to owners, and the grants of the owners here."""

    def __init__(
        self,
        directory: OwnerDirectory,
        owners: SlotOwners,
        peers: Peers,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Subscribe to the messages of other daemons."""
        self.owners = owners
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._on_grant: Callable[[str, Grant], None] = _ignore
        self._on_notice: Callable[[ContentionNotice], None] = _ignore
        self._on_activity: Callable[[], None] = _ignore
        peers.subscribe(Topic.slot_demands, self._receive_reports)
        peers.subscribe(Topic.slot_grants, self._receive_grants)

    def listen(
        self,
        on_grant: Callable[[str, Grant], None],
        on_notice: Callable[[ContentionNotice], None],
        on_activity: Callable[[], None],
    ) -> None:
        """Set the callbacks.

        :param on_grant: called with the incarnation of an owner and its grant.
        :param on_notice: called with a notice of an owner.
        :param on_activity: called when another daemon reports demand.
        """
        self._on_grant = on_grant
        self._on_notice = on_notice
        self._on_activity = on_activity

    def send_reports(self, reports: Iterable[tuple[str, DemandReport]]) -> None:
        """Send reports, given with the incarnations of the owners."""
        by_owner: dict[str, list[DemandReport]] = defaultdict(list)
        for owner, report in reports:
            by_owner[owner].append(report)
        own = self._directory.own.incarnation
        for receiver, batch in by_owner.items():
            if receiver == own:
                self._answer(own, tuple(batch))
            else:
                message = DemandReports(tuple(batch))
                self._send(receiver, Topic.slot_demands, message)

    def on_tick(self) -> None:
        """Divide the slots owned here again."""
        now = self._clock.elapsed()
        self._send_grants(self.owners.on_tick(now))
        for receiver, notices in self.owners.list_notices(now).items():
            message = Grants(notices=tuple(notices))
            self._send(receiver, Topic.slot_grants, message)

    def _receive_reports(self, sender: Member, content: bytes) -> None:
        message = decode_msgpack(content, DemandReports)
        self._answer(sender.incarnation, message.reports)
        self._on_activity()

    def _receive_grants(self, sender: Member, content: bytes) -> None:
        message = decode_msgpack(content, Grants)
        for grant in message.grants:
            self._on_grant(sender.incarnation, grant)
        for notice in message.notices:
            self._on_notice(notice)

    def _answer(self, sender: str, reports: tuple[DemandReport, ...]) -> None:
        now = self._clock.elapsed()
        self._send_grants(self.owners.on_reports(sender, reports, now))

    def _send_grants(self, grants: GrantsByDaemon) -> None:
        own = self._directory.own.incarnation
        for receiver, batch in grants.items():
            self._counters.add('slot_grants', len(batch))
            if receiver != own:
                message = Grants(tuple(batch))
                self._send(receiver, Topic.slot_grants, message)
                continue
            for grant in batch:
                self._on_grant(own, grant)

    def _send(
        self, incarnation: str, topic: Topic, message: msgspec.Struct
    ) -> None:
        member = self._directory.find_member(incarnation)
        if member is not None:
            content = msgspec.msgpack.encode(message)
            self._peers.send(member, topic, content)


def _ignore(*_: object) -> None:
    """Ignore a call made before a listener is registered."""
