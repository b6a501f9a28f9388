"""Callers' requests and upstreams' responses, independent of wire names."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalcourse.state.pool import LoadReport

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A caller's request without its body.

    :param target: path and query as the caller sent them.
    :param headers: in the order of arrival, with names in lower case.
    """

    method: str
    target: str
    host: str
    headers: Headers

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition('?')[0]

    def find(self, name: str) -> str:
        """Find the first header of a name, given in lower case.

        :returns: its value, empty if there is none.
        """
        return next((text for known, text in self.headers if known == name), '')


@dataclass(frozen=True, slots=True)
class CallerMetadata:
    """Metadata that a caller sends with its request.

    :param request_id: id of this attempt of the caller.
    :param key: secret that identifies the client account, empty without one.
    :param time_left: time until the caller's deadline, if it has one.
    :param resume_after: id of the last event that it received, if any.
    """

    request_id: str
    key: str
    time_left: timedelta | None
    resume_after: str = ''


class BatchOperation(enum.StrEnum):
    """Operation on an existing batch."""

    read_results = 'read_results'
    read_item = 'read_item'
    end = 'end'


@dataclass(frozen=True, slots=True)
class BatchCall:
    """A caller's request for an operation on an existing batch.

    :param position: position of the first result to return.
    :param item: id of the item whose body is read.
    :param wait: how long to wait for a result.
    """

    verb: BatchOperation
    batch: str
    position: int = 0
    item: str = ''
    wait: timedelta = timedelta(0)


class ResponseOutcome(enum.StrEnum):
    """Outcome of a request according to the upstream's response.

    ``failed`` is a failure of the upstream, which counts against the attempts
    of the request; ``unfinished`` says nothing about the request itself, for
    example that its deadline passed.
    """

    served = 'served'
    not_run = 'not_run'
    failed = 'failed'
    unfinished = 'unfinished'
    impossible = 'impossible'
    foreign = 'foreign'


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata in the head of an upstream's response.

    :param state: ``not_run`` only if the upstream itself said so, ``foreign``
        if the response belongs to another request.
    :param load: load report of the upstream, if it sent one.
    :param weight_version: weight version of the first token, 0 without one.
    :param stamp: value that the upstream sets on all of its own responses.
    """

    state: ResponseOutcome
    load: LoadReport | None = None
    weight_version: int = 0
    stamp: str = ''


@dataclass(frozen=True, slots=True)
class AttemptMetadata:
    """Metadata that is sent to an upstream with a request.

    :param upstream: id of the intended upstream.
    :param client_account: account that the request runs for, empty for none.
    :param time_left: time after which the upstream must stop.
    :param resume_after: number of the last event that was received already.
    """

    upstream: str
    client_account: str
    time_left: timedelta
    resume_after: str = ''
