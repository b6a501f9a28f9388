"""Interfaces through which decisions reach the world outside."""

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
        """Read one row.

        :param key: name of the row.
        """

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = 1000,
    ) -> Result[list[Row], StoreFault]:
        """Read rows in the order of their keys.

        :param prefix: what the keys begin with.
        :param after: key behind which to begin.
        :param limit: most rows to return.
        """

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResult, StoreFault]:
        """Write rows together if every condition holds."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Read an object, ``None`` if there is none of that name."""

    async def put(self, name: str, content: bytes) -> Result[None, StoreFault]:
        """Write an object under a name that is made of its content."""


class Engines(Protocol):
    """Connections to the engines."""

    def generate(
        self,
        upstream: Upstream,
        request: GenerationRequest,
        tokens: tuple[str, ...],
    ) -> AsyncIterator[Chunk]:
        """Run a request and yield its chunks.

        :param upstream: engine to run it on.
        :param request: what to run.
        :param tokens: tokens already received, to go on behind them.
        :raises AttemptError: with the state that the attempt ended in.
        """

    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Tell an engine to stop a request; failure to reach it is ignored."""


class EngineControl(Protocol):
    """Reports from engines and orders to them."""

    async def observe(
        self,
        upstream: Upstream,
    ) -> Result[EngineReport, OrderProblem]:
        """Ask an engine what it runs.

        :param upstream: engine to ask.
        """

    async def order(
        self,
        upstream: Upstream,
        order: EngineOrder,
    ) -> Result[EngineReport, OrderProblem]:
        """Give an order; the same order id again does no harm.

        :param upstream: engine to order.
        :param order: what to do, with the sender's fencing token.
        """

    async def list_changes(
        self,
        upstream: Upstream,
        after: int,
    ) -> Result[list[CacheChange], OrderProblem]:
        """List the changes of an engine's prefix cache.

        :param after: sequence behind which to begin.
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
        :param text: what the engine generated.
        :returns: the score, or what is known of a call that failed.
        """


class WeightStore(Protocol):
    """The platform's store of weight versions, which limits its rate."""

    async def newest(self, model: str) -> Result[int, StoreFault]:
        """Tell the newest published version of a model, zero for none."""


class GenerationService(Protocol):
    """Part of the daemon that runs requests for tokens."""

    def run(self, request: GenerationRequest) -> AsyncIterator[Chunk]:
        """Yield the tokens of a request, each offset once and in order.

        :raises RefusedError: when no engine finishes the request.
        """


class Peers(Protocol):
    """Messages between daemons: one way, unordered, and sometimes lost."""

    def send(self, receiver: Member, topic: Topic, content: bytes) -> None:
        """Send a message without waiting; it may be lost.

        :param receiver: whom to send it to.
        :param topic: kind of the message.
        :param content: encoded message.
        """

    def subscribe(
        self,
        topic: Topic,
        receive: Callable[[Member, bytes], None],
    ) -> None:
        """Hand the messages of a topic to a handler.

        :param topic: kind of the messages.
        :param receive: called with the sender and the encoded message.
        """


class MemberView(Protocol):
    """The daemons that are known to be live."""

    own: Member

    def list_live(self, data_centre: str = '') -> list[Member]:
        """List the live daemons, this one included, sorted by incarnation.

        :param data_centre: only those there, or all if left out.
        """

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever the list of live daemons changed."""


class Vms(Protocol):
    """The platform's list of entry VMs, which lags."""

    async def list_vms(self) -> Result[list[Vm], StoreFault]:
        """List the VMs that run daemons, live and leaving."""


class SlotPolicy(Protocol):
    """Rule by which a daemon knows how much it may run on an upstream."""

    def listen(
        self,
        on_free: Callable[[str], None],
        on_revoked: Callable[[str, int], None],
    ) -> None:
        """Say whom to tell of changes.

        :param on_free: called with an upstream that may have room.
        :param on_revoked: called with an upstream and how many training
            requests must be giving their slot back.
        """

    def on_manifest(self, manifest: Manifest) -> None:
        """Take the upstreams and accounts that came into force."""

    def may_start(self, upstream: str, traffic_class: TrafficClass) -> bool:
        """Tell whether one more request may run on an upstream."""

    def on_started(self, upstream: str, key: QueueKey) -> None:
        """Count a request that begins to run."""

    def on_released(self, upstream: str, key: QueueKey, tokens: int) -> None:
        """Count a request that runs no more.

        :param tokens: generated since it began to run.
        """

    def on_queued(self, waiter: SlotWaiter) -> None:
        """Take note of a request for which there was no room."""

    def on_unqueued(self, waiter: SlotWaiter) -> None:
        """Take note that a request waits no more."""


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
        """Hand what other daemons send to handlers."""


class UsageReports(Protocol):
    """The platform's interface for usage reports."""

    async def report(
        self,
        report: FrozenReport,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Send a report; the same one again does no harm.

        :param report: frozen bytes with the sender's fencing token.
        :param may_send: asked in the step of the loop in which the bytes
            are handed to the open connection.
        """


class UpstreamOrders(Protocol):
    """The platform's interface that orders upstreams."""

    async def order(
        self,
        order: FleetOrder,
        may_send: Callable[[], bool],
    ) -> Result[None, OrderProblem]:
        """Give an order; the same order id again does no harm.

        :param order: how many upstreams there should be.
        :param may_send: asked in the step of the loop in which the bytes
            are handed to the open connection.
        """

    async def list_counts(self) -> Result[list[FleetCount], StoreFault]:
        """List the upstreams that there are."""
