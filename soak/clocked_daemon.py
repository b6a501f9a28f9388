"""``quetzalcoursed`` with a wall clock that the soak test can shift."""

from __future__ import annotations

import os
from datetime import UTC, datetime, timedelta
from pathlib import Path

from quetzalcourse.daemon import main
from quetzalcourse.transport.clock import SystemClock

# Path of a file with the offset of the wall clock in seconds.
CLOCK_OFFSET_FILE_VARIABLE = 'SOAK_CALENDAR_FILE'


def read_shifted_clock(_: SystemClock) -> datetime:
    """Return the wall-clock time plus the offset from the file."""
    path = Path(os.environ[CLOCK_OFFSET_FILE_VARIABLE])
    text = path.read_text() if path.exists() else ''
    return datetime.now(UTC) + timedelta(seconds=float(text or 0))


if __name__ == '__main__':
    setattr(SystemClock, 'now', read_shifted_clock)  # noqa: B010
    raise SystemExit(main())
