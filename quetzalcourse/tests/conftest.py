"""Fixtures of all tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import structlog

from quetzalcourse.event_loop import create_loop

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    LoopFactory = Callable[[], asyncio.AbstractEventLoop]

# Runs a test on asyncio's event loop too, which callers may use.
EVERY_LOOP = 'every_loop'


def pytest_asyncio_loop_factories(
    item: pytest.Item,
) -> dict[str, LoopFactory]:
    """Run the tests on the event loop that serves.

    Event loops report the end of a connection in different ways, so a test
    on another loop proves nothing about the daemons.
    """
    factories: dict[str, LoopFactory] = {'daemon': create_loop}
    if item.get_closest_marker(EVERY_LOOP) is not None:
        factories['asyncio'] = asyncio.new_event_loop
    return factories


@pytest.fixture(autouse=True)
def log_defaults() -> Iterator[None]:
    """Reset the log configuration that a command or daemon of a test set.

    The level applies to the whole process. Without the reset, tests that read
    logs would depend on the tests that ran before them.
    """
    yield
    structlog.reset_defaults()
