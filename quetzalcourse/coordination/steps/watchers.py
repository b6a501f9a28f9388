"""Watchers: the few daemons that look for work which nobody does."""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.coordination.ports import MemberView

WATCHER_COUNT = 3


def is_watcher(members: MemberView, work: str) -> bool:
    """Tell whether this daemon is one of those that watch.

    Rendezvous hashing over the live daemons: each finds the same few
    without asking, so that the reads do not grow with the daemons. While
    their views differ, a few more watch, which does no harm.

    :param work: name of what is watched; each has its own watchers.
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
