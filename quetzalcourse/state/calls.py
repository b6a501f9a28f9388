"""Calls of callers and answers of upstreams, free of their wire names."""

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

    :param target: path and query as the caller wrote them.
    :param headers: names in lower case, in the order they came.
    """

    method: str
    target: str
    host: str
    headers: Headers

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    def find(self, name: str) -> str:
        """Find the first header of a name in lower case, or nothing."""
        return next((text for known, text in self.headers if known == name), '')


@dataclass(frozen=True, slots=True)
class CallerMetadata:
    """What a caller says of its request.

    :param request_id: id of this attempt of the caller.
    :param key: secret that names the client account, empty if none came.
    :param time_left: how long the caller will wait, if it says so.
    :param resume_after: id of the last event that it has, if any.
    """

    request_id: str
    key: str
    time_left: timedelta | None
    resume_after: str = ''


class BatchOperation(enum.StrEnum):
    """What a caller wants of a batch that exists."""

    read_results = 'read_results'
    read_item = 'read_item'
    end = 'end'


@dataclass(frozen=True, slots=True)
class BatchCall:
    """A call about a batch that was submitted before.

    :param position: first result to return.
    :param item: id of the item whose body is wanted.
    :param wait: how long to wait for a result.
    """

    verb: BatchOperation
    batch: str
    position: int = 0
    item: str = ''
    wait: timedelta = timedelta(0)


class ResponseOutcome(enum.StrEnum):
    """What an upstream's answer says of its request.

    ``failed`` is the upstream's own failure, which counts towards giving a
    request up; ``unfinished`` says nothing of the request itself, such as
    that its time was over.
    """

    served = 'served'
    not_run = 'not_run'
    failed = 'failed'
    unfinished = 'unfinished'
    impossible = 'impossible'
    foreign = 'foreign'


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the head of an upstream's answer says.

    :param state: ``not_run`` only if the upstream said so itself,
        ``foreign`` if the answer belongs to another request.
    :param load: load that it tells, if it does.
    :param weight_version: version of the first token, if it has one.
    :param stamp: mark that the upstream puts on each answer of its own.
    """

    state: ResponseOutcome
    load: LoadReport | None = None
    weight_version: int = 0
    stamp: str = ''


@dataclass(frozen=True, slots=True)
class AttemptMetadata:
    """What an upstream is told with a request.

    :param upstream: id of the upstream that is meant.
    :param client_account: whom the request runs for, empty for nobody.
    :param time_left: when it must stop work.
    :param resume_after: number of the last event that is known already.
    """

    upstream: str
    client_account: str
    time_left: timedelta
    resume_after: str = ''
