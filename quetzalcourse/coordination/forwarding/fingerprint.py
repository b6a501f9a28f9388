"""Fingerprints by which repeated requests are known.

Each attempt of a caller has an id of its own, so an id does not tell whether a
request has come before. Its method, host, target, client account and body do.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 16
# Bytes of a body that count. Longer bodies are told apart by their beginning
# and their declared length, since they are sent on before their end is known.
BODY_BYTES = 262_144
LENGTH_BYTES = 8


def compute_fingerprint(
    method: str,
    host: str,
    target: str,
    client_account: str,
    body: Iterable[bytes],
    declared_length: int | None = None,
) -> str:
    """Compute the fingerprint of a request.

    :param target: path and query.
    :param body: pieces of the body, at least the first :data:`BODY_BYTES`.
    :param declared_length: length of a body that is not known whole.
    :returns: hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (method, host, target, client_account, str(declared_length)):
        field = text.encode(errors='surrogateescape')
        digest.update(len(field).to_bytes(LENGTH_BYTES))
        digest.update(field)
    left = BODY_BYTES
    for piece in body:
        digest.update(piece[:left])
        left -= len(piece)
        if left <= 0:
            break
    return digest.hexdigest()
