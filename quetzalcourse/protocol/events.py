"""Server-sent events of engines' and callers' streams."""

from __future__ import annotations

DATA_PREFIX = b'data: '
END_MARKER = b'[DONE]'
END_EVENT = b'data: [DONE]\n\n'


def encode_event(content: bytes) -> bytes:
    """Encode a JSON document as an event."""
    return DATA_PREFIX + content + b'\n\n'


def decode_line(line: bytes) -> bytes | None:
    """Return the data of an event line, ``None`` for any other line."""
    if not line.startswith(DATA_PREFIX):
        return None
    return line[len(DATA_PREFIX) :].strip()
