"""Messages between daemons about upstreams that crashed while running requests.

A request may be retried at any daemon, and each daemon would lose three
upstreams to it before it quarantined the request on its own. Messages reach
all daemons within milliseconds, even during a store outage; a daemon that
misses them reads quarantines from the store.

A partition breaks the connections of hundreds of requests at once, so reports
are collected for a short time and sent together.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.coordination.tasks import BackgroundTasks
from quetzalcourse.state.decoding import decode_msgpack
from quetzalcourse.state.members import Topic

if TYPE_CHECKING:
    import asyncio

    from quetzalcourse.coordination.ports import MemberView, Peers
    from quetzalcourse.coordination.quarantine.quarantine import Quarantine
    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Member
    from quetzalcourse.state.quarantine import UpstreamRun

# How long reports are collected before they are sent.
SEND_DELAY = timedelta(milliseconds=10)


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a request that a daemon observed.

    :param run: run of an upstream that crashed while running the request,
        ``None`` if an upstream answered it.
    :param address: address of that upstream.
    """

    fingerprint: str
    run: tuple[str, int] | None = None
    address: str = ''


class CrashReportBatch(msgspec.Struct, frozen=True):
    """Crash reports in the order of their observation."""

    reports: list[CrashReport]


class CrashUpdates:
    """Exchanges crashes and answers of requests with the other daemons."""

    def __init__(
        self,
        quarantine: Quarantine,
        members: MemberView,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Subscribe to this daemon's quarantine and to peer messages."""
        self._quarantine = quarantine
        self._members = members
        self._peers = peers
        self._clock = clock
        self._reports: list[CrashReport] = []
        self._tasks = BackgroundTasks('crash updates')
        self._sending: asyncio.Task[None] | None = None
        quarantine.on_local_crash(self.send_crash)
        quarantine.on_local_answer(self.send_answer)
        peers.subscribe(Topic.upstream_ends, self.on_message)

    def send_crash(
        self, fingerprint: str, run: UpstreamRun, address: str
    ) -> None:
        """Report that an upstream crashed while running a request."""
        self._queue(CrashReport(fingerprint, run, address))

    def send_answer(self, fingerprint: str) -> None:
        """Report that an upstream answered a request."""
        self._queue(CrashReport(fingerprint))

    def on_message(self, _: Member, content: bytes) -> None:
        """Apply the reports of another daemon."""
        update = decode_msgpack(content, CrashReportBatch)
        for report in update.reports:
            if report.run is None:
                self._quarantine.lift(report.fingerprint, 'answered elsewhere')
            else:
                self._quarantine.records.on_crash(
                    report.fingerprint, report.run, report.address
                )

    def _queue(self, report: CrashReport) -> None:
        self._reports.append(report)
        if self._sending is None or self._sending.done():
            self._sending = self._tasks.start(self._send())

    async def _send(self) -> None:
        await self._clock.sleep(SEND_DELAY)
        reports = self._reports
        self._reports = []
        content = msgspec.msgpack.encode(CrashReportBatch(reports))
        for member in self._members.list_live():
            if member.vm != self._members.own.vm:
                self._peers.send(member, Topic.upstream_ends, content)
