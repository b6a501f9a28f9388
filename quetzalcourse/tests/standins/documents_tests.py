"""Settings that the stand-ins build for daemons."""

from __future__ import annotations

import subprocess
import sys

import pytest

from quetzalcourse.standins.rollout import documents

PORT_RANGE = (15_000, 15_040)
# Outside of the range that other tests allocate from.
SHARED_PORT_RANGE = (14_000, 14_040)
SHARED_PORT_COUNT = 18
ALLOCATE_IN_OTHER_PROCESS = f"""
import sys
from quetzalcourse.standins.rollout import documents
documents.PORT_RANGE = {SHARED_PORT_RANGE}
print(*documents.allocate_ports({SHARED_PORT_COUNT}), flush=True)
sys.stdin.read()
"""


def test_ports_of_starting_daemons_are_not_reassigned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two daemons of a deployment that get the same port."""
    monkeypatch.setattr(documents, 'PORT_RANGE', PORT_RANGE)
    monkeypatch.setattr(documents, 'ALLOCATED_PORTS', set())
    ports = [port for _ in range(4) for port in documents.allocate_ports(4)]
    assert len(set(ports)) == len(ports)


def test_ports_are_not_assigned_by_two_processes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against tests that run side by side and share a port."""
    monkeypatch.setattr(documents, 'PORT_RANGE', SHARED_PORT_RANGE)
    with subprocess.Popen(
        [sys.executable, '-c', ALLOCATE_IN_OTHER_PROCESS],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        assert other.stdout is not None
        foreign = {int(port) for port in other.stdout.readline().split()}
        own = set(documents.allocate_ports(SHARED_PORT_COUNT))
        other.communicate()
    assert len(foreign) == SHARED_PORT_COUNT
    assert not own & foreign
