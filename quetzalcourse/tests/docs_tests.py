"""Tests of the pages: links, commands, and generated content."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest

from bench.capacity_page import load_figures, render_table
from quetzalcourse.__main__ import build_parser
from quetzalcourse.settings.reference import PAGES, render_page

ROOT = Path(__file__).parents[2]
DOCS = ROOT / 'docs'
ALL_PAGES = sorted([ROOT / 'README.md', *DOCS.rglob('*.md')])
LINK = re.compile(r'\]\(([^)#\s]+)(?:#[^)]*)?\)')
TARGET = re.compile(r'(?:^    |`)make ([a-z]+)', re.MULTILINE)
COMMAND = re.compile(r'quetzalctl ([a-z]+(?: [a-z]+)?)')
PROOF = re.compile(r'`([a-z_]+_tests\.py)::(\w+)`')
BENCH = re.compile(r'make bench ONLY=([a-z_0-9]+)')


def name_page(page: Path) -> str:
    """Return the id of a page in test output."""
    return str(page.relative_to(ROOT))


def list_commands() -> set[str]:
    """List all subcommands, including nested ones."""
    commands = set()
    top: Any = build_parser()._subparsers
    for name, parser in top._group_actions[0].choices.items():
        commands.add(name)
        if parser._subparsers:
            for action in parser._subparsers._group_actions:
                commands.update(f'{name} {inner}' for inner in action.choices)
    return commands


@pytest.mark.parametrize('page', ALL_PAGES, ids=name_page)
def test_local_links_have_a_target(page: Path) -> None:
    # A page moves, and links on other pages lead nowhere.
    links = LINK.findall(page.read_text())
    local = [link for link in links if '://' not in link]
    missing = [link for link in local if not (page.parent / link).exists()]
    assert not missing


@pytest.mark.parametrize('page', ALL_PAGES, ids=name_page)
def test_commands_exist(page: Path) -> None:
    # A command is renamed but not on a page. Readers who copy it get a usage
    # error.
    text = page.read_text()
    makefile = (ROOT / 'Makefile').read_text()
    targets = set(TARGET.findall(text))
    unknown = {name for name in targets if f'\n{name}:' not in makefile}
    commands = list_commands()
    for words in COMMAND.findall(text):
        first = words.split()[0]
        nested = any(known.startswith(f'{first} ') for known in commands)
        if words not in commands and (nested or first not in commands):
            unknown.add(words)
    assert not unknown


@pytest.mark.parametrize('page', ALL_PAGES, ids=name_page)
def test_named_benches_exist(page: Path) -> None:
    # A figure on a page names the bench that measured it. Without the bench
    # nobody can verify the figure.
    named = set(BENCH.findall(page.read_text()))
    sources = [path for path in (ROOT / 'bench' / 'suites').glob('*.py')]
    known = {path.stem for path in sources}
    for source in sources:
        known.update(re.findall(r"'([a-z_0-9]+)'", source.read_text()))
    assert named <= known


def test_every_page_is_in_the_index() -> None:
    # Readers do not find a page that is missing from the index.
    index = (DOCS / 'index.md').read_text()
    named = {(DOCS / link).resolve() for link in LINK.findall(index)}
    pages = {page for page in DOCS.rglob('*.md') if page.name != 'index.md'}
    assert pages <= named


@pytest.mark.parametrize('name', PAGES)
def test_reference_is_current(name: str) -> None:
    # A key is added to a model and the page is not regenerated. Operators
    # would not learn of it.
    model, title = PAGES[name]
    page = DOCS / 'reference' / name
    assert page.read_text() == render_page(model, title)


def test_named_proofs_exist() -> None:
    # A test is renamed or removed, and the page still names it as proof of a
    # promise. Nobody would notice that the promise is no longer tested.
    page = (DOCS / 'developers' / 'promises.md').read_text()
    tests = {path.name: path for path in Path(__file__).parent.rglob('*.py')}
    named = PROOF.findall(page)
    missing = [
        f'{file}::{name}'
        for file, name in named
        if file not in tests or name not in tests[file].read_text()
    ]
    assert len(named) > 20
    assert not missing


def test_capacity_table_is_current() -> None:
    # Figures are measured again but not updated on the page, and capacity
    # would be planned with outdated ones.
    page = (DOCS / 'CAPACITY.md').read_text()
    assert render_table(load_figures()) in page
