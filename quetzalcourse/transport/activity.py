"""In-flight requests and readiness of a daemon."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True)
class Activity:
    """Number of in-flight requests, and whether the daemon accepts more.

    :param serving: requests in flight.
    :param ready: whether the daemon accepts requests.
    :param draining: whether a graceful shutdown has started, which also
        closes connections.
    """

    serving: int = 0
    ready: bool = False
    draining: bool = False

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as in flight for the duration of the block."""
        self.serving += 1
        try:
            yield
        finally:
            self.serving -= 1
