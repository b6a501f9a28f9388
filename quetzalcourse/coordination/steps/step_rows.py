"""Keys and contents of the rows of a step."""

from __future__ import annotations

import hashlib
from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

import msgspec

from quetzalcourse.exceptions import QuetzalcourseError
from quetzalcourse.state.decoding import decode_json
from quetzalcourse.state.refusal import Refusal, RefusalCode
from quetzalcourse.state.rows import ABSENT, Condition

if TYPE_CHECKING:
    from quetzalcourse.state.rows import Row, StoreFault

Content = TypeVar('Content')
OPEN_STEPS_PREFIX = 'steps-open/'
STORE_RETRY_AFTER = timedelta(seconds=2)


class StepLeaseLostError(QuetzalcourseError):
    """Raised when another daemon has taken over the step of a run."""


def build_step_key(trainer: str, step: int) -> str:
    """Build the key of a step's row."""
    return f'step/{trainer}/{step:012d}'


def build_open_key(trainer: str, step: int) -> str:
    """Build the key of the row that lists a step as open."""
    return f'{OPEN_STEPS_PREFIX}{trainer}/{step:012d}'


def parse_open_key(key: str) -> tuple[str, int]:
    """Parse trainer and step from the key of an open step's row."""
    trainer, _, step = key.removeprefix(OPEN_STEPS_PREFIX).rpartition('/')
    return trainer, int(step)


def build_lease_key(trainer: str, step: int) -> str:
    """Build the key of the lease on a step."""
    return f'lease/step/{trainer}/{step:012d}'


def build_delivery_key(trainer: str, step: int) -> str:
    """Build the key of a step's delivery record."""
    return f'step-delivery/{trainer}/{step:012d}'


def build_log_prefix(trainer: str, step: int) -> str:
    """Build the key prefix of a step's log."""
    return f'step-log/{trainer}/{step:012d}/'


def build_batch_key(trainer: str, step: int, position: int) -> str:
    """Build the key of a batch in a step's log."""
    return f'{build_log_prefix(trainer, step)}{position:08d}'


def build_claims_prefix(trainer: str, step: int) -> str:
    """Build the key prefix of a step's scoring claims."""
    return f'step-claim/{trainer}/{step:012d}/'


def build_prompts_name(content: bytes) -> str:
    """Build the name of a prompts object from its hash."""
    return f'prompts/{hashlib.sha256(content).hexdigest()}'


def encode(content: object) -> bytes:
    """Encode the content of a row."""
    return msgspec.json.encode(content)


def decode(row: Row, kind: type[Content]) -> Content:
    """Decode the content of a row."""
    return decode_json(row.content, kind)


def require_unchanged(key: str, row: Row | None) -> Condition:
    """Return the condition that a row is unchanged since it was read."""
    return Condition(key, row.version if row else ABSENT)


def refuse_store_unavailable(fault: StoreFault | None = None) -> Refusal:
    """Refuse because the platform's store did not answer."""
    return Refusal(
        RefusalCode.store_unavailable,
        "The platform's store gave no answer; ask again.",
        not_run=False,
        retry_after=STORE_RETRY_AFTER,
        step=fault.step if fault else 'step',
        peer=fault.peer if fault else 'table',
    )


def refuse_unknown_step(trainer: str, step: int) -> Refusal:
    """Refuse because the step does not exist."""
    return Refusal(
        RefusalCode.not_found,
        f'Trainer {trainer!r} has no step {step}.',
        not_run=True,
        step='find step',
    )
