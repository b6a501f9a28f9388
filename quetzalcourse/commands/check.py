"""``quetzalctl check``: validate settings and manifest."""

from __future__ import annotations

import argparse
from dataclasses import asdict
from pathlib import Path
from typing import Any

from result import Err

from quetzalcourse.commands.output import write_json, write_line
from quetzalcourse.platform.settings import load_file
from quetzalcourse.settings.faults import SettingFault
from quetzalcourse.settings.manifest import load_manifest
from quetzalcourse.settings.process import load_settings


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser('check', help='check settings and manifest')
    parser.add_argument('--settings', type=Path, metavar='FILE')
    parser.add_argument('--manifest', type=Path, metavar='FILE')
    parser.add_argument(
        '--platform-settings',
        type=Path,
        metavar='FILE',
        help='settings file that the platform writes',
    )
    parser.add_argument('--json', action='store_true')
    parser.set_defaults(run=run, parser=parser)


def run(options: argparse.Namespace) -> int:
    """Validate the given files.

    :returns: exit code, 0 if all are valid.
    """
    named = (options.settings, options.manifest, options.platform_settings)
    if not any(named):
        options.parser.error('give at least one file to check')
    faults: list[SettingFault] = []
    if options.settings is not None:
        faults.extend(_list_faults(load_settings(options.settings)))
    if options.manifest is not None:
        faults.extend(_list_faults(load_manifest(options.manifest)))
    if options.platform_settings is not None:
        faults.extend(_list_platform_faults(options.platform_settings))
    if options.json:
        write_json({'faults': [asdict(fault) for fault in faults]})
    else:
        for fault in faults:
            write_line(str(fault))
        write_line(f'{len(faults)} faults')
    return 1 if faults else 0


def _list_faults(loaded: Any) -> list[SettingFault]:
    return loaded.err_value if isinstance(loaded, Err) else []


def _list_platform_faults(path: Path) -> list[SettingFault]:
    loaded = load_file(path)
    if isinstance(loaded, Err):
        return [SettingFault(str(path), '', loaded.err_value)]
    return []
