"""Daemons as they know one another."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Member:
    """One run of a daemon.

    :param vm: id of the VM.
    :param incarnation: name of this run; a replaced VM has another.
    :param address: IP number and port for messages between daemons.
    :param leaving: whether it has begun its graceful shutdown.
    :param cores: processor time that its VM has, in cores.
    """

    vm: str
    incarnation: str
    data_centre: str
    address: str
    leaving: bool = False
    cores: float = 1


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM as the platform lists it.

    :param address: where its daemon listens for other daemons.
    """

    vm: str
    data_centre: str
    address: str
    leaving: bool = False


class Topic(enum.StrEnum):
    """Kinds of messages between daemons, a handler each."""

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
