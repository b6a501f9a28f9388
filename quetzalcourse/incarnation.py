"""Identifiers of the runs of a daemon."""

from __future__ import annotations

import os

INCARNATION_SUFFIX_BYTES = 4


def generate_incarnation(vm: str) -> str:
    """Generate a unique id for one run of a daemon."""
    return f'{vm}-{os.urandom(INCARNATION_SUFFIX_BYTES).hex()}'


def read_vm(incarnation: str) -> str:
    """Extract the VM from the id of a run."""
    return incarnation.rpartition('-')[0]
