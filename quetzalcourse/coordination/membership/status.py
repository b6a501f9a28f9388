"""Status of the components of a daemon, for the status endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class StatusRegistry:
    """Collects the content of ``/status``."""

    def __init__(self) -> None:
        """Start without a source."""
        self._sources: dict[str, Callable[[], Any]] = {}

    def add(self, name: str, source: Callable[[], Any]) -> None:
        """Register the status source of a component.

        :param source: called for each request; returns JSON-serializable data.
        """
        self._sources[name] = source

    def collect(self) -> dict[str, Any]:
        """Read the status of every component."""
        return {name: source() for name, source in self._sources.items()}
