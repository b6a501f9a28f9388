"""Tracking of draining upstreams, which get no new work."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from quetzalcourse.state.manifest import Manifest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import datetime

    from quetzalcourse.state.clock import Clock
    from quetzalcourse.state.members import Vm

# Work sent just before a maintenance window would be cut off by its start.
MAINTENANCE_LEAD_TIME = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """An upstream that started to drain.

    :param humans: whether streams of human callers have to migrate too.
    """

    upstream: str
    humans: bool


class DrainTracker:
    """Collects the draining upstreams from three sources.

    The sources are the upstream's own announcement, the platform's list of
    VMs, and the maintenance windows of the manifest.

    :param clock: its calendar time is compared with maintenance windows.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a draining upstream."""
        self._clock = clock
        self._manifest = Manifest()
        self._announced: set[str] = set()
        self._listed_by_platform: frozenset[str] = frozenset()
        self._draining: dict[str, bool] = {}

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the upstreams and maintenance windows of a manifest."""
        self._manifest = manifest
        self._announced &= set(manifest.upstreams)

    def on_notice(self, name: str, *, leaving: bool) -> None:
        """Record whether an upstream announces that it is draining."""
        if leaving:
            self._announced.add(name)
        else:
            self._announced.discard(name)

    def on_vms(self, vms: Iterable[Vm]) -> None:
        """Apply the platform's list of VMs.

        A VM matches an upstream by its id, which is the upstream's name, or by
        its address.
        """
        leaving = [vm for vm in vms if vm.leaving]
        self._listed_by_platform = frozenset(
            known for vm in leaving for known in (vm.vm, vm.address)
        )

    def is_draining(self, name: str) -> bool:
        """Return whether an upstream is draining and gets no new work."""
        return name in self._draining

    def list_draining(self) -> list[str]:
        """List the names of the draining upstreams."""
        return sorted(self._draining)

    def check(self) -> list[DrainNotice]:
        """Update the draining upstreams from all sources.

        :returns: upstreams whose streams have to migrate since the last check.
        """
        before = self._draining
        self._draining = self._collect()
        return [
            DrainNotice(name, humans)
            for name, humans in self._draining.items()
            if name not in before or humans != before[name]
        ]

    def _collect(self) -> dict[str, bool]:
        found = {
            name: False
            for name, upstream in self._manifest.upstreams.items()
            if name in self._announced
            or name in self._listed_by_platform
            or upstream.address in self._listed_by_platform
        }
        now = self._clock.now()
        return found | self._collect_windows(now)

    def _collect_windows(self, now: datetime) -> dict[str, bool]:
        return {
            window.upstream: window.starts <= now
            for window in self._manifest.maintenance
            if window.starts - MAINTENANCE_LEAD_TIME <= now < window.ends
        }
