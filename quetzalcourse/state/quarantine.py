"""Records of requests that crash the upstreams which run them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta

# Name of an upstream and the start of its run.
UpstreamRun = tuple[str, int]


class RequestState(enum.StrEnum):
    """State of a request's circuit breaker.

    A ``suspect`` request runs only at an upstream that runs no other suspect,
    so that the next crash identifies its cause. A ``held`` request waits until
    it is known whether the upstreams have crashed. A ``due`` request is
    quarantined, but its next trial may start.
    """

    sound = 'sound'
    suspect = 'suspect'
    held = 'held'
    quarantined = 'quarantined'
    due = 'due'


@dataclass(slots=True)
class UpstreamCrash:
    """Presumed crash of a run of an upstream.

    :param at: time since boot at which this daemon learned of it.
    :param address: address of the upstream.
    :param confirmed: whether a new run has taken its place.
    """

    at: timedelta
    address: str
    confirmed: bool = False


@dataclass(slots=True)
class RequestRecord:
    """Upstreams that crashed under a request since its last answer.

    :param crashes: crashes by the run of the upstream.
    :param changed_at: time since boot of the last crash or quarantine.
    :param quarantined_until: time since boot until which it may not run,
        ``None`` if it is not quarantined.
    :param trials: number of trials since it was quarantined.
    """

    crashes: dict[UpstreamRun, UpstreamCrash] = field(default_factory=dict)
    changed_at: timedelta = timedelta(0)
    quarantined_until: timedelta | None = None
    trials: int = 0
