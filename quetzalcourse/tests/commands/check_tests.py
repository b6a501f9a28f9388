"""Tests of ``quetzalctl check``: all errors with file, key and reason."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from quetzalcourse.__main__ import main

if TYPE_CHECKING:
    from pathlib import Path

GOOD = """
[client_accounts.readers]
[trainers.drill]
client_account = "readers"
model = "verse"
[upstreams.engine-1]
kind = "engine"
data_centre = "lac-hall"
address = "10.0.0.1:9000"
models = ["verse"]
[services.catalogue]
upstreams = ["engine-1"]
"""
UPSTREAM = '[upstreams.a]\nkind = "engine"\ndata_centre = "x"\n'
WINDOW = '[[maintenance]]\nupstream = "engine-1"\n'


def check(folder: Path, text: str) -> int:
    """Run the command on the text of a manifest."""
    path = folder / 'manifest.toml'
    path.write_text(text)
    return main(['check', '--manifest', str(path), '--json'])


def test_valid_manifest_has_no_error(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert check(tmp_path, GOOD) == 0
    assert json.loads(capsys.readouterr().out) == {'faults': []}


@pytest.mark.parametrize(
    ('text', 'keys'),
    [
        ('colour = 1', ['colour']),
        ('[client_accounts.a]\nweight = 0', ['client_accounts.a.weight']),
        (
            '[keys.k]\nclient_account = "nobody"\nsha256 = "0"',
            ['keys.k.sha256'],
        ),
        (
            f'[keys.k]\nclient_account = "no"\nsha256 = "{"0" * 64}"',
            ['keys.k.client_account'],
        ),
        (
            f'{UPSTREAM}address = "engine.example:80"\nmodels = ["m"]',
            ['upstreams.a.address'],
        ),
        (f'{UPSTREAM}address = "10.0.0.1:80"', ['upstreams.a']),
        (
            f'{UPSTREAM}address = "10.0.0.1:80"\nmodels = ["m"]\n'
            'slots = 4\nhuman_headroom = 4',
            ['upstreams.a'],
        ),
        (
            GOOD + '[services.other]\nupstreams = ["none"]',
            ['services.other.upstreams'],
        ),
        (
            GOOD + WINDOW + 'starts = 2026-01-02T00:00:00Z\n'
            'ends = 2026-01-01T00:00:00Z',
            ['maintenance.0'],
        ),
        (
            GOOD + WINDOW + 'starts = 2026-01-01T00:00:00\n'
            'ends = 2026-01-02T00:00:00',
            ['maintenance.0'],
        ),
        (
            '[service_levels.s]\nindicator = "speed"\nobjective = 1.5',
            ['service_levels.s.indicator', 'service_levels.s.objective'],
        ),
        ('not toml', ['']),
    ],
)
def test_every_error_is_reported_with_its_key(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    text: str,
    keys: list[str],
) -> None:
    # A build pipeline generates an invalid manifest. If accepted, it would
    # remove keys or upstreams. Errors reported one at a time would each cost
    # a run of the pipeline.
    assert check(tmp_path, text) == 1
    faults = json.loads(capsys.readouterr().out)['faults']
    assert [fault['key'] for fault in faults] == keys
    assert all(fault['reason'] for fault in faults)
    assert all(fault['file'].endswith('.toml') for fault in faults)


def test_missing_file_is_reported(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(['check', '--manifest', str(tmp_path / 'none.toml')]) == 1
    assert 'No such file' in capsys.readouterr().out


@pytest.mark.parametrize('arguments', [[], ['check'], ['nothing']])
def test_wrong_usage_exits_with_two(arguments: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    assert ended.value.code == 2
