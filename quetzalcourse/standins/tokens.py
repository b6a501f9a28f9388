"""Deterministic tokens of the engine stand-in, equal for equal requests."""

from __future__ import annotations

import xxhash

WORDS = ('ink', 'reel', 'moon', 'verse', 'gate', 'salt', 'wind', 'lamp')
MIN_TOKENS = 4


def make_token(prompt: str, seed: int, offset: int) -> str:
    """Generate the token at an offset of an answer."""
    digest = xxhash.xxh32_intdigest(f'{prompt}|{seed}|{offset}'.encode())
    return f' {WORDS[digest % len(WORDS)]}{digest % 97}'


def plan_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return the length of an answer; one in sixteen has ``max_tokens``."""
    digest = xxhash.xxh32_intdigest(f'length|{prompt}|{seed}'.encode())
    share = 1.0 if digest % 16 == 0 else (digest % 100) / 400
    return max(min(MIN_TOKENS, max_tokens), int(max_tokens * share))
