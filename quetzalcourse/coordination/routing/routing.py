"""Router that ranks the engines that can run a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from quetzalcourse.coordination.routing.prefixes import (
    PrefixCacheHints,
    hash_prefix,
)
from quetzalcourse.coordination.routing.reports import EngineReports
from quetzalcourse.state.generation import GenerationRequest, TrafficClass
from quetzalcourse.state.manifest import Manifest, Upstream, UpstreamKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalcourse.coordination.routing.drain_tracker import DrainTracker

# Share of its slots above which an engine ranks behind its peers.
HIGH_LOAD_SHARE = 0.75
Rank = tuple[bool, bool, bool, int]


class Router:
    """Chooses upstreams for requests.

    :param data_centre: data centre of this daemon.
    :param drain_tracker: tracks the upstreams that get no new work.
    :param reports: load reports of the engines.
    :param prefixes: presumed content of the engines' prefix caches.
    """

    def __init__(
        self,
        data_centre: str,
        drain_tracker: DrainTracker | None = None,
        reports: EngineReports | None = None,
        prefixes: PrefixCacheHints | None = None,
    ) -> None:
        """Start without upstreams."""
        self._data_centre = data_centre
        self._drain_tracker = drain_tracker
        self._reports = reports or EngineReports()
        self._prefixes = prefixes or PrefixCacheHints()
        self._manifest = Manifest()

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the upstreams of a new manifest."""
        self._manifest = manifest
        self._prefixes.keep_only(manifest.upstreams)

    def on_sent(self, name: str, request: GenerationRequest) -> None:
        """Record that a request was sent to an engine."""
        self._prefixes.on_sent(name, hash_prefix(request.prompt))

    def knows_model(self, model: str) -> bool:
        """Return whether any upstream serves a model."""
        return any(
            model in upstream.models
            for upstream in self._manifest.upstreams.values()
        )

    def is_available(self, name: str) -> bool:
        """Return whether an upstream may get new work."""
        if name not in self._manifest.upstreams:
            return False
        return (
            self._drain_tracker is None
            or not self._drain_tracker.is_draining(name)
        )

    def rank_engines(
        self,
        request: GenerationRequest,
        running: Callable[[str], int],
        excluded: frozenset[str] = frozenset(),
    ) -> tuple[str, ...]:
        """List the names of engines that can run a request, best first.

        :param running: returns the requests that hold a slot of an upstream.
        :param excluded: upstreams that just failed this request.
        """
        eligible = [
            upstream
            for upstream in self._manifest.upstreams.values()
            if _can_run(upstream, request)
            and upstream.name not in excluded
            and self.is_available(upstream.name)
        ]
        # Reports lag, so an engine that seems to have another version is
        # still tried if no other is left; it refuses before it runs anything.
        serving = [
            upstream
            for upstream in eligible
            if self._reports.serves(upstream.name, request)
        ]
        prefix = hash_prefix(request.prompt)
        ranked = sorted(
            serving or eligible,
            key=lambda upstream: self._rank(upstream, prefix, running),
        )
        return tuple(upstream.name for upstream in ranked)

    def _rank(
        self,
        upstream: Upstream,
        prefix: int,
        running: Callable[[str], int],
    ) -> Rank:
        name = upstream.name
        busy = self._reports.estimate_running(name, running(name))
        full = busy >= upstream.slots
        warm = not full and self._prefixes.holds(name, prefix)
        # Engines with free slots are ranked by hash, not by load, so that
        # daemons that send the same new prefix agree on an engine. Ranked by
        # their lagging views of the load, each daemon would fill a different
        # engine's cache with it.
        return (
            upstream.data_centre != self._data_centre,
            not warm,
            busy > upstream.slots * HIGH_LOAD_SHARE,
            xxhash.xxh64_intdigest(f'{name}|{prefix}'.encode()),
        )


def _can_run(upstream: Upstream, request: GenerationRequest) -> bool:
    if upstream.kind is not UpstreamKind.engine:
        return False
    if upstream.cheap and request.traffic_class is TrafficClass.human:
        return False
    has_adapter = not request.adapter or request.adapter in upstream.adapters
    return request.model in upstream.models and has_adapter
