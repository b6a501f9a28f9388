"""Entry point of ``quetzalcoursed``."""

from __future__ import annotations

import argparse
import asyncio
import faulthandler
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from result import Err

from quetzalcourse import __version__
from quetzalcourse.exceptions import AbortError
from quetzalcourse.library_log import capture_library_logs
from quetzalcourse.log import configure_log, get_log
from quetzalcourse.log_output import LogRateLimiter, NonBlockingOutput
from quetzalcourse.loop import run_loop
from quetzalcourse.platform.settings import find_file, load_file

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.transport.activity import Activity

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
STDERR_FILENO = 2
EXIT_REQUESTS_CUT = 1
# OpenSSL reads the locations of CA certificates from these.
CERTIFICATE_VARIABLES = ('SSL_CERT_FILE', 'SSL_CERT_DIR')
log = get_log('daemon')


def build_parser() -> argparse.ArgumentParser:
    """Build the command-line parser of the daemon."""
    parser = argparse.ArgumentParser(
        prog='quetzalcoursed',
        description='Serve trainers and human callers from shared engines.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE',
        help='settings in TOML; on a platform its own file is read instead',
    )
    parser.add_argument('--version', action='version', version=__version__)
    return parser


class StoppableApplication(Protocol):
    """Interface to an application: its lifecycle hooks."""

    activity: Activity

    async def on_start(self) -> None:
        """Start serving."""

    async def on_drain(self) -> None:
        """Hand over leases and work, and finish running requests."""

    async def on_stop(self) -> None:
        """Close everything that was opened."""


async def serve(application: StoppableApplication) -> int:
    """Run a daemon until it receives a stop signal.

    :returns: exit code, 0 if no request was cut off.
    """
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, signals.put_nowait, stop_signal)
    # The default action of SIGHUP ends the process and cuts off its callers.
    loop.add_signal_handler(signal.SIGHUP, log_reload_request)
    return await run_application(application, signals)


def log_reload_request() -> None:
    """Log that the settings file has changed.

    Settings are read only at the start; everything that may change while a
    daemon runs is in the manifest.
    """
    log.info('Reload signal received.', effect='at the next start')


async def run_application(
    application: StoppableApplication,
    signals: asyncio.Queue[signal.Signals],
) -> int:
    """Start an application, and stop it gracefully at the first signal.

    :param signals: stop signals received; a second one ends the drain.
    :returns: exit code, 0 if no request was cut off.
    """
    stop = asyncio.ensure_future(signals.get())
    starting = asyncio.ensure_future(application.on_start())
    if not await finish_before(starting, stop):
        log.info('Start interrupted by a signal.')
        await application.on_stop()
        return 0
    await stop
    draining = asyncio.ensure_future(application.on_drain())
    second_signal = asyncio.ensure_future(signals.get())
    if not await finish_before(draining, second_signal):
        log.warning('Drain interrupted by a signal.')
    second_signal.cancel()
    cut = application.activity.serving
    if cut:
        log.warning('Running requests were cut off.', cut=cut)
    await application.on_stop()
    return EXIT_REQUESTS_CUT if cut else 0


async def finish_before(
    work: asyncio.Future[None],
    interrupt: asyncio.Future[signal.Signals],
) -> bool:
    """Wait for work, and cancel it if an interrupt comes first.

    :returns: whether the work finished.
    """
    await asyncio.wait((work, interrupt), return_when=asyncio.FIRST_COMPLETED)
    if work.done():
        work.result()
        return True
    work.cancel()
    await asyncio.gather(work, return_exceptions=True)
    return False


async def serve_file(path: Path) -> int:
    """Run a daemon from a settings file in its own TOML format.

    :raises AbortError: if the settings are invalid.
    """
    # Imported here because a daemon on a platform does not need the models
    # of these settings, which take 8 MB.
    from quetzalcourse.application import Application  # noqa: PLC0415, WPS433
    from quetzalcourse.settings.process import (  # noqa: PLC0415, WPS433
        load_settings,
    )

    loaded = load_settings(path)
    if isinstance(loaded, Err):
        lines = '\n'.join(str(fault) for fault in loaded.err_value)
        raise AbortError(lines)
    settings = loaded.ok_value
    configure_log(settings.log.level, settings.log.format)
    return await serve(Application(settings))


def disable_certificate_loading() -> None:
    """Keep libraries from loading the CA certificates of the machine.

    On a platform all connections are plain HTTP, but aiohttp loads the
    certificates on import, which takes a large share of the restart time of
    a killed daemon.
    """
    for name in CERTIFICATE_VARIABLES:
        os.environ[name] = os.devnull


async def serve_platform(path: Path) -> int:
    """Run a daemon from the settings file of the platform.

    :raises AbortError: if the settings are invalid.
    """
    disable_certificate_loading()
    from quetzalcourse.platform.deployment import (  # noqa: PLC0415, WPS433
        PlatformDeployment,
    )
    from quetzalcourse.rollout_application import (  # noqa: PLC0415, WPS433
        RolloutApplication,
    )

    loaded = load_file(path)
    if isinstance(loaded, Err):
        raise AbortError(loaded.err_value)
    output = NonBlockingOutput(sys.stdout.fileno())
    limit = LogRateLimiter()
    configure_log('info', 'json', output, limit, loaded.ok_value.node_name)
    capture_library_logs()
    application = RolloutApplication(PlatformDeployment(loaded.ok_value))
    application.attach_log_output(output, limit)
    return await serve(application)


def start(arguments: Sequence[str] | None) -> int:
    """Read the settings and run the daemon.

    :raises AbortError: if there are no settings, or they are invalid.
    """
    options = build_parser().parse_args(arguments)
    if options.settings is not None:
        return run_loop(serve_file(options.settings))
    path = find_file()
    if path is None:
        raise AbortError('no settings file; pass one with --settings')
    return run_loop(serve_platform(path))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run ``quetzalcoursed``.

    :param arguments: command line; defaults to that of the process.
    """
    # A crash in a native library writes the Python stack to the log.
    faulthandler.enable(STDERR_FILENO)
    # The platform may send SIGHUP for changed settings while a daemon starts,
    # which takes a second on a busy VM. Until the event loop has its handler,
    # the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        return start(arguments)
    except AbortError as error:
        sys.stderr.write(f'quetzalcoursed: {error}\n')
        return error.exit_code


if __name__ == '__main__':
    raise SystemExit(main())
