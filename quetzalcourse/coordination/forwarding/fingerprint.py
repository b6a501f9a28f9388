"""Fingerprints that identify repeats of the same request.

Each attempt of a caller has a request id of its own, so the id can't identify
a repeat. The method, host, target, client account and body can.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 16
# Bytes of a body that are hashed. Longer bodies are distinguished by this
# prefix and their declared length, since they are forwarded before their end
# has arrived.
BODY_BYTES = 262_144
LENGTH_PREFIX_BYTES = 8


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
    :param body: chunks of the body, at least its first :data:`BODY_BYTES`.
    :param declared_length: length of a body that has not arrived completely.
    :returns: hexadecimal digest.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (method, host, target, client_account, str(declared_length)):
        field = text.encode(errors='surrogateescape')
        digest.update(len(field).to_bytes(LENGTH_PREFIX_BYTES))
        digest.update(field)
    remaining = BODY_BYTES
    for chunk in body:
        digest.update(chunk[:remaining])
        remaining -= len(chunk)
        if remaining <= 0:
            break
    return digest.hexdigest()
