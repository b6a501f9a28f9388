"""Check the guarantees from what callers and servers recorded."""

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
    from soak.callers import BatchRecord, RequestOutcome
    from soak.daemons import Interruption
    from soak.leavers import EndedBatch

OK = 200
UNAVAILABLE = 503
QUARANTINED = b'"quarantined"'
# Share by which the reported usage may differ from the served requests.
USAGE_TOLERANCE = 0.05
# The daemons' time may differ from the true one by this much while the link to
# the store is slow.
TIME_ERROR_SECONDS = 0.3
# Time by which no item of an ended batch starts any more.
CANCEL_SECONDS = 3.0
# A daemon that is killed while the store fails may lose the counts of this
# time; one that was paused writes its counts this late.
UNWRITTEN_SECONDS = 6.0


def check_requests(
    request_outcomes: Iterable[RequestOutcome], runs: Iterable[Run]
) -> list[str]:
    """Check the responses to lookups and how often each one ran.

    A response is complete, a refused request ran nowhere, and a non-idempotent
    one ran at most once.
    """
    counts = Counter(run.request_id for run in runs)
    return [
        violation
        for outcome in request_outcomes
        for violation in _check_request(outcome, counts[outcome.request_id])
    ]


def _check_request(outcome: RequestOutcome, run_count: int) -> list[str]:
    violations = []
    if (
        outcome.status == OK
        and outcome.body != b'answer to ' + outcome.request_id.encode()
    ):
        violations.append(f'{outcome.request_id} got {outcome.body[:60]!r}')
    if outcome.status != OK and QUARANTINED in outcome.body:
        violations.append(f'{outcome.request_id} was quarantined')
    if outcome.path != documents.NON_IDEMPOTENT_PREFIX:
        return violations
    if run_count > 1:
        violations.append(f'{outcome.request_id} ran {run_count} times')
    if outcome.status == UNAVAILABLE and run_count:
        violations.append(f'{outcome.request_id} was refused and ran')
    return violations


def check_poison(
    crashes_at_rest: Mapping[str, int],
    final_crashes: Mapping[str, int],
    daemon_starts: int,
) -> list[str]:
    """Check that requests which crash servers are quarantined.

    A daemon that has just started and reaches no peer may count crashes from
    zero. Once all daemons have settled, no server runs such a request.

    :param crashes_at_rest: number of crashes by path when the daemons had
        settled after the last fault.
    :param final_crashes: number of crashes by path at the end of the soak.
    :param daemon_starts: number of starts of all daemons.
    """
    violations = []
    for path, count in final_crashes.items():
        if count > MAX_CRASHES * daemon_starts:
            violations.append(f'{path}: {count} ends, {daemon_starts} starts')
        if count > max(crashes_at_rest.get(path, 0), MAX_CRASHES):
            violations.append(
                f'{path}: {count} ends, {crashes_at_rest.get(path, 0)} before'
            )
    return violations


def check_batches(
    batches: Iterable[BatchRecord],
    runs: Iterable[Run],
) -> list[str]:
    """Check that each item is complete and has one position for all readers."""
    executed_ids = {run.request_id for run in runs}
    violations: list[str] = []
    for record in batches:
        violations += record.violations
        if record.accepted:
            violations += _check_accepted(record)
        elif record.always_unavailable and executed_ids & set(record.items):
            violations.append(f'{record.id} was refused and ran')
    return violations


def _check_accepted(record: BatchRecord) -> list[str]:
    violations = []
    if not record.complete:
        violations.append(
            f'{record.id} has {len(record.results)} of {len(record.items)}'
        )
    item_counts = Counter(result['id'] for result in record.results.values())
    violations += [
        f'{record.id}: {item} stands {count} times'
        for item, count in item_counts.items()
        if count > 1
    ]
    violations += [
        violation
        for result in record.results.values()
        for violation in _check_result(record, result)
    ]
    return violations


def _check_result(record: BatchRecord, result: dict[str, object]) -> list[str]:
    item = str(result['id'])
    if result['state'] != 'completed':
        return [f'{record.id}: {item} is {result["state"]}']
    if result['text'] != write_text(item):
        return [f'{record.id}: {item} is not whole']
    call = str(result.get('score', '')).partition('.')[2]
    expected_call = f'score-of-{item}' if record.scored else ''
    if call != expected_call:
        return [f'{record.id}: {item} has the score of {call!r}']
    versions = result['versions']
    if not isinstance(versions, list) or min(versions) < record.min_version:
        return [f'{record.id}: {item} was made with {versions}']
    return []


def check_ended_batches(
    batches: Iterable[EndedBatch], runs: Iterable[Run], calm_since: float
) -> list[str]:
    """Check that no item of an ended batch starts while nothing is disturbed.

    :param calm_since: monotonic time in seconds of the end of the last fault.
    """
    started = {run.request_id: run.at for run in runs}
    return [
        f'{batch.id}: {item} began {started[item] - batch.ended_at:.1f} s late'
        for batch in batches
        if batch.ended_at
        for item in batch.items
        if started.get(item, 0)
        > max(batch.ended_at, calm_since) + CANCEL_SECONDS
    ]


def check_slots(counted: Mapping[str, float]) -> list[str]:
    """Check that no daemon counts a slot once nothing runs any more.

    :param counted: counted slots by daemon.
    """
    return [
        f'{name} counts {slots} slots in use'
        for name, slots in counted.items()
        if slots
    ]


def check_fencing_tokens(upstreams: Iterable[UpstreamStandin]) -> list[str]:
    """Check that fencing tokens of orders never fall and have one holder."""
    violations = []
    for upstream in upstreams:
        tokens = [token for _, token in upstream.state.order_tokens]
        if tokens != sorted(tokens):
            violations.append(f'{upstream.name} got tokens {tokens}')
        holders: dict[int, set[str]] = {}
        for holder, token in upstream.state.order_tokens:
            holders.setdefault(token, set()).add(holder)
        violations += [
            f'{upstream.name}: token {token} of {names}'
            for token, names in holders.items()
            if len(names) > 1
        ]
    return violations


def check_cold_starts(upstreams: Iterable[UpstreamStandin]) -> list[str]:
    """Check that no cold server crashed from requests beyond its capacity."""
    return [
        f'{upstream.name} crashed under its first requests'
        for upstream in upstreams
        if upstream.cold.crashed
    ]


def check_usage(reports: Iterable[UsageCall]) -> list[str]:
    """Check that each window is reported after its end and with one figure.

    The fencing tokens of the reports never fall.
    """
    counts_by_window: dict[int, dict[str, int]] = {}
    violations = []
    for report in reports:
        first_counts = counts_by_window.setdefault(report.window, report.counts)
        if first_counts != report.counts:
            violations.append(f'window {report.window} has two figures')
        if report.arrived < (report.window + 1) * documents.WINDOW_SECONDS:
            violations.append(
                f'window {report.window} was reported before its end'
            )
    token_pairs = itertools.pairwise(report.token for report in reports)
    violations += [
        f'token {later} after {earlier}'
        for earlier, later in token_pairs
        if later < earlier
    ]
    return violations


def check_billing(
    reports: Iterable[UsageCall],
    request_outcomes: Iterable[RequestOutcome],
    interruptions: Iterable[Interruption],
) -> list[str]:
    """Check that reported windows include the requests that were answered.

    Windows near a stop or a pause of a daemon may lack some of its counts.
    """
    reported = {
        report.window: sum(report.counts.values()) for report in reports
    }
    interrupted = tuple(interruptions)
    served = Counter(
        _find_window(outcome.sent)
        for outcome in request_outcomes
        if outcome.status == OK and _ran_in_one_window(outcome)
    )
    return [
        f'window {window} has {reported[window]} of {count} requests'
        for window, count in served.items()
        if window in reported
        and reported[window] < count * (1 - USAGE_TOLERANCE)
        and not _is_interrupted(window, interrupted)
    ]


def _find_window(seconds: float) -> int:
    return int(seconds // documents.WINDOW_SECONDS)


def _ran_in_one_window(outcome: RequestOutcome) -> bool:
    """Return whether a request was certainly counted in one known window."""
    earliest = _find_window(outcome.sent - TIME_ERROR_SECONDS)
    latest = _find_window(outcome.answered + TIME_ERROR_SECONDS)
    return earliest == latest


def _is_interrupted(
    window: int,
    interruptions: Iterable[Interruption],
) -> bool:
    """Return whether a stop or pause may have cost a window some counts."""
    began = window * documents.WINDOW_SECONDS
    ended = began + documents.WINDOW_SECONDS
    return any(
        one.began - UNWRITTEN_SECONDS < ended
        and began < one.ended + UNWRITTEN_SECONDS
        for one in interruptions
    )
