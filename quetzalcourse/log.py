"""Structured logging, with a fixed part name for each component."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any, TextIO, cast

import structlog

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from quetzalcourse.log_output import LogRateLimiter, NonBlockingOutput

FORMATS = ('console', 'json')


def configure_log(
    level: str,
    log_format: str,
    output: TextIO | NonBlockingOutput = sys.stderr,
    limit: LogRateLimiter | None = None,
    vm: str = '',
) -> None:
    """Set up logging for the process.

    :param level: name of the lowest level to write.
    :param log_format: one of :data:`FORMATS`.
    :param output: destination of the lines.
    :param limit: rate limit for the lines of each event.
    :param vm: added to every line, to tell the daemons apart in collected
        logs.
    """
    extra_processors: list[Any] = [limit] if limit is not None else []
    if vm:
        extra_processors.append(VmNameProcessor(vm))
    renderer: Any = structlog.processors.JSONRenderer()
    if log_format == 'console':
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            *extra_processors,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()],
        ),
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, output)),
    )


class VmNameProcessor:
    """structlog processor that adds the name of the VM to each line."""

    def __init__(self, vm: str) -> None:
        """Store the name."""
        self._vm = vm

    def __call__(
        self,
        _: Any,
        name: str,
        line: dict[str, Any],
    ) -> dict[str, Any]:
        """Add the name to a line."""
        line['vm'] = self._vm
        return line


def bind_log(**names: object) -> None:
    """Add fields to every line that the calling task logs from now on."""
    structlog.contextvars.bind_contextvars(**names)


def get_log(part: str) -> FilteringBoundLogger:
    """Return the logger of a component.

    :param part: value of the field ``part`` in its lines.
    """
    return structlog.get_logger(part=part)
