"""Intervals of the heartbeat rows, and the timeout without them.

Hundreds of daemons share one store, so each may write only every few seconds
and read the others' rows only every second or two. When a daemon that runs
batches dies, their steps stall until its death is noticed. Those few daemons
therefore heartbeat as often as in a small deployment, however many others
there are, and each row states when the next heartbeat follows.
"""

from __future__ import annotations

from datetime import timedelta

# Shortest interval, and the one of daemons that run batches.
HEARTBEAT_INTERVAL = timedelta(seconds=0.5)
# Total rate of all daemons that run no batches.
HEARTBEATS_PER_SECOND = 80
# A daemon counts as dead after this many missed heartbeats plus the time that
# a slow write may take.
MAX_MISSED_HEARTBEATS = 2
WRITE_LATENCY_MARGIN = timedelta(seconds=0.4)


def choose_heartbeat_interval(daemons: int, *, urgent: bool) -> timedelta:
    """Choose the time until a daemon's next heartbeat.

    :param daemons: number of daemons that share the store.
    :param urgent: whether work stalls if this daemon dies.
    """
    if urgent:
        return HEARTBEAT_INTERVAL
    return max(
        HEARTBEAT_INTERVAL, timedelta(seconds=daemons / HEARTBEATS_PER_SECOND)
    )


def find_liveness_timeout(
    interval: timedelta, read_interval: timedelta
) -> timedelta:
    """Find the time without a heartbeat after which a daemon counts as dead.

    :param interval: time to the next heartbeat, as stated in its row.
    :param read_interval: time between two reads of its row; a heartbeat may be
        in the store for that long before it is read.
    """
    return (
        max(interval * MAX_MISSED_HEARTBEATS, interval + read_interval)
        + WRITE_LATENCY_MARGIN
    )
