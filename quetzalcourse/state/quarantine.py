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
    end shows which request it was. ``due`` is a quarantined request whose next
    trial may begin.
    """

    sound = 'sound'
    suspect = 'suspect'
    quarantined = 'quarantined'
    due = 'due'


@dataclass(slots=True)
class RequestRecord:
    """Upstreams that ended under a request since it was last answered.

    :param runs: runs of upstreams that ended while they ran it.
    :param changed_at: time since boot of the last end or of the quarantine.
    :param quarantined_until: time since boot until which nothing runs it,
        ``None`` if it is not quarantined.
    :param trials: trials that were begun since it was quarantined.
    """

    runs: set[UpstreamRun] = field(default_factory=set)
    changed_at: timedelta = timedelta(0)
    quarantined_until: timedelta | None = None
    trials: int = 0
