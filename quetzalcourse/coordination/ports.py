"""Interfaces of the coordination logic to stores, engines and other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from result import Result

    from quetzalcourse.state.engines import (
        CacheChange,
        EngineOrder,
        EngineReport,
        OrderProblem,
    )
    from quetzalcourse.state.generation import (
        Chunk,
        GenerationRequest,
        TrafficClass,
    )
    from quetzalcourse.state.manifest import Manifest, Upstream
    from quetzalcourse.state.members import Member, Topic, Vm
    from quetzalcourse.state.fleet import FleetCount, FleetOrder
    from quetzalcourse.state.usage import FrozenReport
    from quetzalcourse.state.rows import (
        TransactionResult,
        FaultKind,
        Row,
        StoreFault,
        Transaction,
    )
    from quetzalcourse.state.slots import (
        Allowance,
        QueueKey,
        SlotReport,
        SlotWaiter,
    )


class Table(Protocol):
    """The platform's transactional table."""

    async def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row, ``None`` if there is none.

        :param key: key of the row.
        """

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
    ) -> Result[list[Row], StoreFault]:
        """Read rows in key order.

        :param prefix: prefix of the keys.
        :param after: key after which to start.
        :param limit: maximum number of rows.
        """

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows atomically if every condition holds."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Read an object, ``None`` if none has that name."""

    async def put(self, name: str, content: bytes) -> Result[None, StoreFault]:
        """Write an object under a name derived from its content."""


class Engines(Protocol):
    """Requests to the engines."""

    def generate(
        self,
        upstream: Upstream,
        request: GenerationRequest,
        tokens: tuple[str, ...],
    ) -> AsyncIterator[Chunk]:
        """Run a request and yield its chunks.

        :param upstream: engine to run it on.
        :param request: the request.
        :param tokens: tokens received from earlier attempts, to resume after.
        :raises AttemptError: with the state in which the attempt ended.
        """

    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Ask an engine to cancel a request; failure to reach it is ignored."""


class EngineControl(Protocol):
    """Reports from engines and orders to engines."""

    async def observe(
        self,
        upstream: Upstream,
    ) -> Result[EngineReport, OrderProblem]:
        """Fetch an engine's report of what it runs.

        :param upstream: engine to query.
        """

    async def order(
        self,
        upstream: Upstream,
        order: EngineOrder,
    ) -> Result[EngineReport, OrderProblem]:
        """Send an order; repeating the same order id is harmless.

        :param upstream: engine that gets the order.
        :param order: the order, with the sender's fencing token.
        """

    async def list_changes(
        self,
        upstream: Upstream,
        after: int,
    ) -> Result[list[CacheChange], OrderProblem]:
        """List the changes of an engine's prefix cache.

        :param after: sequence number after which to start.
        """


class Scorer(Protocol):
    """The platform's scoring service."""

    async def score(
        self,
        sample_id: str,
        text: str,
    ) -> Result[float, FaultKind]:
        """Score one sample.

        :param sample_id: idempotency key of the call.
        :param text: generated text.
        :returns: the score, or what is known about a failed call.
        """


class WeightStore(Protocol):
    """The platform's store of weight versions, which is rate-limited."""

    async def newest(self, model: str) -> Result[int, StoreFault]:
        """Read the newest published version of a model, 0 if there is none."""


class GenerationService(Protocol):
    """Runs generation requests on the engines."""

    def run(self, request: GenerationRequest) -> AsyncIterator[Chunk]:
        """Yield the tokens of a request, each offset once and in order.

        :raises RefusedError: when no engine completes the request.
        """


class Peers(Protocol):
    """Messages between daemons: one-way, unordered and unreliable."""

    def send(self, receiver: Member, topic: Topic, content: bytes) -> None:
        """Send a message without waiting; it may be lost.

        :param receiver: daemon to send it to.
        :param topic: kind of the message.
        :param content: encoded message.
        """

    def subscribe(
        self,
        topic: Topic,
        receive: Callable[[Member, bytes], None],
    ) -> None:
        """Register the handler for the messages of a topic.

        :param topic: kind of the messages.
        :param receive: called with the sender and the encoded message.
        """


class MemberView(Protocol):
    """View of the daemons that are known to be live."""

    own: Member

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List the live daemons, this one included, sorted by incarnation.

        :param data_centre: only those there, or all if empty.
        """

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener for changes of the list of live daemons."""


class Vms(Protocol):
    """The platform's list of entry VMs, which lags behind."""

    async def list_vms(self) -> Result[list[Vm], StoreFault]:
        """List the VMs that run daemons, live and leaving."""


class SlotPolicy(Protocol):
    """Decides how many requests a daemon may run on an upstream."""

    def listen(
        self,
        on_free: Callable[[str], None],
        on_revoked: Callable[[str, int], None],
    ) -> None:
        """Set the callbacks for changes.

        :param on_free: called with an upstream that may have free slots.
        :param on_revoked: called with an upstream and the number of training
            requests that must release their slots.
        """

    def on_manifest(self, manifest: Manifest) -> None:
        """Apply the upstreams and accounts that came into force."""

    def may_start(self, upstream: str, traffic_class: TrafficClass) -> bool:
        """Return whether one more request may run on an upstream."""

    def on_started(self, upstream: str, key: QueueKey) -> None:
        """Count a request that starts to run."""

    def on_released(self, upstream: str, key: QueueKey, tokens: int) -> None:
        """Count a request that no longer runs.

        :param tokens: tokens generated since it started to run.
        """

    def on_queued(self, waiter: SlotWaiter) -> None:
        """Record a request that waits for a slot."""

    def on_unqueued(self, waiter: SlotWaiter) -> None:
        """Record that a request no longer waits."""


class SlotLink(Protocol):
    """Messages between owners and users of slots; they may be lost."""

    def send_reports(
        self,
        owner: Member,
        reports: tuple[SlotReport, ...],
    ) -> None:
        """Send reports to the owner of their upstreams."""

    def send_allowances(
        self,
        requester: Member,
        allowances: tuple[Allowance, ...],
    ) -> None:
        """Send allowances to a daemon."""

    def subscribe(
        self,
        on_reports: Callable[[Member, tuple[SlotReport, ...]], None],
        on_allowances: Callable[[Member, tuple[Allowance, ...]], None],
    ) -> None:
        """Register the handlers for messages of other daemons."""


class UsageReports(Protocol):
    """The platform's usage report API."""

    async def report(
        self,
        report: FrozenReport,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Send a report; sending the same one again is harmless.

        :param report: frozen bytes with the sender's fencing token.
        :param may_send: called in the same event loop iteration in which the
            bytes are handed to the open connection.
        """


class UpstreamOrders(Protocol):
    """The platform's API for ordering upstreams."""

    async def order(
        self,
        order: FleetOrder,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Send an order; repeating the same order id is harmless.

        :param order: number of upstreams that there should be.
        :param may_send: called in the same event loop iteration in which the
            bytes are handed to the open connection.
        """

    async def list_counts(self) -> Result[list[FleetCount], StoreFault]:
        """List the current numbers of upstreams."""
