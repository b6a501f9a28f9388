"""Tests of ``quetzalctl key`` and ``quetzalctl apply``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from quetzalcourse.__main__ import main
from quetzalcourse.application import Application
from quetzalcourse.coordination.manifest.keys import hash_secret
from quetzalcourse.standins.deployment import Deployment, build_settings
from quetzalcourse.tests.command_output import read_document

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

OPERATOR = 'an operator key'
DIGEST = hash_secret('new-secret')
MANIFEST = """
[client_accounts.readers]
weight = 2.0

[upstreams.catalogue]
kind = "service"
data_centre = "lac-hall"
address = "127.0.0.1:9"
"""


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Start simulated services and a daemon with an operator key."""
    running = Deployment(engine_count=1)
    await running.daemon.on_stop()
    running.daemon = Application(
        build_settings(
            running.platform.address,
            operators={'key_hashes': [hash_secret(OPERATOR)]},
        )
    )
    await running.on_start()
    yield running
    await running.on_stop()


class Operator:
    """Runs commands against a deployment.

    :param folder: folder for the operator's files.
    """

    def __init__(self, deployment: Deployment, folder: Path) -> None:
        """Write the file with the operator key."""
        secret = folder / 'operator.key'
        secret.write_text(f'{OPERATOR}\n')
        self._platform = ['--platform', deployment.platform.address]
        self._daemon = [
            '--daemon',
            deployment.daemon.address,
            '--operator-key-file',
            str(secret),
        ]

    async def run(self, *words: str, daemon: bool = False) -> int:
        """Run a command in a thread, as it starts its own event loop.

        :param daemon: whether to give a daemon besides the platform.
        :returns: exit code of the command.
        """
        target = [*self._platform, *(self._daemon if daemon else [])]
        return await asyncio.to_thread(main, [*words, *target])


@pytest.mark.parametrize('cut', [False, True])
async def test_key_is_granted_listed_and_withdrawn(
    deployment: Deployment,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    cut: bool,
) -> None:
    # The same commands work through the table and, while the platform is
    # unreachable, through a daemon. A withdrawn id cannot be granted again.
    operator = Operator(deployment, tmp_path)
    deployment.platform.faults.down = cut
    grant = ('key', 'grant', 'new', '--account', 'readers', '--sha256', DIGEST)
    assert await operator.run(*grant, daemon=cut) == 0
    assert await operator.run('key', 'withdraw', 'new', daemon=cut) == 0
    assert await operator.run(*grant, daemon=cut) == 1
    capsys.readouterr()
    assert await operator.run('key', 'list', '--json', daemon=cut) == 0
    assert read_document(capsys) == [
        {'key_id': 'new', 'client_account': 'readers', 'state': 'withdrawn'}
    ]
    deployment.platform.faults.down = False


@pytest.mark.parametrize(
    'words',
    [
        ('grant', 'a.b', '--account', 'readers', '--sha256', DIGEST),
        ('grant', 'new', '--account', 'readers', '--sha256', 'abc'),
        ('grant', 'new', '--account', '', '--sha256', DIGEST),
        ('withdraw', 'a b'),
    ],
)
async def test_invalid_key_change_is_not_stored(
    deployment: Deployment,
    tmp_path: Path,
    words: tuple[str, ...],
) -> None:
    # A typing error must not create a row that no daemon can use.
    operator = Operator(deployment, tmp_path)
    assert await operator.run('key', *words) == 1
    assert 'heads/keys' not in deployment.platform.table.rows


async def test_unreachable_platform_is_reported(
    deployment: Deployment,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Without a daemon as fallback, the operator must learn that nothing has
    # changed.
    deployment.platform.faults.down = True
    operator = Operator(deployment, tmp_path)
    assert await operator.run('key', 'withdraw', 'new') == 1
    assert 'not_applied' in capsys.readouterr().err
    deployment.platform.faults.down = False


async def test_conflicting_apply_reports_the_version_in_force(
    deployment: Deployment,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Two operators replace version 1. The second one gets an error with
    # version 2, and the first may repeat a command whose response was lost.
    operator = Operator(deployment, tmp_path)
    first = tmp_path / 'first.toml'
    first.write_text(MANIFEST)
    second = tmp_path / 'second.toml'
    second.write_text(MANIFEST.replace('2.0', '3.0'))
    replaces = ('--replaces', '1')
    assert await operator.run('apply', str(first), *replaces) == 0
    assert await operator.run('apply', str(second), *replaces) == 1
    assert 'version 2 is in force' in capsys.readouterr().err
    assert await operator.run('apply', str(first), *replaces) == 0
    assert 'version 2 is accepted' in capsys.readouterr().out


async def test_invalid_manifest_is_rejected_completely(
    deployment: Deployment,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # A generated manifest has three errors. All are reported at once, and
    # even its valid sections must not come into force.
    operator = Operator(deployment, tmp_path)
    faulty = tmp_path / 'faulty.toml'
    faulty.write_text(
        MANIFEST.replace('2.0', '-1.0')
        + 'slots = 0\ncolour = "red"\n[client_accounts.new]\n'
    )
    before = deployment.daemon.manifest.current
    assert await operator.run('apply', str(faulty), '--replaces', '1') == 1
    error_output = capsys.readouterr().err
    for key in ('readers.weight', 'catalogue.slots', 'catalogue.colour'):
        assert key in error_output
    (await deployment.daemon.manifest.refresh()).unwrap()
    assert deployment.daemon.manifest.current == before
