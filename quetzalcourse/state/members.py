"""Members of the cluster of daemons, and the topics of their messages."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Member:
    """One run of a daemon.

    :param vm: id of the VM.
    :param incarnation: id of this run; a replaced VM has another one.
    :param address: IP address and port for messages between daemons.
    :param leaving: whether it has started its graceful shutdown.
    :param cores: processor cores of its VM.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    leaving: bool = False
    cores: float = 1


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM as listed by the platform.

    :param address: address for messages to its daemon.
    """

    vm: str
    data_centre: str
    address: str
    leaving: bool = False


class Topic(enum.StrEnum):
    """Topics of messages between daemons, each with one handler."""

    heartbeat = 'heartbeat'
    manifest = 'manifest'
    keys = 'keys'
    slots = 'slots'
    steps = 'steps'
    usage = 'usage'
    demand = 'demand'
    rows_asked = 'rows_asked'
    rows_told = 'rows_told'
    store_asked = 'store_asked'
    store_told = 'store_told'
    batch_offered = 'batch_offered'
    batch_told = 'batch_told'
    slots_told = 'slots_told'
    loads_told = 'loads_told'
    results_awaited = 'results_awaited'
    results_stand = 'results_stand'
    liveness_ping = 'liveness_ping'
    liveness_pong = 'liveness_pong'
    upstream_ends = 'upstream_ends'
    slot_demands = 'slot_demands'
    slot_grants = 'slot_grants'
