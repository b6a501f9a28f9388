"""Daemons in child processes, for tests and benchmarks."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from typing import TYPE_CHECKING, Any

import tomli_w

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

START_SECONDS = 30.0
STARTED_MESSAGE = 'Daemon started.'


class DaemonProcess:
    """Daemon in a child process of a test or benchmark.

    :param folder: directory to which its settings file is written.
    :param settings: content of the settings file.
    """

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        """Store the settings; :meth:`on_start` starts the process."""
        self.address = ''
        self.peers = ''
        self.line_listeners: list[Callable[[str], None]] = []
        self.lines: list[str] = []
        self._path = folder / f'{settings["vm"]}.toml'
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None
        self._started = asyncio.Event()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._get_process().pid

    async def on_start(self) -> None:
        """Start the process and wait until it listens."""
        self._path.write_text(tomli_w.dumps(self._settings))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'quetzalcourse.daemon',
            '--settings',
            str(self._path),
            stderr=asyncio.subprocess.PIPE,
        )
        loop = asyncio.get_running_loop()
        self._reader = loop.create_task(self._read_log())
        async with asyncio.timeout(START_SECONDS):
            await self._started.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._get_process().send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has exited.

        :returns: exit code; negative signal number if a signal killed it.
        """
        code = await self._get_process().wait()
        if self._reader is not None:
            await self._reader
        return code

    async def on_stop(self) -> None:
        """Kill the process if it still runs."""
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await self.wait()

    def _get_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise RuntimeError('the daemon process has not been started')
        return self._process

    async def _read_log(self) -> None:
        stream = self._get_process().stderr
        if stream is None:
            return
        async for line in stream:
            text = line.decode().rstrip()
            self.lines.append(text)
            for listener in self.line_listeners:
                listener(text)
            if STARTED_MESSAGE in text:
                started = json.loads(text)
                self.address = started['address']
                self.peers = started['peers']
                self._started.set()
