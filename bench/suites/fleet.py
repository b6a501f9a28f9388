"""Spending and service of the fleet's plan over days of seeded demand."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from bench.figure import Figure, at_least, at_most
from quetzalcourse.coordination.fleet.fleet_planner import (
    compute_hourly_cost,
    plan_fleet,
)
from quetzalcourse.state.fleet import Demand, FleetPlace, FleetView
from quetzalcourse.state.manifest import FleetKind, FleetPlan

if TYPE_CHECKING:
    from collections.abc import Callable

    Counts = dict[FleetPlace, int]
    Rule = Callable[['Moment', Counts], Counts]

FIGURES = ('spend_ratio', 'service_level_ratio', 'reclaimed_human_tokens')
HALLS = ('a', 'b', 'c')
PLAN = FleetPlan(
    budget_per_hour=500,
    smallest=2,
    largest=120,
    kinds={
        'firm': FleetKind('firm', 4, 100, False, HALLS, 30),
        'spot': FleetKind('spot', 1.2, 100, True, HALLS, 30),
    },
)
DAYS = 7
MINUTES = DAYS * 24 * 60
START_MINUTES = 4
MINUTE = timedelta(minutes=1)
UPPER = 0.8
LOWER = 0.5
MIN_UTILISATION = 1.0


@dataclass(frozen=True, slots=True)
class Moment:
    """One minute of demand and of what can be had.

    :param unavailable: places that can't be had, their upstreams gone.
    """

    minute: int
    demand: Demand
    unavailable: frozenset[FleetPlace]


def make_moments(seed: int) -> list[Moment]:
    """Draw days with a daily wave, training bursts and reclaimed halls."""
    source = random.Random(seed)
    training = 400.0
    gone: dict[FleetPlace, int] = {}
    moments = []
    for minute in range(MINUTES):
        wave = math.sin(2 * math.pi * minute / (24 * 60))
        human = (700 + 500 * wave) * source.uniform(0.93, 1.07)
        if source.random() < 1 / 90:
            training = source.choice((0, 300, 800, 1600))
        if source.random() < 1 / 400:
            place = FleetPlace(source.choice(HALLS), 'spot')
            gone[place] = minute + source.randrange(20, 120)
        unavailable = frozenset(
            place for place, until in gone.items() if until > minute
        )
        moments.append(Moment(minute, Demand(human, training), unavailable))
    return moments


@dataclass(slots=True)
class Outcome:
    """What a rule spent and served.

    :param exposed: tokens of humans that were on upstreams lost at once.
    """

    spent: float = 0.0
    wanted: float = 0.0
    served: float = 0.0
    exposed: float = 0.0


def run_rule(moments: list[Moment], rule: Rule) -> Outcome:
    """Let a rule keep the fleet; what it orders comes minutes later.

    Reclaimed upstreams are gone at once and cost nothing more.
    """
    outcome = Outcome()
    ordered: deque[Counts] = deque(maxlen=START_MINUTES)
    for moment in moments:
        counts = find_running(ordered, moment)
        outcome.spent += compute_hourly_cost(PLAN, counts) / 60
        serve(outcome, moment.demand, counts)
        ordered.append(rule(moment, counts))
    return outcome


def find_running(ordered: deque[Counts], moment: Moment) -> Counts:
    """Tell what runs: what was ordered all through the starting time."""
    if not ordered:
        return {}
    return {
        place: 0
        if place in moment.unavailable
        else min(counts.get(place, 0) for counts in ordered)
        for place in ordered[-1]
    }


def serve(outcome: Outcome, demand: Demand, counts: Counts) -> None:
    """Serve humans on firm upstreams first, then training on the rest."""
    firm = sum(n for place, n in counts.items() if place.kind == 'firm') * 100
    spot = sum(n for place, n in counts.items() if place.kind == 'spot') * 100
    human = min(demand.human_tokens, firm + spot)
    outcome.exposed += max(0, human - firm)
    outcome.wanted += demand.human_tokens + demand.training_tokens
    outcome.served += min(
        demand.human_tokens + demand.training_tokens, firm + spot
    )


class PlanRule:
    """The fleet's plan, which knows when it changed each place."""

    def __init__(self) -> None:
        """Begin without changes."""
        self._grown: dict[FleetPlace, int] = {}
        self._wanted: Counts = {}

    def __call__(self, moment: Moment, counts: Counts) -> Counts:
        """Decide for one minute."""
        view = FleetView(
            counts=counts,
            unavailable=moment.unavailable,
            since_growth={
                place: (moment.minute - minute) * MINUTE
                for place, minute in self._grown.items()
            },
            budget_left=PLAN.budget_per_hour * 24,
        )
        wanted = plan_fleet(PLAN, moment.demand, view).counts
        for place, count in wanted.items():
            if count > self._wanted.get(place, 0):
                self._grown[place] = moment.minute
        self._wanted = wanted
        return wanted


def make_fixed(moments: list[Moment]) -> Rule:
    """Make the rule of a fixed fleet that bears the largest demand."""
    most = max(
        one.demand.human_tokens + one.demand.training_tokens for one in moments
    )
    each = math.ceil(most / PLAN.utilisation / 100 / len(HALLS))
    return lambda moment, counts: {
        FleetPlace(hall, 'firm'): each for hall in HALLS
    }


def follow_thresholds(moment: Moment, counts: Counts) -> Counts:
    """Add a firm upstream above one load and give one back below another."""
    total = sum(counts.values())
    demand = moment.demand.human_tokens + moment.demand.training_tokens
    load = demand / (total * 100) if total else 1
    if load > UPPER:
        total += 1
    elif load < LOWER:
        total -= 1
    share, rest = divmod(max(total, 1), len(HALLS))
    return {
        FleetPlace(hall, 'firm'): share + (index < rest)
        for index, hall in enumerate(HALLS)
    }


def find_least(moments: list[Moment]) -> float:
    """Work out the least money that bears the demand, known beforehand.

    Humans on as few firm upstreams as carry them; training on what they
    leave over and then on the cheapest that can be had.
    """
    spent = 0.0
    for moment in moments:
        firm = math.ceil(moment.demand.human_tokens / 100)
        over = firm * 100 - moment.demand.human_tokens
        rest = max(0, moment.demand.training_tokens - over)
        count = math.ceil(rest / 100)
        spot = len(HALLS) * 30 - len(moment.unavailable) * 30
        spent += (firm * 4 + min(count, spot) * 1.2) / 60
        spent += max(0, count - spot) * 4 / 60
    return spent


async def measure() -> list[Figure]:
    """Run the plan, a fixed fleet and thresholds on the same demand."""
    moments = make_moments(11)
    least = find_least(moments)
    plan = run_rule(moments, PlanRule())
    fixed = run_rule(moments, make_fixed(moments))
    steps = run_rule(moments, follow_thresholds)
    level = plan.served / plan.wanted
    return [
        Figure(
            'spend_ratio',
            plan.spent / least,
            'of the least',
            at_most(1.6),
            baseline=fixed.spent / least,
            detail=f'thresholds {steps.spent / least:.2f}; {DAYS} days, '
            f'upstreams come after {START_MINUTES} min',
        ),
        Figure(
            'service_level_ratio',
            level,
            'of the tokens',
            at_least(0.95),
            baseline=steps.served / steps.wanted,
            detail=f'fixed {fixed.served / fixed.wanted:.4f}; '
            'baseline is thresholds',
        ),
        Figure(
            'reclaimed_human_tokens',
            plan.exposed / plan.wanted,
            'of the tokens',
            at_most(0.01),
            detail='humans on upstreams that can be reclaimed',
        ),
    ]
