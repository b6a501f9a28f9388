"""Budget that keeps retries a small share of the requests."""

from __future__ import annotations

RATIO = 0.2
RESERVE = 20.0


class RetryBudget:
    """Retries that each client account may still spend.

    When every upstream fails, retries without a budget multiply the load
    just when capacity is least. Each request earns a fraction of a retry.

    :param ratio: retries that a request earns.
    :param reserve: retries that an account may save up, and begins with.
    """

    def __init__(self, ratio: float = RATIO, reserve: float = RESERVE) -> None:
        """Begin with a full reserve for every account."""
        self._ratio = ratio
        self._reserve = reserve
        self._left: dict[str, float] = {}

    def earn(self, client_account: str) -> None:
        """Count a request of an account."""
        left = self._left.get(client_account, self._reserve)
        self._left[client_account] = min(left + self._ratio, self._reserve)

    def spend(self, client_account: str) -> bool:
        """Take one retry out of the budget.

        :returns: whether the account had one left.
        """
        left = self._left.get(client_account, self._reserve)
        if left < 1:
            return False
        self._left[client_account] = left - 1
        return True
