"""Upstreams that are about to go away."""

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

MAINTENANCE_LEAD_TIME = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """An upstream that began to leave.

    :param humans: whether human callers' streams have to move as well.
    """

    upstream: str
    humans: bool


class DrainTracker:
    """Knows the leaving upstreams from three sources.

    These are the upstream's own notice, the platform's list of VMs and the
    maintenance windows of the manifest.

    :param clock: its calendar time decides on maintenance windows.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without a leaving upstream."""
        self._clock = clock
        self._manifest = Manifest()
        self._noticed: set[str] = set()
        self._listed: frozenset[str] = frozenset()
        self._leaving: dict[str, bool] = {}

    def on_manifest(self, manifest: Manifest) -> None:
        """Take the maintenance windows of a manifest."""
        self._manifest = manifest
        self._noticed &= set(manifest.upstreams)

    def on_notice(self, name: str, *, leaving: bool) -> None:
        """Learn what an upstream says of itself."""
        if leaving:
            self._noticed.add(name)
        else:
            self._noticed.discard(name)

    def on_vms(self, vms: Iterable[Vm]) -> None:
        """Take the platform's list of VMs; ids are upstreams' names."""
        leaving = [vm for vm in vms if vm.leaving]
        self._listed = frozenset(
            known for vm in leaving for known in (vm.vm, vm.address)
        )

    def is_draining(self, name: str) -> bool:
        """Tell whether an upstream gets no new work."""
        return name in self._leaving

    def list_draining(self) -> list[str]:
        """Name the leaving upstreams."""
        return sorted(self._leaving)

    def check(self) -> list[DrainNotice]:
        """Look at all sources again.

        :returns: upstreams whose streams have to move since the last look.
        """
        before = self._leaving
        self._leaving = self._collect()
        return [
            DrainNotice(name, humans)
            for name, humans in self._leaving.items()
            if name not in before or humans != before[name]
        ]

    def _collect(self) -> dict[str, bool]:
        found = {
            name: False
            for name, upstream in self._manifest.upstreams.items()
            if name in self._noticed
            or name in self._listed
            or upstream.address in self._listed
        }
        now = self._clock.now()
        return found | self._collect_windows(now)

    def _collect_windows(self, now: datetime) -> dict[str, bool]:
        # Work that is sent just before a window would be cut by its start,
        # so the upstream is left alone a little earlier.
        return {
            window.upstream: window.starts <= now
            for window in self._manifest.maintenance
            if window.starts - MAINTENANCE_LEAD_TIME <= now < window.ends
        }
