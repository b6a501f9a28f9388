"""Access to the platform for commands that need no daemon."""

from __future__ import annotations

import argparse
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from quetzalcourse.transport.connections import open_session
from quetzalcourse.transport.platform_client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_SECONDS = 5.0


def add_platform_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the platform's address."""
    parser.add_argument(
        '--platform',
        required=True,
        metavar='IP:PORT',
        help="address of the platform's services",
    )


@asynccontextmanager
async def open_platform(address: str) -> AsyncIterator[PlatformClient]:
    """Connect to the platform for the duration of a command.

    :param address: IP address and port.
    """
    async with open_session() as session:
        yield PlatformClient(session, address, TIMEOUT_SECONDS)
