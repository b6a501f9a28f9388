"""Engines' lagging reports, corrected by what this daemon itself sent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.state.engines import EngineReport
    from quetzalcourse.state.generation import GenerationRequest


@dataclass(frozen=True, slots=True)
class OwnLoadReport:
    """A report and what this daemon had running when it came.

    :param own: this daemon's requests on the engine at that time.
    """

    report: EngineReport
    own: int


class EngineReports:
    """The last report of each engine."""

    def __init__(self) -> None:
        """Begin without reports."""
        self._reports: dict[str, OwnLoadReport] = {}

    def on_report(self, name: str, report: EngineReport, own: int) -> None:
        """Take a report.

        :param own: this daemon's requests on the engine at this time.
        """
        self._reports[name] = OwnLoadReport(report, own)

    def discard(self, name: str) -> None:
        """Forget a report that became too old."""
        self._reports.pop(name, None)

    def find(self, name: str) -> EngineReport | None:
        """Find the last report of an engine, if there is a recent one."""
        timed = self._reports.get(name)
        return timed.report if timed else None

    def estimate_running(self, name: str, own: int) -> int:
        """Estimate the requests on an engine at this moment.

        The report says what all daemons had there a while ago. What this
        daemon began or finished since is known better and replaces its
        part of the report; otherwise all work of a second would go to the
        engine that was idle in its last report.

        :param own: this daemon's requests on the engine now.
        """
        timed = self._reports.get(name)
        if timed is None:
            return own
        told = timed.report.running + timed.report.queued
        return max(told - timed.own, 0) + own

    def serves(self, name: str, request: GenerationRequest) -> bool:
        """Tell whether an engine has the version and adapter asked for.

        An engine without a recent report may have them.
        """
        report = self.find(name)
        if report is None:
            return True
        if request.adapter and request.adapter not in report.adapters:
            return False
        if request.weight_version is not None:
            return report.weight_version == request.weight_version
        return report.weight_version >= request.oldest_version
