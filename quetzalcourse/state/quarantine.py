"""What is known of requests that end the upstreams which run them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta

# Name of an upstream and the start of its run.
UpstreamRun = tuple[str, int]


class RequestState(enum.StrEnum):
    """How a request may be run, as a circuit breaker for each request.

    ``suspect`` runs at an upstream that runs no other suspect, so that the next
    end shows which request it was. ``held`` waits until it is known whether
    the upstreams have ended. ``due`` is a quarantined request whose next trial
    may begin.
    """

    sound = 'sound'
    suspect = 'suspect'
    held = 'held'
    quarantined = 'quarantined'
    due = 'due'


@dataclass(slots=True)
class UpstreamCrash:
    """A run of an upstream that seems to have ended.

    :param at: time since boot at which this daemon learned of it.
    :param address: where the upstream listened.
    :param confirmed: whether another run has taken its place.
    """

    at: timedelta
    address: str
    confirmed: bool = False


@dataclass(slots=True)
class RequestRecord:
    """Upstreams that ended under a request since it was last answered.

    :param crashes: by the runs that ended while they ran it.
    :param changed_at: time since boot of the last end or of the quarantine.
    :param quarantined_until: time since boot until which nothing runs it,
        ``None`` if it is not quarantined.
    :param trials: trials that were begun since it was quarantined.
    """

    crashes: dict[UpstreamRun, UpstreamCrash] = field(default_factory=dict)
    changed_at: timedelta = timedelta(0)
    quarantined_until: timedelta | None = None
    trials: int = 0
