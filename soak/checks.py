"""Promises that the soak checks, from what callers and servers saw."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

from quetzalcourse.coordination.quarantine.records import MAX_CRASHES
from quetzalcourse.standins.rollout import documents
from quetzalcourse.standins.rollout.upstream import write_text

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from quetzalcourse.standins.rollout.cloud import UsageCall
    from quetzalcourse.standins.rollout.upstream import Run, UpstreamStandin
    from soak.callers import BatchRecord, Told

OK = 200
UNAVAILABLE = 503
QUARANTINED = b'"quarantined"'


def check_requests(told: Iterable[Told], runs: Iterable[Run]) -> list[str]:
    """Check lookups: whole answers, true refusals, one run where once."""
    counts = Counter(run.request_id for run in runs)
    return [
        fault
        for one in told
        for fault in _check_request(one, counts[one.request_id])
    ]


def _check_request(one: Told, ran: int) -> list[str]:
    faults = []
    if one.status == OK and one.body != b'answer to ' + one.request_id.encode():
        faults.append(f'{one.request_id} got {one.body[:60]!r}')
    if one.status != OK and QUARANTINED in one.body:
        faults.append(f'{one.request_id} was quarantined')
    if one.path != documents.NON_IDEMPOTENT_PREFIX:
        return faults
    if ran > 1:
        faults.append(f'{one.request_id} ran {ran} times')
    if one.status == UNAVAILABLE and ran:
        faults.append(f'{one.request_id} was refused and ran')
    return faults


def check_poison(
    ends: Mapping[str, int],
    later: Mapping[str, int],
    starts: int,
) -> list[str]:
    """Check requests that end servers.

    A daemon that has just started and reaches nobody may count anew; once all
    have come to rest, nothing runs such a request.

    :param ends: servers that ended until the last fault, by path.
    :param later: servers that ended until the end of the soak.
    :param starts: how often daemons were started.
    """
    faults = []
    for path, count in later.items():
        if count > MAX_CRASHES * starts:
            faults.append(f'{path}: {count} ends, {starts} starts')
        if count > max(ends.get(path, 0), MAX_CRASHES):
            faults.append(f'{path}: {count} ends, {ends.get(path, 0)} before')
    return faults


def check_batches(
    batches: Iterable[BatchRecord],
    runs: Iterable[Run],
) -> list[str]:
    """Check batches: each item once, whole, at one position for all."""
    ran = {run.request_id for run in runs}
    faults: list[str] = []
    for record in batches:
        faults += record.faults
        if record.accepted:
            faults += _check_accepted(record)
        elif record.refused_only and ran & set(record.items):
            faults.append(f'{record.id} was refused and ran')
    return faults


def _check_accepted(record: BatchRecord) -> list[str]:
    faults = []
    if not record.whole:
        faults.append(
            f'{record.id} has {len(record.pages)} of {len(record.items)}'
        )
    listed = Counter(one['id'] for one in record.pages.values())
    faults += [
        f'{record.id}: {item} stands {count} times'
        for item, count in listed.items()
        if count > 1
    ]
    faults += [
        fault
        for result in record.pages.values()
        for fault in _check_result(record, result)
    ]
    return faults


def _check_result(record: BatchRecord, result: dict[str, object]) -> list[str]:
    item = str(result['id'])
    if result['state'] != 'completed':
        return [f'{record.id}: {item} is {result["state"]}']
    if result['text'] != write_text(item):
        return [f'{record.id}: {item} is not whole']
    call = str(result.get('score', '')).partition('.')[2]
    wanted = f'score-of-{item}' if record.scored else ''
    if call != wanted:
        return [f'{record.id}: {item} has the score of {call!r}']
    versions = result['versions']
    if not isinstance(versions, list) or min(versions) < record.min_version:
        return [f'{record.id}: {item} was made with {versions}']
    return []


def check_orders(upstreams: Iterable[UpstreamStandin]) -> list[str]:
    """Check that orders came from one holder after another."""
    faults = []
    for upstream in upstreams:
        tokens = [token for _, token in upstream.state.order_tokens]
        if tokens != sorted(tokens):
            faults.append(f'{upstream.name} got tokens {tokens}')
        holders: dict[int, set[str]] = {}
        for holder, token in upstream.state.order_tokens:
            holders.setdefault(token, set()).add(holder)
        faults += [
            f'{upstream.name}: token {token} of {names}'
            for token, names in holders.items()
            if len(names) > 1
        ]
    return faults


def check_cold_starts(upstreams: Iterable[UpstreamStandin]) -> list[str]:
    """Check that no cold server got more requests than it bears."""
    return [
        f'{upstream.name} crashed under its first requests'
        for upstream in upstreams
        if upstream.cold.crashed
    ]


def check_usage(reports: Iterable[UsageCall]) -> list[str]:
    """Check that each window is over and has one figure.

    The sender's tokens never fall.
    """
    figures: dict[int, dict[str, int]] = {}
    faults = []
    for report in reports:
        known = figures.setdefault(report.window, report.counts)
        if known != report.counts:
            faults.append(f'window {report.window} has two figures')
        if report.arrived < (report.window + 1) * documents.WINDOW_SECONDS:
            faults.append(f'window {report.window} was reported before its end')
    pairs = itertools.pairwise(report.token for report in reports)
    faults += [
        f'token {second} after {first}'
        for first, second in pairs
        if second < first
    ]
    return faults
