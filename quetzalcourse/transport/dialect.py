"""Interfaces to the words that callers and upstreams use on the wire."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from quetzalcourse.state.batches import (
        BatchItem,
        ResultPage,
        ScoringCall,
        StreamEvent,
        Submission,
    )
    from quetzalcourse.state.calls import (
        ResponseMetadata,
        AttemptMetadata,
        BatchCall,
        CallerMetadata,
        RequestHead,
    )


class CallerDialect(Protocol):
    """How callers say what they want."""

    def read_metadata(self, head: RequestHead) -> CallerMetadata:
        """Read what every request may say."""

    def read_call(self, head: RequestHead) -> BatchCall | None:
        """Read a call about a batch, ``None`` if it is another request.

        :raises ValueError: if it is one, but can't be understood.
        """

    def read_submission(self, body: bytes) -> Result[Submission, str]:
        """Read a batch that is submitted."""

    def write_page(self, page: ResultPage) -> bytes:
        """Write results for the caller."""


class UpstreamDialect(Protocol):
    """How upstreams are told what to do, and what they answer."""

    def write_request(
        self,
        head: RequestHead,
        metadata: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Write the headers of a caller's request for an upstream."""

    def write_item(
        self,
        item: BatchItem,
        host: str,
        metadata: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Write the headers of an item's request for an upstream."""

    def write_scoring(
        self,
        call: ScoringCall,
        metadata: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Write the headers of a scoring call for an upstream."""

    def read_response(
        self,
        request_id: str,
        status: int,
        headers: Mapping[str, str],
    ) -> ResponseMetadata:
        """Read the head of an answer."""

    def read_event(self, frame: bytes) -> StreamEvent | None:
        """Read one event of a stream, ``None`` if it can't be one."""
