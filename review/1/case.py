"""Answers without a length that are reset in the middle."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

import scenario
from deployment import Deployment, Record, call, documents
from plain import PlainServer, write_body

# 13 clients in each zone and a time limit of 2 s with one retry, as the sheet
# of obdaf-rennes has them; four servers with 6 slots, so that half are two.
ZONES = ('rennes-a', 'brest-b', 'vannes-c')
SLOTS = 6
CLIENTS = 13
SECONDS = 80.0
# Mean time between two requests of a client: six requests a second in all.
PAUSE = 6.5
# Half of the servers, drawn anew each 5 s, spoil 0.02 of their answers.
SERVERS = 4
SPOILED = 0.02
GARBLE_SECONDS = 5.0
TIME_LIMIT = 2.0


async def play(record: Record, trouble: bool) -> bool:
    """Play the case.

    :returns: whether the rule held.
    """
    deployment = Deployment(
        record, list(ZONES), documents.build_config(), memory_mb=170
    )
    deployment.servers = [
        PlainServer(
            f'catalogue-{number}',
            documents.CATALOGUE,
            ZONES[number % len(ZONES)],
            deployment.store,
            slots=SLOTS,
            broken=trouble,
        )
        for number in range(SERVERS)
    ]
    counts: Counter[str] = Counter()
    wrong: list[str] = []
    try:
        await deployment.start()
        end = time.monotonic() + SECONDS
        garble = asyncio.ensure_future(spoil(deployment.servers, record))
        clients = [
            asyncio.ensure_future(
                run_client(daemon, end, record, counts, wrong)
            )
            for daemon in deployment.daemons
            for _ in range(CLIENTS)
        ]
        await asyncio.wait(clients, timeout=SECONDS)
        for client in clients:
            if client.done():
                client.result()
            client.cancel()
        garble.cancel()
    finally:
        await deployment.stop()
    cut = sum(len(server.cut) for server in deployment.servers)
    whole = sum(server.whole for server in deployment.servers)
    record.add(
        f'{cut} answers without a length were reset, {whole} ended whole'
    )
    record.add(f'answers by status: {dict(counts)}')
    record.add(f'{len(wrong)} clients got a part of a body as a success')
    return not wrong


async def spoil(servers: list[PlainServer], record: Record) -> None:
    """Let half of the servers answer some requests without a length."""
    while True:
        drawn = random.sample(servers, SERVERS // 2)
        for server in servers:
            server.unframed = SPOILED if server in drawn else 0
        record.add(f'without length: {", ".join(one.name for one in drawn)}')
        await asyncio.sleep(GARBLE_SECONDS)


async def run_client(
    daemon, end: float, record: Record, counts: Counter, wrong: list[str]
) -> None:
    """Send lookups one after the other, each with one retry."""
    await asyncio.sleep(random.expovariate(1 / PAUSE))
    while time.monotonic() < end:
        for _ in range(2):
            request_id = f'{random.getrandbits(64):016x}'
            answer = await call(
                daemon.front,
                'POST',
                f'{documents.LOOKUP_PREFIX}2f',
                scenario.headers(request_id) | {'X-Deadline-Ms': '2000'},
                b'q' * 600,
                TIME_LIMIT,
            )
            counts[str(answer.status if answer else 'none')] += 1
            if answer is not None and answer.status == 200:
                judge(daemon, request_id, answer, record, wrong)
                break
        await asyncio.sleep(random.expovariate(1 / PAUSE))


def judge(daemon, request_id: str, answer, record: Record, wrong: list) -> None:
    """Compare a success with the server's whole body."""
    whole = write_body(request_id)
    if answer.body == whole:
        return
    wrong.append(request_id)
    record.add(
        f'request {request_id} at {daemon.name}: 200, stamp '
        f'{answer.headers.get("x-server-stamp")}, framed as whole with '
        f'{len(answer.body)} of {len(whole)} bytes'
    )


if __name__ == '__main__':
    sys.exit(scenario.main(Path(__file__).parent, play))
