"""Fair queue of this daemon's waiting requests, by class and account."""

from __future__ import annotations

from collections import Counter
from operator import attrgetter
from typing import TYPE_CHECKING

from quetzalcourse.coordination.admission.fair_order import FairOrder
from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from quetzalcourse.state.slots import QueueKey, SlotWaiter

WaitersByOrder = dict[int, 'SlotWaiter']
INITIAL_COST_TOKENS = 1.0


class FairQueue:
    """Start-time fair queueing, measured in tokens."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.weights: Mapping[int, float] = {}
        self._queues: dict[QueueKey, dict[frozenset[str], WaitersByOrder]] = {}
        self._order: FairOrder[QueueKey] = FairOrder(
            attrgetter('traffic_class'), self._get_weight, INITIAL_COST_TOKENS
        )
        self._lengths: Counter[QueueKey] = Counter()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(self._lengths.values())

    def count(self, key: QueueKey) -> int:
        """Return the number of waiting requests of one class and account."""
        return self._lengths.get(key, 0)

    def push(self, waiter: SlotWaiter) -> None:
        """Append a request to the queue of its account."""
        queues = self._queues.setdefault(waiter.key, {})
        candidates = frozenset(waiter.request.candidates)
        queues.setdefault(candidates, {})[waiter.order] = waiter
        self._lengths[waiter.key] += 1

    def remove(self, waiter: SlotWaiter) -> bool:
        """Remove a request.

        :returns: whether it was still queued.
        """
        queues = self._queues.get(waiter.key, {})
        candidates = frozenset(waiter.request.candidates)
        queue = queues.get(candidates, {})
        if queue.pop(waiter.order, None) is None:
            return False
        self._lengths[waiter.key] -= 1
        if not queue:
            queues.pop(candidates)
        if not queues:
            self._queues.pop(waiter.key)
            self._lengths.pop(waiter.key)
        return True

    def find_next(
        self,
        upstream: str,
        traffic_class: TrafficClass,
    ) -> SlotWaiter | None:
        """Find the request that an upstream should run next."""
        keys = [
            key for key in self._queues if key.traffic_class is traffic_class
        ]
        for key in sorted(keys, key=self._order.compute_start_tag):
            heads = [
                next(iter(queue.values()))
                for candidates, queue in self._queues[key].items()
                if upstream in candidates
            ]
            if heads:
                return min(heads, key=lambda waiter: waiter.order)
        return None

    def charge_start(self, key: QueueKey) -> float:
        """Charge an account for a request that starts.

        :returns: the number of tokens charged.
        """
        return self._order.charge_start(key)

    def charge_end(self, key: QueueKey, charged: float, tokens: int) -> None:
        """Charge the difference between a request's tokens and its estimate.

        :param charged: tokens charged for it by :meth:`charge_start`.
        """
        cost = max(float(tokens), INITIAL_COST_TOKENS)
        self._order.charge_end(key, charged, cost)

    def iter_waiters(self) -> Iterator[SlotWaiter]:
        """Iterate over all waiting requests."""
        for key in self._queues:
            yield from self._iter_account(key)

    def choose_victim(self) -> SlotWaiter:
        """Choose the request to reject when the queue is full.

        Training is rejected first, then the account with the longest queue
        relative to its weight; within that account, the request with the
        earliest deadline, which is the least likely to be served in time.
        """
        training = [
            key
            for key in self._queues
            if key.traffic_class is TrafficClass.training
        ]
        longest = max(
            training or self._queues,
            key=lambda key: self._lengths[key] / self._get_weight(key),
        )
        return min(
            self._iter_account(longest),
            key=lambda waiter: (waiter.request.deadline, waiter.order),
        )

    def _iter_account(self, key: QueueKey) -> Iterator[SlotWaiter]:
        for queue in self._queues[key].values():
            yield from queue.values()

    def _get_weight(self, key: QueueKey) -> float:
        return self.weights.get(key.account_id, 1.0)
