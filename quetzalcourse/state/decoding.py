"""Decoding of messages and rows that another process wrote."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from quetzalcourse.exceptions import QuetzalcourseError

Message = TypeVar('Message')

# JSON integers have no bound, but MessagePack ones have: a larger one would
# fail only when it is sent on to another daemon.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# Durations that timedelta can hold and add up.
Seconds = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
Milliseconds = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
MillisecondCount = Annotated[int, msgspec.Meta(ge=-(10**15), le=10**15)]
# The decoder raises RecursionError for content that is nested too deeply.
DECODING_ERRORS = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    OverflowError,
    RecursionError,
)
# Every number of so many digits fits into 64 bits.
MAX_COUNT_DIGITS = 18


class MalformedMessageError(QuetzalcourseError):
    """Content that does not have the expected form."""


def parse_count(text: str) -> int | None:
    """Parse a number without a sign that fits into 64 bits.

    :returns: ``None`` if it is none.
    """
    if len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None


def decode_json(
    content: bytes | bytearray | str, kind: type[Message]
) -> Message:
    """Decode JSON that another process wrote.

    :raises MalformedMessageError: if it does not have the expected form.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except DECODING_ERRORS as error:
        raise MalformedMessageError(str(error)) from error


def decode_msgpack(content: bytes, kind: type[Message]) -> Message:
    """Decode MessagePack that another process wrote.

    :raises MalformedMessageError: if it does not have the expected form.
    """
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except DECODING_ERRORS as error:
        raise MalformedMessageError(str(error)) from error
