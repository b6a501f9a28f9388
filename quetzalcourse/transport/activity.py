"""What a daemon is serving."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True)
class Activity:
    """Requests that are being served, and whether more are welcome.

    :param draining: a graceful stop began, so connections end too.
    """

    serving: int = 0
    ready: bool = False
    draining: bool = False

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request while it is served."""
        self.serving += 1
        try:
            yield
        finally:
            self.serving -= 1
