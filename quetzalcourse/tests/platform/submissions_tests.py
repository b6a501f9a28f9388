"""Tests of parsing batch submissions and encoding their results."""

from __future__ import annotations

import base64
import json
from typing import Any

import pytest

from quetzalcourse.platform.callers import (
    PlatformCallerDialect,
    read_milliseconds,
)
from quetzalcourse.state.batches import (
    ItemResult,
    ResultPage,
    ResultState,
    ScoringCall,
    Submission,
)

CALLERS = PlatformCallerDialect()
SCORER = {
    'id': 'c-1',
    'hostname': 'verse.example',
    'path': '/score/7',
    'body': base64.b64encode(b'text').decode(),
}


def read(**fields: Any) -> Submission:
    """Parse a submission of one item."""
    item = {'id': 'i-1', 'path': '/drill/1'} | fields
    body = json.dumps({'requests': [item]}).encode()
    return CALLERS.read_submission(body).unwrap()


def test_scorer_becomes_a_scoring_call() -> None:
    """The scorer's body is decoded; items without a scorer have no call."""
    call = read(scorer=SCORER).items[0].scoring
    assert call == ScoringCall('c-1', 'verse.example', '/score/7', b'text')
    assert read().items[0].scoring is None


@pytest.mark.parametrize('missing', ['id', 'hostname', 'path'])
def test_scorer_that_lacks_a_field_is_refused(missing: str) -> None:
    # A faulty client omits a field of the scorer. If accepted, its items
    # could never complete, and it would wait until they are abandoned.
    scorer = {name: SCORER[name] for name in SCORER if name != missing}
    body = {'requests': [{'id': 'i', 'path': '/', 'scorer': scorer}]}
    assert CALLERS.read_submission(json.dumps(body).encode()).is_err()


@pytest.mark.parametrize(
    ('headers', 'estimate'),
    [
        ({'X-Length-Hint': '93'}, 93),
        ({'x-length-hint': '93'}, 93),
        ({}, 0),
        ({'X-Length-Hint': ''}, 0),
        ({'X-Length-Hint': '-5'}, 0),
        ({'X-Length-Hint': 'long'}, 0),
        ({'X-Token-Counts': '664,8234'}, 0),
    ],
)
def test_length_hint_is_an_estimate(
    headers: dict[str, str],
    estimate: int,
) -> None:
    """A hint that is not a number is ignored; the header is forwarded."""
    item = read(headers=headers).items[0]
    assert item.length_estimate == estimate
    assert item.headers == headers


def test_score_is_written_only_for_scored_items() -> None:
    """Results of unscored items have no such field."""
    results = (
        ItemResult('a', ResultState.completed, 'text', [1], 'stamp'),
        ItemResult('b', ResultState.completed, 'text', [1]),
        ItemResult('c', ResultState.abandoned),
    )
    page = json.loads(CALLERS.write_page(ResultPage(3, 0, results)))
    assert page['results'][0]['score'] == 'stamp'
    assert 'score' not in page['results'][1]
    assert page['results'][2] == {
        'id': 'c',
        'state': 'abandoned',
        'text': '',
        'versions': [],
    }


@pytest.mark.parametrize(
    'content',
    [
        b'{"requests":' + b'[' * 20_000 + b']' * 20_000 + b'}',
        b'{"requests":[{"id":"i","path":"/","tokens":' + b'9' * 30 + b'}]}',
        b'{"requests":[],"step":' + b'9' * 30 + b'}',
        b'{"requests":[],"min_version":' + b'9' * 30 + b'}',
        b'{"requests":[],"desired_count":' + b'9' * 30 + b'}',
    ],
)
def test_submission_that_can_not_be_stored_is_refused(content: bytes) -> None:
    # Guards against an internal error in place of the reason for a refusal.
    assert CALLERS.read_submission(content).is_err()


def test_huge_length_hint_is_ignored() -> None:
    # Guards against an internal error for a hint that is only an estimate.
    assert (
        read(headers={'X-Length-Hint': '9' * 5000}).items[0].length_estimate
        == 0
    )


@pytest.mark.parametrize('text', ['1e300', '8.6e16', 'inf', 'nan'])
def test_endless_duration_can_be_added_up(text: str) -> None:
    # Guards against an internal error for the time that a caller waits.
    duration = read_milliseconds(text)
    assert duration is None or duration + duration > duration
