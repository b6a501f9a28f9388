"""Interfaces to the wire formats of callers and upstreams."""

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
    """Wire format of the requests and responses of callers."""

    def read_metadata(self, head: RequestHead) -> CallerMetadata:
        """Read the metadata that any request may carry."""

    def read_call(self, head: RequestHead) -> BatchCall | None:
        """Read a call about a batch, ``None`` if the request is not one.

        :raises ValueError: if it is one but malformed.
        """

    def read_submission(self, body: bytes) -> Result[Submission, str]:
        """Parse the body of a batch submission.

        :returns: the submission, or why it is invalid.
        """

    def write_page(self, page: ResultPage) -> bytes:
        """Encode a page of results."""


class UpstreamDialect(Protocol):
    """Wire format of the requests and responses of upstreams."""

    def write_request(
        self,
        head: RequestHead,
        metadata: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Build the upstream headers of a forwarded request."""

    def write_item(
        self,
        item: BatchItem,
        host: str,
        metadata: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Build the upstream headers of a batch item."""

    def write_scoring(
        self,
        call: ScoringCall,
        metadata: AttemptMetadata,
    ) -> list[tuple[str, str]]:
        """Build the upstream headers of a scoring call."""

    def read_response(
        self,
        request_id: str,
        status: int,
        headers: Mapping[str, str],
    ) -> ResponseMetadata:
        """Interpret the status and headers of a response."""

    def read_event(self, frame: bytes) -> StreamEvent | None:
        """Parse one event of a stream, ``None`` if it is malformed."""
