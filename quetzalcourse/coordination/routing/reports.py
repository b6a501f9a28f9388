"""Load reports of engines, corrected by this daemon's own requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.state.engines import EngineReport
    from quetzalcourse.state.generation import GenerationRequest


@dataclass(frozen=True, slots=True)
class ReportSnapshot:
    """A report and this daemon's requests when it arrived.

    :param own: this daemon's requests on the engine at that time.
    """

    report: EngineReport
    own: int


class EngineReports:
    """The last report of each engine."""

    def __init__(self) -> None:
        self._reports: dict[str, ReportSnapshot] = {}

    def on_report(self, name: str, report: EngineReport, own: int) -> None:
        """Store a report.

        :param own: this daemon's requests on the engine at this time.
        """
        self._reports[name] = ReportSnapshot(report, own)

    def discard(self, name: str) -> None:
        """Discard the report of an engine after too many missed ones."""
        self._reports.pop(name, None)

    def find(self, name: str) -> EngineReport | None:
        """Find the last report of an engine, ``None`` without a recent one."""
        snapshot = self._reports.get(name)
        return snapshot.report if snapshot else None

    def estimate_running(self, name: str, own: int) -> int:
        """Estimate the current number of requests on an engine.

        The report counts the requests of all daemons some time ago. The
        share of this daemon is replaced by its current requests; otherwise
        all requests of a second would go to the engine that was idle in its
        last report.

        :param own: this daemon's requests on the engine now.
        """
        snapshot = self._reports.get(name)
        if snapshot is None:
            return own
        reported = snapshot.report.running + snapshot.report.queued
        return max(reported - snapshot.own, 0) + own

    def serves(self, name: str, request: GenerationRequest) -> bool:
        """Return whether an engine has the requested version and adapter.

        An engine without a recent report is assumed to have them.
        """
        report = self.find(name)
        if report is None:
            return True
        if request.adapter and request.adapter not in report.adapters:
            return False
        if request.weight_version is not None:
            return report.weight_version == request.weight_version
        return report.weight_version >= request.oldest_version
