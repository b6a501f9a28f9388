"""Watchers: the few daemons that look for work without an owner."""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import MemberView

WATCHER_COUNT = 3


def is_watcher(members: MemberView, work: str) -> bool:
    """Return whether this daemon is one of the watchers.

    Rendezvous hashing over the live daemons: each daemon determines the
    same few watchers without communication, so that the number of reads
    does not grow with the number of daemons. While their views of the
    members differ, a few more daemons watch, which is harmless.

    :param work: name of the watched work; each has its own watchers.
    """
    live = [
        member.incarnation
        for member in members.list_live()
        if not member.leaving
    ]
    watchers = heapq.nlargest(
        WATCHER_COUNT, live, key=lambda incarnation: _rank(work, incarnation)
    )
    return members.own.incarnation in watchers


def _rank(work: str, incarnation: str) -> bytes:
    return hashlib.sha256(f'{work}/{incarnation}'.encode()).digest()
