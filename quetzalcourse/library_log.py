"""Log records of libraries in the format and limits of the daemon's log."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TYPE_CHECKING

from quetzalcourse.log import get_log

if TYPE_CHECKING:
    from types import TracebackType

MAX_MESSAGE_LENGTH = 300
log = get_log('library')


class LibraryLogHandler(logging.Handler):
    """Writes each log record of a library as one line.

    By default Python writes them to standard error, with tracebacks of many
    lines that no search by field finds, and blocks if the reader is slow.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record with the type and the location of its error."""
        error = record.exc_info[1] if record.exc_info else None
        log.log(
            record.levelno,
            'Library log record.',
            library=record.name,
            report=record.getMessage()[:MAX_MESSAGE_LENGTH],
            error='' if error is None else type(error).__name__,
            place=''
            if error is None
            else find_error_location(error.__traceback__),
        )


def find_error_location(traceback: TracebackType | None) -> str:
    """Return the innermost file and line of a traceback."""
    location = ''
    while traceback is not None:
        name = Path(traceback.tb_frame.f_code.co_filename).name
        location = f'{name}:{traceback.tb_lineno}'
        traceback = traceback.tb_next
    return location


def capture_library_logs() -> None:
    """Handle the log records of all libraries from now on."""
    logging.basicConfig(handlers=[LibraryLogHandler()], level=logging.WARNING)
