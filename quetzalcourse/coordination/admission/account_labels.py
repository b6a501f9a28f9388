"""Metric labels of client accounts, by name for the largest ones only."""

from __future__ import annotations

from collections import Counter

MAX_NAMED = 8
# An account is large with this share of the requests, once there are enough.
LARGE_SHARE = 0.05
MIN_REQUESTS = 100
OTHER = 'other'


class AccountLabels:
    """Bounds the number of label values of a metric."""

    def __init__(self) -> None:
        """Start without large accounts."""
        self._counts: Counter[str] = Counter()
        self._named: set[str] = set()

    def find_label(self, client_account: str) -> str:
        """Count a request and return the label of its account."""
        self._counts[client_account] += 1
        if client_account in self._named:
            return client_account
        total = self._counts.total()
        is_large = self._counts[client_account] >= total * LARGE_SHARE
        has_room = len(self._named) < MAX_NAMED
        if is_large and has_room and total >= MIN_REQUESTS:
            self._named.add(client_account)
            return client_account
        return OTHER
