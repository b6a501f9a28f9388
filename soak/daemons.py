"""Daemons as processes that the soak started, and their ends."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

from quetzalcourse.platform.settings import FILE_VARIABLE
from quetzalcourse.standins.rollout.documents import build_settings
from soak.clocked_daemon import CALENDAR_VARIABLE

if TYPE_CHECKING:
    from pathlib import Path

RESTART_SECONDS = 0.3


class SoakDaemon:
    """One daemon, started again whenever its process ends.

    :param folder: where its settings and its logs go.
    """

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        """Keep the settings."""
        self.name = settings['node_name']
        self.address = settings['listen']['front']
        self.starts = 0
        self.unexpected: list[int] = []
        self.calendar_error: float = 0
        self._folder = folder
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None
        self._expected = False
        self._frozen = False

    async def start(self) -> None:
        """Start the process and keep it running."""
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(self._settings))
        self._keeper = asyncio.ensure_future(self._keep(path))

    async def stop(self) -> None:
        """End the process for good."""
        if self._keeper is not None:
            self._keeper.cancel()
        self.thaw()
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    def kill(self) -> None:
        """Kill the process, as a loss of power would."""
        self._send(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to stop."""
        self._send(signal.SIGTERM)

    def freeze(self) -> None:
        """Pause the process."""
        self._frozen = True
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a paused process go on."""
        if self._frozen:
            self._frozen = False
            self._signal(signal.SIGCONT)

    def move_calendar(self, seconds: float) -> None:
        """Put the process's calendar off by some seconds."""
        self.calendar_error = seconds
        (self._folder / f'{self.name}.calendar').write_text(str(seconds))

    def _send(self, number: signal.Signals) -> None:
        self._expected = True
        self.thaw()
        self._signal(number)

    def _signal(self, number: signal.Signals) -> None:
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def _keep(self, path: Path) -> None:
        environment = os.environ | {
            FILE_VARIABLE: str(path),
            CALENDAR_VARIABLE: str(path.with_suffix('.calendar')),
        }
        while True:
            self.starts += 1
            self._expected = False
            log = self._folder / f'{self.name}.{self.starts}.log'
            with log.open('wb') as output:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'soak.clocked_daemon',
                    env=environment,
                    stdout=output,
                    stderr=asyncio.subprocess.STDOUT,
                )
                code = await self._process.wait()
            if not self._expected:
                self.unexpected.append(code)
            await asyncio.sleep(RESTART_SECONDS)


def build_daemon(folder: Path, name: str, store: str, cloud: str) -> SoakDaemon:
    """Build a daemon on free ports."""
    return SoakDaemon(folder, build_settings(name, store, cloud))
