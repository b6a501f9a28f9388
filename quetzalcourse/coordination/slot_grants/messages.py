"""Messages between the owners of slots and the daemons that use them.

All times are relative, since the clocks of daemons differ.
"""

from __future__ import annotations

import msgspec


class AccountDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one client account at the sender.

    :param account: short hash of the account's name.
    :param oldest_ms: how long it has waited since its last start.
    :param started: requests sent to the upstream since the previous report.
    """

    account: int
    running: int
    waiting: int
    oldest_ms: int
    started: int


class DemandReport(msgspec.Struct, frozen=True, array_like=True):
    """Full demand of a daemon for one group of slots.

    :param group: index of the group among those of the upstream.
    :param sequence: increases with each report on the group.
    :param applied: number of the newest grant that arrived.
    :param held: slots of that grant that the sender keeps.
    :param busy: requests at the upstream by its last load report, -1 if there
        is no recent one.
    """

    upstream: str
    group: int
    sequence: int
    applied: int
    held: int
    busy: int
    demands: tuple[AccountDemand, ...]

    @property
    def running(self) -> int:
        """Requests that run."""
        return sum(one.running for one in self.demands)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(one.waiting for one in self.demands)


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Slots that a daemon may use for a short time.

    :param number: increases with each grant to the daemon.
    :param answers: sequence of the newest report that the owner received.
    :param valid_ms: validity, counted from when that report was sent.
    :param contended: whether more requests wait or run than there are slots.
    """

    upstream: str
    group: int
    number: int
    answers: int
    slots: int
    valid_ms: int
    contended: bool


class DemandReports(msgspec.Struct, frozen=True, array_like=True):
    """Reports on the groups that the receiver owns."""

    reports: tuple[DemandReport, ...]


class ContentionNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tells that an upstream has more demand than slots.

    :param valid_ms: how long the receiver has to ask for its slots.
    """

    upstream: str
    valid_ms: int


class Grants(msgspec.Struct, frozen=True, array_like=True):
    """Grants and notices for the receiver."""

    grants: tuple[Grant, ...] = ()
    notices: tuple[ContentionNotice, ...] = ()
