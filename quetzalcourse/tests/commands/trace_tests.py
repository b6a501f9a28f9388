"""Tests of ``quetzalctl trace`` and the operations page's examples."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from quetzalcourse.__main__ import main

EXTRACTS = sorted((Path(__file__).parent / 'extracts').glob('*.log'))
ROOT = Path(__file__).parents[3]
PAGE = ROOT / 'docs' / 'OPERATIONS.md'
SHOWN = re.compile(r'^    (\d\d:\d\d:\d\d\.\d+ .*)$', re.MULTILINE)
EVENT = re.compile(r'`([A-Z][^`]*\.)`')


def trace(
    subject: str, files: list[Path], capsys: pytest.CaptureFixture
) -> str:
    """Run the command for an id and return its output."""
    main(['trace', subject, *map(str, files)])
    return capsys.readouterr().out


@pytest.mark.parametrize(
    'subject', ['885260b6662de4bd', 'fb1c09a70bcde56d', '72159ae3e6cd9dc7']
)
def test_page_shows_what_the_command_prints(
    subject: str,
    capsys: pytest.CaptureFixture,
) -> None:
    # An event or field is renamed but not on the page. The engineer on call
    # would then search for lines that are never written.
    printed = trace(subject, EXTRACTS, capsys).splitlines()
    page = PAGE.read_text()
    shown = [line for line in SHOWN.findall(page) if subject in line]
    assert shown
    assert set(shown) <= set(printed)
    assert printed == sorted(printed)


def test_trace_of_a_batch_covers_all_its_owners(
    capsys: pytest.CaptureFixture,
) -> None:
    """The lines of both owners of the batch are in order."""
    output = trace('72159ae3e6cd9dc7', EXTRACTS, capsys)
    accepted = output.index('Batch is accepted.')
    taken_over = output.index('Batch is taken over.')
    assert accepted < taken_over
    assert {'front-medina-hall-2', 'front-lac-hall-3'} <= set(output.split())


def test_interleaved_and_truncated_lines_are_parsed(
    tmp_path: Path,
    capsys: pytest.CaptureFixture,
) -> None:
    # The log collector mixes daemons in one file, prefixes each line and was
    # killed in the middle of one. Readable lines are shown, and the gap is
    # reported.
    mixed = tmp_path / 'all.log'
    lines = [
        f' 12.5 {path.stem} {line}'
        for path in EXTRACTS
        for line in path.read_text().splitlines()
    ]
    mixed.write_text('\n'.join([*lines, lines[0][:80], 'Traceback']))
    assert main(['trace', '72159ae3e6cd9dc7', str(mixed)]) == 0
    output = capsys.readouterr()
    assert 'Batch is taken over.' in output.out
    assert '1 lines could not be read' in output.err


def test_unknown_id_fails(capsys: pytest.CaptureFixture) -> None:
    """Nothing is printed, and the exit code is 1."""
    assert main(['trace', 'nothing', *map(str, EXTRACTS)]) == 1
    assert not capsys.readouterr().out


def test_documented_events_exist() -> None:
    # Guards against events on the page that no code logs any more.
    table = (
        PAGE.read_text().partition('## Events')[2].partition('## Metrics')[0]
    )
    events = EVENT.findall(table)
    sources = '\n'.join(
        path.read_text()
        for path in (ROOT / 'quetzalcourse').rglob('*.py')
        if 'tests' not in path.parts
    )
    assert len(events) > 20
    assert [event for event in events if event not in sources] == []


def test_rejection_of_a_waiting_request_is_shown(
    tmp_path: Path,
    capsys: pytest.CaptureFixture,
) -> None:
    """Guards against a rejection whose reason the trace leaves out."""
    path = tmp_path / 'daemon.log'
    path.write_text(
        '{"part": "admission", "request_id": "r-9", "reason": "late", '
        '"waiting": 41, "drain_seconds": 2.3, "late_by_seconds": 0.8, '
        '"event": "Request rejected.", "level": "info", "vm": "front-1", '
        '"timestamp": "2026-01-01T00:00:01.5Z"}\n'
    )
    assert trace('r-9', [path], capsys) == (
        '00:00:01.5 front-1 admission: Request rejected. request_id=r-9 '
        'reason=late waiting=41 drain_seconds=2.3 late_by_seconds=0.8\n'
    )
