"""Tells the other daemons of upstreams that ended under a request.

A request comes again at any daemon, and each would lose three upstreams by it
before it knew. Messages reach all of them within milliseconds, also while the
store is away; a daemon that misses them reads quarantines from the store.

A partition breaks the connections of hundreds of requests in one moment, so
what is learned within a short time goes out together.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.tasks import BackgroundTasks
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.quarantine import UpstreamRun

# Time for which reports are collected before they are sent.
SEND_DELAY = timedelta(milliseconds=10)


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon learned of a request.

    :param run: run of an upstream that ended under it, ``None`` if an upstream
        answered it.
    :param address: where the upstream listened.
    """

    fingerprint: str
    run: tuple[str, int] | None = None
    address: str = ''


class CrashReportBatch(msgspec.Struct, frozen=True):
    """Reports in the order in which they were made."""

    reports: list[CrashReport]


class CrashUpdates:
    """Sends ends and answers to the other daemons and takes theirs."""

    def __init__(
        self,
        quarantine: Quarantine,
        members: MemberView,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Listen to this daemon and to the others."""
        self._quarantine = quarantine
        self._members = members
        self._peers = peers
        self._clock = clock
        self._reports: list[CrashReport] = []
        self._tasks = BackgroundTasks('end updates')
        quarantine.on_local_crash(self.tell_end)
        quarantine.on_local_answer(self.tell_answer)
        peers.subscribe(Topic.upstream_ends, self.on_message)

    def tell_end(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> None:
        """Tell that an upstream ended under a request."""
        self._tell(CrashReport(fingerprint, run, address))

    def tell_answer(self, fingerprint: str) -> None:
        """Tell that an upstream answered a request."""
        self._tell(CrashReport(fingerprint))

    def on_message(self, _: Member, content: bytes) -> None:
        """Take what another daemon learned."""
        update = msgspec.msgpack.decode(content, type=CrashReportBatch)
        for report in update.reports:
            if report.run is None:
                self._quarantine.lift(report.fingerprint, 'answered elsewhere')
            else:
                self._quarantine.records.on_crash(
                    report.fingerprint, report.run, report.address
                )

    def _tell(self, report: CrashReport) -> None:
        self._reports.append(report)
        if len(self._reports) == 1:
            self._tasks.start(self._send())

    async def _send(self) -> None:
        await self._clock.sleep(SEND_DELAY)
        content = msgspec.msgpack.encode(CrashReportBatch(self._reports))
        self._reports = []
        for member in self._members.list_live():
            if member.vm != self._members.own.vm:
                self._peers.send(member, Topic.upstream_ends, content)
