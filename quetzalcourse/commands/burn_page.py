"""Self-contained HTML page of the error budgets' burn rates."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

from quetzalcourse.coordination.service_levels.burn import ALERT_RULES, Alert
from quetzalcourse.state.service_levels import Window

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzalcourse.coordination.service_levels.burn import LevelBurn

BAR_HEIGHT = 18
BAR_GAP = 6
LABEL_WIDTH = 60
PLOT_WIDTH = 420
FIGURE_WIDTH = 80
SMALLEST_SCALE = 1.0
COLOURS = {
    Alert.page: '#b3261e',
    Alert.ticket: '#b26a00',
    Alert.quiet: '#2e6f40',
}
STYLE = (
    'body{font-family:sans-serif;margin:2em;max-width:60em}'
    'table{border-collapse:collapse}'
    'td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:left}'
)
TITLE = 'Service-level burn'


def render_page(burns: Sequence[LevelBurn], unreachable: Sequence[str]) -> str:
    """Render the page.

    :param unreachable: daemons whose events are missing.
    """
    parts = [
        '<!doctype html><html lang="en"><head><meta charset="utf-8">',
        f'<title>{TITLE}</title><style>{STYLE}</style></head><body>',
        f'<h1>{TITLE}</h1>',
        *(render_missing(daemon) for daemon in unreachable),
        *(render_level(burn) for burn in burns),
        '</body></html>',
    ]
    return '\n'.join(parts) + '\n'


def render_missing(daemon: str) -> str:
    """Render a note that a daemon's events are missing."""
    return f'<p>No answer from {html.escape(daemon)}.</p>'


def render_level(burn: LevelBurn) -> str:
    """Render one service level with its plot."""
    rows = (
        ('objective', f'{burn.objective:.2%}'),
        ('events', f'{burn.events.total:.0f}'),
        ('bad events', f'{burn.events.bad:.0f}'),
        ('budget left', f'{burn.budget_left:.1%}'),
        ('alert', burn.alert.value),
        ('worst account', burn.worst_account or '-'),
        ('its good share', f'{burn.worst_share:.2%}'),
    )
    cells = ''.join(
        f'<tr><th>{name}</th><td>{html.escape(text)}</td></tr>'
        for name, text in rows
    )
    title = html.escape(burn.service_level)
    return (
        f'<h2>{title}</h2><table>{cells}</table>'
        f'<h3>Burn rate by window</h3>{plot_rates(burn)}'
        f'<p>{describe_limits()}</p>'
    )


def describe_limits() -> str:
    """Explain the dashed lines of a plot."""
    limits = [f'{rule.alert.value} at {rule.rate:g}' for rule in ALERT_RULES]
    return f'Dashed lines: {", ".join(limits)}.'


def plot_rates(burn: LevelBurn) -> str:
    """Draw the burn rates as bars, with a line at each alert threshold."""
    highest = max(
        SMALLEST_SCALE,
        *burn.rates.values(),
        *(rule.rate for rule in ALERT_RULES),
    )
    scale = PLOT_WIDTH / highest
    height = len(Window) * (BAR_HEIGHT + BAR_GAP)
    width = LABEL_WIDTH + PLOT_WIDTH + FIGURE_WIDTH
    bars = [
        draw_bar(index, window, burn, scale)
        for index, window in enumerate(Window)
    ]
    lines = [
        draw_limit(rule.rate * scale, height, COLOURS[rule.alert])
        for rule in ALERT_RULES
    ]
    return (
        f'<svg width="{width}" height="{height}" role="img" '
        f'aria-label="burn rate by window">{"".join(bars + lines)}</svg>'
    )


def draw_bar(
    index: int,
    window: Window,
    burn: LevelBurn,
    scale: float,
) -> str:
    """Draw the burn rate of one window.

    :param scale: pixels per unit of the burn rate.
    """
    rate = burn.rates[window]
    top = index * (BAR_HEIGHT + BAR_GAP)
    base = top + BAR_HEIGHT - BAR_GAP / 2
    length = rate * scale
    colour = COLOURS[burn.alert]
    return (
        f'<text x="0" y="{base:.0f}">{window.value}</text>'
        f'<rect x="{LABEL_WIDTH}" y="{top}" width="{length:.1f}" '
        f'height="{BAR_HEIGHT}" fill="{colour}"/>'
        f'<text x="{LABEL_WIDTH + length + BAR_GAP:.1f}" '
        f'y="{base:.0f}">{rate:.2f}</text>'
    )


def draw_limit(offset: float, height: int, colour: str) -> str:
    """Draw the threshold of an alert.

    :param offset: distance from a burn rate of zero, in pixels.
    """
    place = f'{LABEL_WIDTH + offset:.1f}'
    return (
        f'<line x1="{place}" y1="0" x2="{place}" y2="{height}" '
        f'stroke="{colour}" stroke-dasharray="4 3"/>'
    )
