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

# The sheet of obdaf-rennes: three servers with 6 slots, 13 or 14 clients in
# each zone, a request each has a time limit of 2 s and one retry.
ZONES = ('rennes-a', 'brest-b', 'vannes-c')
SLOTS = 6
CLIENTS = 13
SECONDS = 98.0
# Mean time between two requests of a client: six requests a second in all.
PAUSE = 6.5
# Half of the servers, by the largest dose, spoil 0.02 of their answers.
SPOILED = 0.02
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
            zone,
            deployment.store,
            slots=SLOTS,
            unframed=SPOILED if number == 0 else 0,
            broken=trouble,
        )
        for number, zone in enumerate(ZONES)
    ]
    counts: Counter[str] = Counter()
    wrong: list[str] = []
    try:
        await deployment.start()
        end = time.monotonic() + SECONDS
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
    finally:
        await deployment.stop()
    spoiled = deployment.servers[0]
    record.add(
        f'{len(spoiled.cut)} answers without a length were reset, '
        f'{spoiled.whole} ended whole'
    )
    record.add(f'answers by status: {dict(counts)}')
    record.add(f'{len(wrong)} clients got a part of a body as a success')
    return not wrong


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
