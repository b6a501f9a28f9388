"""Program that sends messages to peers until its time is over."""

from __future__ import annotations

import asyncio
import faulthandler
import random
import sys

from quetzalcourse.state.counters import Counters
from quetzalcourse.state.members import Member, Topic
from quetzalcourse.transport.clock import SystemClock
from quetzalcourse.transport.peer_link import PeerLink

MAX_BURST_MESSAGES = 3
MAX_PAUSE_SECONDS = 0.0005


async def send_messages(seconds: float, ports: list[str]) -> None:
    """Send short bursts to each port on the loopback interface."""
    link = PeerLink('127.0.0.1:0', [b'secret'], SystemClock(), Counters())
    link.start(Member('vm', 'vm-a', 'hall-a', link.address))
    peers = [
        Member(port, f'{port}-a', 'hall-a', f'127.0.0.1:{port}')
        for port in ports
    ]
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while loop.time() < deadline:
        for peer in peers:
            for _ in range(random.randint(0, MAX_BURST_MESSAGES)):
                link.send(peer, Topic.usage, b'figures')
        await asyncio.sleep(random.uniform(0, MAX_PAUSE_SECONDS))
    link.stop()


if __name__ == '__main__':
    faulthandler.enable()
    asyncio.run(send_messages(float(sys.argv[1]), sys.argv[2:]))
