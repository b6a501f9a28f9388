"""Names of the runs of a daemon."""

from __future__ import annotations

import os

INCARNATION_SUFFIX_BYTES = 4


def generate_incarnation(vm: str) -> str:
    """Name one run of a daemon, different from every run before."""
    return f'{vm}-{os.urandom(INCARNATION_SUFFIX_BYTES).hex()}'


def read_vm(incarnation: str) -> str:
    """Tell the VM that a run was on."""
    return incarnation.rpartition('-')[0]
