"""Event loop of all programs of the package."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


def run_loop(main: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine on uvloop.

    libuv sets up io_uring and keeps an ``io_uring`` descriptor open, which
    the rules of the machines forbid, unless an environment variable says
    otherwise before the loop is created. It is set here so that no caller
    has to set it in a shell.

    :param main: main coroutine of the program.
    :returns: its exit code.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    import uvloop  # noqa: PLC0415, WPS433

    from quetzalcourse.event_loop import EventLoop  # noqa: PLC0415, WPS433

    return uvloop.run(main, loop_factory=EventLoop)
