"""Requests that wait in this daemon, by class and account."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from quetzalcourse.state.slots import QueueKey, SlotWaiter

Line = dict[int, 'SlotWaiter']
LEARNING_RATE = 0.2


class FairQueue:
    """Start-time fair queueing by tokens.

    Each account has a virtual time, which grows with its tokens over its
    weight; the waiting account with the lowest is served next. What a
    request will generate is not known when it starts, so the account's
    average is charged then and the difference once it has finished.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self.weights: Mapping[int, float] = {}
        self._lines: dict[QueueKey, dict[frozenset[str], Line]] = {}
        self._times: dict[QueueKey, float] = {}
        self._averages: dict[QueueKey, float] = {}
        self._newest: dict[TrafficClass, float] = {}
        self._lengths: Counter[QueueKey] = Counter()

    def __len__(self) -> int:
        """Count the requests that wait."""
        return sum(self._lengths.values())

    def count(self, key: QueueKey) -> int:
        """Count the requests of one class and account that wait."""
        return self._lengths.get(key, 0)

    def push(self, waiter: SlotWaiter) -> None:
        """Add a request behind the others of its account."""
        lines = self._lines.setdefault(waiter.key, {})
        names = frozenset(waiter.request.candidates)
        lines.setdefault(names, {})[waiter.order] = waiter
        self._lengths[waiter.key] += 1

    def remove(self, waiter: SlotWaiter) -> bool:
        """Take a request out.

        :returns: whether it was still there.
        """
        lines = self._lines.get(waiter.key, {})
        names = frozenset(waiter.request.candidates)
        line = lines.get(names, {})
        if line.pop(waiter.order, None) is None:
            return False
        self._lengths[waiter.key] -= 1
        if not line:
            lines.pop(names)
        if not lines:
            self._lines.pop(waiter.key)
            self._lengths.pop(waiter.key)
        return True

    def find_next(
        self,
        upstream: str,
        traffic_class: TrafficClass,
    ) -> SlotWaiter | None:
        """Find the request that an upstream should run next."""
        keys = [
            key for key in self._lines if key.traffic_class is traffic_class
        ]
        for key in sorted(keys, key=self._find_start):
            heads = [
                next(iter(line.values()))
                for names, line in self._lines[key].items()
                if upstream in names
            ]
            if heads:
                return min(heads, key=lambda waiter: waiter.order)
        return None

    def charge_start(self, key: QueueKey) -> float:
        """Charge an account for a request that starts.

        :returns: how many tokens were charged.
        """
        start = self._find_start(key)
        self._newest[key.traffic_class] = start
        estimate = self._averages.get(key, 1.0)
        self._times[key] = start + estimate / self._weigh(key)
        return estimate

    def charge_end(self, key: QueueKey, charged: float, tokens: int) -> None:
        """Charge what a request generated beyond its estimate.

        :param charged: what :meth:`charge_start` charged for it.
        """
        cost = max(float(tokens), 1.0)
        average = self._averages.get(key, cost)
        self._averages[key] = average + LEARNING_RATE * (cost - average)
        difference = (cost - charged) / self._weigh(key)
        self._times[key] = self._times.get(key, 0.0) + difference

    def walk(self) -> Iterator[SlotWaiter]:
        """Visit every request that waits."""
        for key in self._lines:
            yield from self._walk_account(key)

    def choose_victim(self) -> SlotWaiter:
        """Choose the request to give up when the queue is full.

        Training goes first, then the account with the longest queue for its
        weight, and of that the request with the earliest deadline, which is
        the least likely to be served in time.
        """
        training = [
            key
            for key in self._lines
            if key.traffic_class is TrafficClass.training
        ]
        longest = max(
            training or self._lines,
            key=lambda key: self._lengths[key] / self._weigh(key),
        )
        return min(
            self._walk_account(longest),
            key=lambda waiter: (waiter.request.deadline, waiter.order),
        )

    def _walk_account(self, key: QueueKey) -> Iterator[SlotWaiter]:
        for line in self._lines[key].values():
            yield from line.values()

    def _find_start(self, key: QueueKey) -> float:
        # An account that was idle begins beside the others: credit for the
        # time before would let it hold all slots when it comes back.
        newest = self._newest.get(key.traffic_class, 0.0)
        return max(self._times.get(key, 0.0), newest)

    def _weigh(self, key: QueueKey) -> float:
        return self.weights.get(key.account_id, 1.0)
