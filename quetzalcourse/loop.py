"""Event loop of all programs of the package."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


def run_loop(main: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine on the daemons' event loop.

    :param main: main coroutine of the program.
    :returns: its exit code.
    """
    import uvloop  # noqa: PLC0415, WPS433

    from quetzalcourse.event_loop import create_loop  # noqa: PLC0415, WPS433

    return uvloop.run(main, loop_factory=create_loop)
