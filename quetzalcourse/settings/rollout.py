"""Settings of a daemon on a platform, independent of the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class ListenAddresses:
    """Listen addresses of the daemon, each an IP address and a port.

    :param callers: address for callers.
    :param readiness: address of the load balancer's readiness probe.
    :param peers: address for messages of the other daemons.
    :param metrics: address from which metrics are scraped.
    """

    callers: str
    readiness: str
    peers: str
    metrics: str


@dataclass(frozen=True, slots=True)
class ServiceTimings:
    """Times that operators and the platform require of the daemons.

    :param stop_deadline: time from the stop signal until the platform kills
        the process.
    :param min_lease_hold: time within which the lease of a duty must not
        change holders twice.
    :param usage_window: length of a usage window.
    :param usage_report_delay: age of an ended window at which its report is
        due.
    :param batch_retention: age of a batch until which its results are read.
    :param propagation_delay: time after which a change at one daemon is
        known to all of them.
    """

    stop_deadline: timedelta
    min_lease_hold: timedelta
    usage_window: timedelta
    usage_report_delay: timedelta
    batch_retention: timedelta
    propagation_delay: timedelta


@dataclass(frozen=True, slots=True)
class ColdStartTolerance:
    """Tolerance by which a cold upstream's rate limit may be exceeded.

    :param overage: factor on the rate limit.
    :param slack: additional requests in any second.
    """

    overage: float = 1
    slack: int = 0


@dataclass(frozen=True, slots=True)
class LoadControl:
    """Behaviour under load that operators switch on, part by part.

    :param queueing: requests wait at their daemon for a free slot, and those
        that would start too late are rejected at once.
    :param shared_slots: daemons agree on who uses the slots of an upstream
        that is full.
    :param step_triage: groups that can be complete in time are run before
        those that can't.
    :param carried_texts: texts of an ended batch are used for the same items
        of a later one.
    :param measured_pace: upstreams are ranked by the time that work takes
        there now, where they report it.
    :param scaling: upstreams are ordered when the items of open batches need
        more of them, in a deployment with that duty.
    """

    queueing: bool = False
    shared_slots: bool = False
    step_triage: bool = False
    carried_texts: bool = False
    measured_pace: bool = False
    scaling: bool = False


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """All settings of a daemon on a platform.

    :param vm: name of the VM.
    :param duties: duties that this deployment has.
    :param peer_secret: signs messages between daemons.
    :param cores: CPU capacity of the VM, in cores.
    :param regions: region of each data centre.
    :param cold_start: tolerance on the rate limits of cold upstreams.
    :param load_control: behaviour under load.
    """

    vm: str
    data_centre: str
    listen: ListenAddresses
    timings: ServiceTimings
    duties: frozenset[str]
    peer_secret: bytes
    cores: float = 1
    regions: Mapping[str, str] = field(default_factory=dict)
    cold_start: ColdStartTolerance = ColdStartTolerance()
    load_control: LoadControl = LoadControl()
