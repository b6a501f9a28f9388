"""Requests that wait at one daemon for a slot of a service, in their order.

Under a burst of traffic beyond the slots of a service, requests wait in the
order of their rank. Within a rank, the slots are shared fairly among client
accounts, whatever share of the requests each of them sends. Requests of an
account that were confirmed go first, then those that came back after a
rejection, then new ones.
"""

from __future__ import annotations

import enum
from bisect import bisect_left, insort
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from operator import attrgetter, itemgetter
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from quetzalcourse.coordination.admission.fair_order import FairOrder

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quetzalcourse.coordination.admission.start_limits import StartLimits

Choice = TypeVar('Choice')
ZERO = timedelta(0)
# Cost in seconds of a request of an account without finished requests.
INITIAL_COST_SECONDS = 0.05


class AccountKey(NamedTuple):
    """Accounts are compared with others of their rank only."""

    rank: int
    client_account: str


class Stage(enum.IntEnum):
    """Order among the requests of one rank and account."""

    confirmed = 0
    returned = 1
    new = 2


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    :param rank: 0 is the most urgent.
    :param arrived_at: time since boot.
    :param number: order of arrival at this queue.
    :param charged: cost that its account was charged for it, in seconds.
    """

    client_account: str
    rank: int
    stage: Stage
    arrived_at: timedelta
    limits: StartLimits
    number: int = 0
    charged: float = 0

    @property
    def account(self) -> AccountKey:
        """Key of its client account among those of its rank."""
        return AccountKey(self.rank, self.client_account)

    @property
    def urgency(self) -> tuple[Stage, timedelta, int]:
        """Order among the requests of one account."""
        return self.stage, self.limits.useful_until, self.number


@dataclass(slots=True)
class AccountTurns:
    """Turns of the waiting requests of one account.

    :param first: virtual time at which its first request starts.
    :param step: virtual time between two of its requests.
    :param waiting: number of its requests.
    """

    first: float
    step: float
    waiting: int

    def count_before(self, turn: float) -> int:
        """Count the requests that start before a virtual time."""
        if turn < self.first:
            return 0
        return min(int((turn - self.first) / self.step) + 1, self.waiting)


@dataclass(frozen=True, slots=True)
class QueueView:
    """Turns of all accounts at one moment."""

    accounts: dict[AccountKey, AccountTurns]

    def count_ahead(self, account: AccountKey, position: int) -> int:
        """Count the requests that go before one.

        :param position: number of requests of its account that go first.
        """
        own = self.accounts[account]
        turn = own.first + position * own.step
        ahead = position
        for other, turns in self.accounts.items():
            if other.rank < account.rank:
                ahead += turns.waiting
            elif other.rank == account.rank and turns is not own:
                ahead += turns.count_before(turn)
        return ahead


class EntryQueue:
    """Waiting requests of one service."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.accounts: Counter[str] = Counter()
        self._accounts: dict[AccountKey, list[WaitingRequest]] = {}
        self._order: FairOrder[AccountKey] = FairOrder(
            attrgetter('rank'), _get_weight, INITIAL_COST_SECONDS
        )
        self._numbers = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self.accounts.total()

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over all waiting requests, in no particular order."""
        for requests in self._accounts.values():
            yield from requests

    def push(self, request: WaitingRequest) -> None:
        """Add a request; one that comes again keeps its place."""
        if not request.number:
            self._numbers += 1
            request.number = self._numbers
        requests = self._accounts.setdefault(request.account, [])
        insort(requests, request, key=attrgetter('urgency'))
        self.accounts[request.client_account] += 1

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request.

        :returns: whether it was waiting.
        """
        requests = self._accounts.get(request.account, [])
        index = bisect_left(
            requests, request.urgency, key=attrgetter('urgency')
        )
        if index == len(requests) or requests[index] is not request:
            return False
        requests.pop(index)
        self.accounts[request.client_account] -= 1
        if not requests:
            self._accounts.pop(request.account)
        if not self.accounts[request.client_account]:
            self.accounts.pop(request.client_account)
        return True

    def confirm(self, request: WaitingRequest) -> None:
        """Let a request go before all of its rank that arrive from now on."""
        if request.stage is not Stage.confirmed and self.remove(request):
            request.stage = Stage.confirmed
            self.push(request)

    def take_next(
        self,
        find_upstream: Callable[[WaitingRequest], Choice | None],
    ) -> tuple[WaitingRequest, Choice] | None:
        """Remove the first request for which there is an upstream.

        :returns: the request and its upstream.
        """
        for request in self._iterate_in_order():
            upstream = find_upstream(request)
            if upstream is not None:
                self.remove(request)
                self.charge_start(request)
                return request, upstream
        return None

    def charge_start(self, request: WaitingRequest) -> None:
        """Charge the account of a request that is sent."""
        request.charged = self._order.charge_start(request.account)

    def charge_end(self, request: WaitingRequest, seconds: float) -> None:
        """Charge the account for the time that a request held its slot."""
        self._order.charge_end(request.account, request.charged, seconds)

    def refund(self, request: WaitingRequest) -> None:
        """Charge nothing for a request that its upstream did not run."""
        self._order.refund(request.account, request.charged)

    def view_turns(self) -> QueueView:
        """Build a view by which many requests are compared quickly."""
        return QueueView(
            {
                account: AccountTurns(
                    self._order.compute_start_tag(account),
                    self._order.compute_step(account),
                    len(requests),
                )
                for account, requests in self._accounts.items()
            }
        )

    def list_accounts(self) -> list[tuple[AccountKey, list[WaitingRequest]]]:
        """List the waiting requests of each account in their order."""
        return [
            (account, list(requests))
            for account, requests in self._accounts.items()
        ]

    def count_ahead(
        self, request: WaitingRequest, view: QueueView
    ) -> tuple[int, int]:
        """Count the waiting requests that go before one.

        :param request: one that waits, or that would be added.
        :returns: number of all, and of those of its account.
        """
        own = self.count_own_ahead(request)
        if request.account not in view.accounts:
            view.accounts[request.account] = AccountTurns(
                self._order.compute_start_tag(request.account),
                self._order.compute_step(request.account),
                0,
            )
        return view.count_ahead(request.account, own), own

    def count_account(self, account: AccountKey) -> int:
        """Count the waiting requests of an account and rank."""
        return len(self._accounts.get(account, ()))

    def count_own_ahead(self, request: WaitingRequest) -> int:
        """Count the requests of the same account that go before one."""
        own = self._accounts.get(request.account, [])
        return bisect_left(
            own, _get_urgency(request), key=attrgetter('urgency')
        )

    def find_last(self) -> WaitingRequest | None:
        """Find the request that is served last, ``None`` if none waits."""
        if not self._accounts:
            return None
        last = max(
            self._accounts,
            key=lambda key: (key.rank, len(self._accounts[key])),
        )
        return self._accounts[last][-1]

    def _iterate_in_order(self) -> Iterator[WaitingRequest]:
        first = min(self._accounts, key=self._find_start, default=None)
        if first is None:
            return
        # The first request is nearly always the one that is taken.
        yield self._accounts[first][0]
        turns = [
            (
                account.rank,
                self._compute_turn(account, position),
                request.number,
                request,
            )
            for account, requests in self._accounts.items()
            for position, request in enumerate(requests)
        ]
        turns.sort(key=itemgetter(0, 1, 2))
        for turn in turns:
            yield turn[-1]

    def _find_start(self, account: AccountKey) -> tuple[int, float]:
        return account.rank, self._order.compute_start_tag(account)

    def _compute_turn(self, account: AccountKey, position: int) -> float:
        start = self._order.compute_start_tag(account)
        return start + position * self._order.compute_step(account)


def _get_weight(_: AccountKey) -> float:
    """Return the weight of an account; all accounts are equal."""
    return 1.0


def _get_urgency(request: WaitingRequest) -> tuple[Stage, timedelta, float]:
    # A request that is not queued yet comes after equally urgent ones.
    return (
        request.stage,
        request.limits.useful_until,
        request.number or float('inf'),
    )
