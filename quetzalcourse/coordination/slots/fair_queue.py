"""Requests that wait in this daemon, by class and account."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from quetzalcourse.state.generation import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from quetzalcourse.state.slots import LoadKey, SlotWaiter

WaitersByOrder = dict[int, 'SlotWaiter']
COST_SMOOTHING = 0.2


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
        self._queues: dict[LoadKey, dict[frozenset[str], WaitersByOrder]] = {}
        self._finish_tags: dict[LoadKey, float] = {}
        self._average_costs: dict[LoadKey, float] = {}
        self._virtual_times: dict[TrafficClass, float] = {}
        self._lengths: Counter[LoadKey] = Counter()

    def __len__(self) -> int:
        """Count the requests that wait."""
        return sum(self._lengths.values())

    def count(self, key: LoadKey) -> int:
        """Count the requests of one class and account that wait."""
        return self._lengths.get(key, 0)

    def push(self, waiter: SlotWaiter) -> None:
        """Add a request behind the others of its account."""
        queues = self._queues.setdefault(waiter.key, {})
        candidates = frozenset(waiter.request.candidates)
        queues.setdefault(candidates, {})[waiter.order] = waiter
        self._lengths[waiter.key] += 1

    def remove(self, waiter: SlotWaiter) -> bool:
        """Take a request out.

        :returns: whether it was still there.
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
        for key in sorted(keys, key=self._compute_start_tag):
            heads = [
                next(iter(queue.values()))
                for candidates, queue in self._queues[key].items()
                if upstream in candidates
            ]
            if heads:
                return min(heads, key=lambda waiter: waiter.order)
        return None

    def charge_start(self, key: LoadKey) -> float:
        """Charge an account for a request that starts.

        :returns: how many tokens were charged.
        """
        start = self._compute_start_tag(key)
        self._virtual_times[key.traffic_class] = start
        estimate = self._average_costs.get(key, 1.0)
        self._finish_tags[key] = start + estimate / self._get_weight(key)
        return estimate

    def charge_end(self, key: LoadKey, charged: float, tokens: int) -> None:
        """Charge what a request generated beyond its estimate.

        :param charged: what :meth:`charge_start` charged for it.
        """
        cost = max(float(tokens), 1.0)
        average = self._average_costs.get(key, cost)
        self._average_costs[key] = average + COST_SMOOTHING * (cost - average)
        difference = (cost - charged) / self._get_weight(key)
        self._finish_tags[key] = self._finish_tags.get(key, 0.0) + difference

    def iter_waiters(self) -> Iterator[SlotWaiter]:
        """Visit every request that waits."""
        for key in self._queues:
            yield from self._iter_account(key)

    def choose_victim(self) -> SlotWaiter:
        """Choose the request to give up when the queue is full.

        Training goes first, then the account with the longest queue for its
        weight, and of that the request with the earliest deadline, which is
        the least likely to be served in time.
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

    def _iter_account(self, key: LoadKey) -> Iterator[SlotWaiter]:
        for queue in self._queues[key].values():
            yield from queue.values()

    def _compute_start_tag(self, key: LoadKey) -> float:
        # An account that was idle begins beside the others: credit for the
        # time before would let it hold all slots when it comes back.
        virtual_time = self._virtual_times.get(key.traffic_class, 0.0)
        return max(self._finish_tags.get(key, 0.0), virtual_time)

    def _get_weight(self, key: LoadKey) -> float:
        return self.weights.get(key.account_id, 1.0)
