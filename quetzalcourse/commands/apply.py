"""``quetzalctl apply``: put a manifest in force."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import TYPE_CHECKING, Any

from result import Err

from quetzalcourse.commands.output import write_json, write_line
from quetzalcourse.commands.platform import add_platform_option, open_platform
from quetzalcourse.coordination.manifest.manifest_store import (
    ManifestConflict,
    ManifestStore,
)
from quetzalcourse.exceptions import AbortError
from quetzalcourse.loop import run_loop
from quetzalcourse.settings.manifest import load_manifest

if TYPE_CHECKING:
    from quetzalcourse.state.manifest import Manifest


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser('apply', help='put a manifest in force')
    parser.add_argument('manifest', type=Path, metavar='FILE')
    parser.add_argument(
        '--replaces',
        type=int,
        required=True,
        metavar='VERSION',
        help='version that the manifest replaces, 0 for none',
    )
    parser.add_argument('--json', action='store_true')
    add_platform_option(parser)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Apply a manifest file.

    :raises AbortError: with all errors of the file, or with the version in
        force if it is not the expected one.
    """
    loaded = load_manifest(options.manifest)
    if isinstance(loaded, Err):
        raise AbortError('\n'.join(str(fault) for fault in loaded.err_value))
    return run_loop(_apply(options, loaded.ok_value))


async def _apply(options: argparse.Namespace, manifest: Manifest) -> int:
    async with open_platform(options.platform) as platform:
        store = ManifestStore(platform, platform)
        answer = await store.accept(manifest, options.replaces)
    if isinstance(answer, Err):
        problem = answer.err_value
        if isinstance(problem, ManifestConflict):
            raise AbortError(
                f'version {problem.winner} is in force, '
                f'not {options.replaces}; nothing was changed'
            )
        raise AbortError(
            f'{problem.step} at {problem.peer}: {problem.kind.value}'
        )
    if options.json:
        write_json({'version': answer.ok_value})
    else:
        write_line(f'version {answer.ok_value} is accepted')
    return 0
