"""What the parts of a daemon say of themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class StatusRegistry:
    """Collects what ``/status`` shows."""

    def __init__(self) -> None:
        """Begin empty."""
        self._sources: dict[str, Callable[[], Any]] = {}

    def add(self, name: str, source: Callable[[], Any]) -> None:
        """Show one more part.

        :param source: called for each request; gives what JSON can hold.
        """
        self._sources[name] = source

    def collect(self) -> dict[str, Any]:
        """Ask every part."""
        return {name: source() for name, source in self._sources.items()}
