"""Burn rates of error budgets, remaining budgets, and alerts."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quetzalcourse.state.service_levels import EventCount, Window

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from quetzalcourse.state.manifest import ServiceLevel


class Alert(enum.StrEnum):
    """Urgency of a burn rate."""

    page = 'page'
    ticket = 'ticket'
    quiet = 'quiet'


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Burn rate that both a long and a short window must reach.

    The long window prevents alerts on brief spikes, and the short window ends
    the alert soon after the burn ends.

    :param rate: burn rate, in budgets per period.
    """

    alert: Alert
    long_window: Window
    short_window: Window
    rate: float


ALERT_RULES = (
    AlertRule(Alert.page, Window.hour, Window.five_minutes, 14.4),
    AlertRule(Alert.ticket, Window.six_hours, Window.half_hour, 6.0),
)


@dataclass(slots=True)
class LevelEvents:
    """Events of one service level, summed over daemons.

    :param windows: events of each window.
    :param client_accounts: events of each account in the whole period.
    """

    windows: dict[Window, EventCount] = field(default_factory=dict)
    client_accounts: dict[str, EventCount] = field(default_factory=dict)

    def add_window(self, window: Window, count: EventCount) -> None:
        """Add a daemon's events of a window."""
        self.windows[window] = self.windows.get(window, EventCount()) + count

    def add_account(self, client_account: str, count: EventCount) -> None:
        """Add a daemon's events of an account."""
        before = self.client_accounts.get(client_account, EventCount())
        self.client_accounts[client_account] = before + count


@dataclass(frozen=True, slots=True)
class LevelBurn:
    """Error budget burn of one service level.

    :param budget_left: remaining share of the error budget; negative when it is
        overspent.
    :param rates: burn rate of each window; at 1 the budget is spent exactly.
    :param worst_account: account with the largest share of bad events.
    :param worst_share: that account's share of good events.
    """

    service_level: str
    indicator: str
    objective: float
    events: EventCount
    budget_left: float
    rates: dict[Window, float]
    alert: Alert
    worst_account: str
    worst_share: float


def compute_burns(
    levels: Iterable[ServiceLevel],
    events: Mapping[str, LevelEvents],
) -> list[LevelBurn]:
    """Compute the burn of every service level.

    :param levels: service levels of the manifest.
    :param events: events by the name of the service level.
    """
    return [
        compute_burn(level, events.get(level.name, LevelEvents()))
        for level in levels
    ]


def compute_burn(level: ServiceLevel, events: LevelEvents) -> LevelBurn:
    """Compute the burn of one service level."""
    error_budget = 1 - level.objective
    total = sum(events.client_accounts.values(), EventCount())
    rates = {
        window: events.windows.get(window, EventCount()).bad_share
        / error_budget
        for window in Window
    }
    worst = find_worst_account(events.client_accounts)
    worst_count = events.client_accounts.get(worst, EventCount())
    return LevelBurn(
        service_level=level.name,
        indicator=level.indicator,
        objective=level.objective,
        events=total,
        budget_left=1 - total.bad_share / error_budget,
        rates=rates,
        alert=choose_alert(rates),
        worst_account=worst,
        worst_share=1 - worst_count.bad_share,
    )


def find_worst_account(accounts: Mapping[str, EventCount]) -> str:
    """Return the account with the largest share of bad events.

    :param accounts: events by account; ties go to the first by name.
    :returns: name of the account, empty if there are no events.
    """
    served = sorted(name for name in accounts if accounts[name].total)
    return max(served, key=lambda name: accounts[name].bad_share, default='')


def choose_alert(rates: Mapping[Window, float]) -> Alert:
    """Return the alert of the most urgent rule that both windows reach."""
    for rule in ALERT_RULES:
        lower_rate = min(rates[rule.long_window], rates[rule.short_window])
        if lower_rate >= rule.rate:
            return rule.alert
    return Alert.quiet
