"""Tests of what a daemon on a platform loads when it starts."""

from __future__ import annotations

import json
import os
import re
import subprocess  # noqa: S404
import sys
import tomllib
from importlib.metadata import distribution
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
OWN = 'quetzalcourse'
# Packages that the interpreter finds without PYTHONPATH.
OUTSIDE = 'site-packages'
# Performs the imports of a start up to the point of serving.
PROGRAM = """
import json, ssl, sys
from quetzalcourse import daemon
daemon.disable_certificate_loading()
import quetzalcourse.platform.deployment, quetzalcourse.rollout_application
print(json.dumps({
    'files': {
        name: str(getattr(module, '__file__', None))
        for name, module in sys.modules.items()
    },
    'authorities': ssl.create_default_context().cert_store_stats()['x509_ca'],
}))
"""


def list_requirements() -> list[str]:
    """List the required packages of a daemon."""
    text = (ROOT / 'requirements.txt').read_text()
    return re.findall('^([A-Za-z0-9_.-]+)==', text, re.MULTILINE)


def list_files(package: str) -> set[Path]:
    """List the top-level files and folders of a package."""
    found = distribution(package)
    return {
        Path(str(found.locate_file(file.parts[0])))
        for file in found.files or ()
        if file.parts[0] != '..'
    }


def read_options() -> list[str]:
    """Read the interpreter options from the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    words = deploy['roles']['quetzalcoursed']['run'].split()
    return words[1 : words.index('-m')]


@pytest.fixture
def installed(tmp_path: Path) -> Path:
    """Lay the packages of a daemon out as its build does."""
    for package in list_requirements():
        for file in list_files(package):
            (tmp_path / file.name).symlink_to(file)
    (tmp_path / OWN).symlink_to(ROOT / OWN)
    return tmp_path


def test_start_loads_only_what_is_installed_for_it(installed: Path) -> None:
    # Development tools, or packages of other programs, are on the VM, and
    # libraries import optional ones if present, as the log library does for
    # console colours. Restarts take longer, and daemons use more memory.
    started = subprocess.run(  # noqa: S603
        [sys.executable, *read_options(), '-c', PROGRAM],
        env={'PATH': os.defpath, 'PYTHONPATH': str(installed)},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = json.loads(started.stdout)
    found_outside = {
        name for name, file in loaded['files'].items() if OUTSIDE in file
    }
    assert not found_outside
    # Models of the TOML settings are not needed on a platform.
    assert 'pydantic' not in loaded['files']
    assert loaded['authorities'] == 0
