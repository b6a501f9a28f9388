"""Retry budget that keeps retries a small share of the requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Limits the retries of each client account.

    When every upstream fails, unlimited retries multiply the load just when
    capacity is lowest. Each request earns a fraction of a retry.

    :param ratio: retries earned per request.
    :param reserve: retries that an account can save, and starts with.
    """

    def __init__(
        self,
        ratio: float = RETRIES_PER_REQUEST,
        reserve: float = MAX_SAVED_RETRIES,
    ) -> None:
        """Create with a full reserve for every account."""
        self._ratio = ratio
        self._reserve = reserve
        self._balances: dict[str, float] = {}

    def earn(self, client_account: str) -> None:
        """Add a request's share of a retry to the account's budget."""
        balance = self._balances.get(client_account, self._reserve)
        self._balances[client_account] = min(
            balance + self._ratio, self._reserve
        )

    def spend(self, client_account: str) -> bool:
        """Take one retry out of the budget.

        :returns: whether the account had one left.
        """
        balance = self._balances.get(client_account, self._reserve)
        if balance < 1:
            return False
        self._balances[client_account] = balance - 1
        return True
