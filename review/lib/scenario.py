"""Runs a case and turns its outcome into an exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import traceback
from typing import TYPE_CHECKING

from deployment import Record, documents

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

HELD = 0
BROKEN = 1
NOT_RUN = 2
# A script may take two minutes in all.
LIMIT_SECONDS = 110


def headers(request_id: str, key: str = documents.KEY) -> dict[str, str]:
    """Build the headers of a client's request."""
    return {
        'Host': documents.HOST,
        'X-Key': key,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '8000',
    }


def main(folder: Path, play: Callable[[Record, bool], Awaitable[bool]]) -> int:
    """Play a case.

    :param play: returns whether the rule held.
    :returns: exit code of the script.
    """
    record = Record(folder / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add(f'TROUBLE={int(trouble)}')

    async def run() -> bool:
        # A script that is ended early ends what it started, too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(LIMIT_SECONDS):
            return await play(record, trouble)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add(f'the case could not run: {error!r}')
        traceback.print_exc()
        return NOT_RUN
    record.add('the rule held' if held else 'the rule was broken')
    return HELD if held else BROKEN
