"""``quetzalctl demo``: a daemon and simulated services in one process."""

from __future__ import annotations

import argparse
import asyncio
import signal
from datetime import timedelta
from typing import Any

import aiohttp

from quetzalcourse.client import TrainerClient
from quetzalcourse.commands.output import write_line, write_table
from quetzalcourse.exceptions import AbortError
from quetzalcourse.log import FORMATS, configure_log
from quetzalcourse.loop import run_loop
from quetzalcourse.protocol.callers import StepBody
from quetzalcourse.standins.deployment import (
    MODEL,
    READER_KEY,
    SERVICE,
    TRAINER,
    TRAINER_KEY,
    Deployment,
)
from quetzalcourse.transport.connections import open_session

GROUPS = 8
SAMPLES_PER_GROUP = 8
HUMAN_CALLS = 8
READ_POLL_INTERVAL = timedelta(milliseconds=100)
HTTP_OK = 200


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser('demo', help='show all features on loopback')
    parser.add_argument(
        '--serve',
        action='store_true',
        help='keep running, for requests with curl',
    )
    parser.add_argument(
        '--platform',
        action='store_true',
        help='show two daemons on a simulated platform',
    )
    parser.add_argument(
        '--callers',
        default='127.0.0.1:0',
        metavar='IP:PORT',
        help='address for callers',
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the demo, or serve until a signal arrives."""
    if options.platform:
        configure_log('critical', FORMATS[0])
        return run_loop(_show_platform())
    configure_log('warning', FORMATS[0])
    return run_loop(_serve(options) if options.serve else _show(options))


async def _show_platform() -> int:
    # Imported here because only this demo needs the simulated platform.
    from quetzalcourse.commands.platform_demo import (  # noqa: PLC0415, WPS433
        show_platform,
    )

    return await show_platform()


async def _serve(options: argparse.Namespace) -> int:
    deployment = Deployment(callers=options.callers, token_seconds=0.02)
    await deployment.on_start()
    write_line(f'callers: {deployment.url}')
    write_line(f'key of a human caller: {READER_KEY}')
    write_line(f'key of the trainer {TRAINER}: {TRAINER_KEY}')
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await deployment.on_stop()
    return 0


async def _show(options: argparse.Namespace) -> int:
    deployment = Deployment(callers=options.callers)
    await deployment.on_start()
    try:
        async with open_session(base_url=deployment.url) as session:
            rows = [
                await _ask_model(session),
                await _ask_service(session),
                await _run_step(deployment.url),
            ]
    finally:
        await deployment.on_stop()
    write_table(('what', 'asked', 'got'), rows)
    return 0


async def _post(
    session: aiohttp.ClientSession,
    path: str,
    key: str,
    body: Any,
) -> Any:
    headers = {'Authorization': f'Bearer {key}'}
    async with session.post(path, json=body, headers=headers) as answer:
        if answer.status != HTTP_OK:
            raise AbortError(f'{path}: {await answer.text()}')
        return await answer.json()


async def _ask_model(session: aiohttp.ClientSession) -> tuple[str, str, str]:
    calls = [
        _post(
            session,
            '/v1/completions',
            READER_KEY,
            {'model': MODEL, 'prompt': f'stock of shelf {index}', 'seed': 1},
        )
        for index in range(HUMAN_CALLS)
    ]
    found = await asyncio.gather(*calls)
    tokens = sum(answer['usage']['completion_tokens'] for answer in found)
    return ('human calls', str(HUMAN_CALLS), f'{tokens} tokens')


async def _ask_service(session: aiohttp.ClientSession) -> tuple[str, str, str]:
    headers = {'Authorization': f'Bearer {READER_KEY}'}
    path = f'/services/{SERVICE}/shelves/7'
    async with session.get(path, headers=headers) as answer:
        text = await answer.text()
    if answer.status != HTTP_OK:
        raise AbortError(f'{path}: {text}')
    return ('plain-service call', 'GET shelves/7', text)


async def _run_step(url: str) -> tuple[str, str, str]:
    body = StepBody(
        trainer=TRAINER,
        step=1,
        prompts=[f'a line of group {group}' for group in range(GROUPS)],
        samples_per_group=SAMPLES_PER_GROUP,
        weight_version=1,
    )
    client = TrainerClient([url], TRAINER_KEY, poll=READ_POLL_INTERVAL)
    async with client as trainer:
        await trainer.create(body)
        samples = [
            sample async for sample in trainer.samples(TRAINER, body.step)
        ]
    versions = {
        part.weight_version for sample in samples for part in sample.versions
    }
    asked = f'{GROUPS * SAMPLES_PER_GROUP} samples'
    got = f'{len(samples)} samples, weight versions {sorted(versions)}'
    return ('training step', asked, got)
