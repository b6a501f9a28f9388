"""How often a daemon tells that it lives, and when its silence is its end.

The load that this answers: hundreds of daemons share one store, so each of
them may write only every few seconds, and reads what the others wrote only
every second or two. A daemon that runs batches and dies leaves a step of
seconds standing still until that is noticed. So the few that run batches
heartbeat as often as in a small deployment, whatever the number of the others,
and each row says how soon the next one follows.
"""

from __future__ import annotations

from datetime import timedelta

# Shortest interval, and that of daemons that run batches.
HEARTBEAT_INTERVAL = timedelta(seconds=0.5)
# Rate of all daemons without batches together.
HEARTBEATS_PER_SECOND = 80
# Missed heartbeats, and the time of a slow write, after which a daemon counts
# as gone.
MAX_MISSED_HEARTBEATS = 2
WRITE_LATENCY_MARGIN = timedelta(seconds=0.4)


def choose_heartbeat_interval(daemons: int, *, urgent: bool) -> timedelta:
    """Tell how soon a daemon heartbeats again.

    :param daemons: how many share the store.
    :param urgent: whether work stands still if this one dies.
    """
    if urgent:
        return HEARTBEAT_INTERVAL
    return max(
        HEARTBEAT_INTERVAL, timedelta(seconds=daemons / HEARTBEATS_PER_SECOND)
    )


def find_liveness_timeout(
    interval: timedelta, read_interval: timedelta
) -> timedelta:
    """Tell after which silence a daemon counts as gone.

    :param interval: how soon it promised its next heartbeat.
    :param read_interval: time between two reads of its row; a heartbeat may
        stand in the store for as long without being seen.
    """
    return (
        max(interval * MAX_MISSED_HEARTBEATS, interval + read_interval)
        + WRITE_LATENCY_MARGIN
    )
