"""Slot messages between slot owners and requesting daemons.

Names are sent as 32-bit hashes and structures as arrays, because these
messages make up most of the traffic between daemons.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from quetzalcourse.state.decoding import decode_msgpack
from quetzalcourse.state.generation import TrafficClass
from quetzalcourse.state.slots import (
    AccountLoad,
    Allowance,
    QueueKey,
    SlotReport,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

AGE_UNIT = timedelta(milliseconds=100)


class LoadMessage(msgspec.Struct, array_like=True):
    """Load of one account on one daemon.

    :param oldest: age of the oldest waiting request, in tenths of a second.
    """

    human: bool
    account_id: int
    running: int
    waiting: int
    oldest: int
    tokens: int


class ReportMessage(msgspec.Struct, array_like=True):
    """Report on one upstream, identified by the hash of its name."""

    upstream: int
    sequence: int
    applied: int
    held: int
    held_training: int
    spares: int
    loads: list[LoadMessage]


class AllowanceMessage(msgspec.Struct, array_like=True):
    """Allowance on one upstream, identified by the hash of its name."""

    upstream: int
    number: int
    answers: int
    human: int
    training: int
    revoke: int
    contended: bool


class SlotMessage(msgspec.Struct, array_like=True):
    """Reports and allowances that one daemon sends to another."""

    reports: list[ReportMessage]
    allowances: list[AllowanceMessage]


_encoder = msgspec.msgpack.Encoder()


def encode_reports(
    reports: tuple[SlotReport, ...],
    ids: Mapping[str, int],
) -> bytes:
    """Encode reports.

    :param ids: hashes of the upstreams' names, by name.
    """
    messages = [
        ReportMessage(
            ids[report.upstream],
            report.sequence,
            report.applied,
            report.held,
            report.held_training,
            report.spares,
            [_pack_load(load) for load in report.loads],
        )
        for report in reports
    ]
    return _encoder.encode(SlotMessage(messages, []))


def encode_allowances(
    allowances: tuple[Allowance, ...],
    ids: Mapping[str, int],
) -> bytes:
    """Encode allowances.

    :param ids: hashes of the upstreams' names, by name.
    """
    messages = [
        AllowanceMessage(
            ids[allowance.upstream],
            allowance.number,
            allowance.answers,
            allowance.human,
            allowance.training,
            allowance.revoke,
            allowance.contended,
        )
        for allowance in allowances
    ]
    return _encoder.encode(SlotMessage([], messages))


def decode_slots(content: bytes) -> SlotMessage:
    """Decode a message.

    :raises MalformedMessageError: if the message is malformed.
    """
    return decode_msgpack(content, SlotMessage)


def list_reports(
    message: SlotMessage,
    names: Mapping[int, str],
) -> tuple[SlotReport, ...]:
    """Convert the reports on known upstreams; others are ignored.

    :param names: names of the upstreams, by hash.
    """
    return tuple(
        SlotReport(
            names[report.upstream],
            report.sequence,
            report.applied,
            report.held,
            report.held_training,
            report.spares,
            tuple(_unpack_load(load) for load in report.loads),
        )
        for report in message.reports
        if report.upstream in names
    )


def list_allowances(
    message: SlotMessage,
    names: Mapping[int, str],
) -> tuple[Allowance, ...]:
    """Convert the allowances on known upstreams; others are ignored.

    :param names: names of the upstreams, by hash.
    """
    return tuple(
        Allowance(
            names[allowance.upstream],
            allowance.number,
            allowance.answers,
            allowance.human,
            allowance.training,
            allowance.revoke,
            allowance.contended,
        )
        for allowance in message.allowances
        if allowance.upstream in names
    )


def _pack_load(load: AccountLoad) -> LoadMessage:
    return LoadMessage(
        load.key.traffic_class is TrafficClass.human,
        load.key.account_id,
        load.running,
        load.waiting,
        load.oldest // AGE_UNIT,
        load.tokens,
    )


def _unpack_load(load: LoadMessage) -> AccountLoad:
    traffic_class = TrafficClass.training
    if load.human:
        traffic_class = TrafficClass.human
    return AccountLoad(
        QueueKey(traffic_class, load.account_id),
        load.running,
        load.waiting,
        load.oldest * AGE_UNIT,
        load.tokens,
    )
