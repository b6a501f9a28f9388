"""Settings that the stand-ins build for daemons."""

from __future__ import annotations

import pytest

from quetzalcourse.standins.rollout import documents

PORT_RANGE = (15_000, 15_040)


def test_ports_of_starting_daemons_are_not_reassigned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two daemons of a deployment that get the same port."""
    monkeypatch.setattr(documents, 'PORT_RANGE', PORT_RANGE)
    monkeypatch.setattr(documents, 'ALLOCATED_PORTS', set())
    ports = [port for _ in range(4) for port in documents.allocate_ports(4)]
    assert len(set(ports)) == len(ports)
