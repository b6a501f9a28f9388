"""Start, signal and restart the daemon processes of the soak test."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from quetzalcourse.platform.settings import FILE_VARIABLE
from quetzalcourse.standins.rollout.documents import build_settings
from soak.clocked_daemon import CLOCK_OFFSET_FILE_VARIABLE

if TYPE_CHECKING:
    from pathlib import Path

RESTART_DELAY_SECONDS = 0.3


@dataclass(slots=True)
class Interruption:
    """Time in which a daemon was stopped or paused.

    :param began: seconds since the epoch.
    :param ended: seconds since the epoch.
    """

    began: float
    ended: float


class SoakDaemon:
    """A daemon that is restarted whenever its process exits.

    :param folder: directory for its settings and logs.
    """

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        """Initialize from the settings without starting a process."""
        self.name = settings['node_name']
        self.address = settings['listen']['front']
        self.metrics_address = f'{settings["ip"]}:{settings["metrics_port"]}'
        self.starts = 0
        self.unexpected_exits: list[int] = []
        self.clock_offset: float = 0
        self.interruptions: list[Interruption] = []
        self._folder = folder
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None
        self._supervisor: asyncio.Task[None] | None = None
        self._exit_expected = False
        self._paused = False

    async def start(self) -> None:
        """Start the process and restart it after each exit."""
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(self._settings))
        self._supervisor = asyncio.ensure_future(self._supervise(path))

    async def stop(self) -> None:
        """Stop restarting and kill the process."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        self.resume()
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    def kill(self) -> None:
        """Kill the process with SIGKILL, as after a power failure."""
        self._send_expected_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Stop the process gracefully with SIGTERM."""
        self._send_expected_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self._paused = True
        self._record_interruption()
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        if self._paused:
            self._paused = False
            self.interruptions[-1].ended = time.time()
            self._send_signal(signal.SIGCONT)

    def shift_clock(self, seconds: float) -> None:
        """Set the offset of the process's wall clock in seconds."""
        self.clock_offset = seconds
        (self._folder / f'{self.name}.calendar').write_text(str(seconds))

    def _send_expected_signal(self, signal_number: signal.Signals) -> None:
        self._exit_expected = True
        self.resume()
        self._record_interruption()
        self._send_signal(signal_number)

    def _record_interruption(self) -> None:
        now = time.time()
        self.interruptions.append(Interruption(now, now))

    def _send_signal(self, signal_number: signal.Signals) -> None:
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

    async def _supervise(self, path: Path) -> None:
        environment = os.environ | {
            FILE_VARIABLE: str(path),
            CLOCK_OFFSET_FILE_VARIABLE: str(path.with_suffix('.calendar')),
        }
        while True:
            self.starts += 1
            self._exit_expected = False
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
                exit_code = await self._process.wait()
            if not self._exit_expected:
                self.unexpected_exits.append(exit_code)
            await asyncio.sleep(RESTART_DELAY_SECONDS)


def build_daemon(
    folder: Path,
    name: str,
    store: str,
    cloud: str,
    *,
    load_control: bool = False,
) -> SoakDaemon:
    """Build a daemon that listens on free ports.

    :param load_control: whether all parts of the load control are on that
        need no orders for upstreams.
    """
    settings = build_settings(name, store, cloud)
    if load_control:
        settings['load_control'] = {
            'queueing': True,
            'shared_slots': True,
            'step_triage': True,
            'carried_texts': True,
            'measured_pace': True,
        }
    return SoakDaemon(folder, settings)
