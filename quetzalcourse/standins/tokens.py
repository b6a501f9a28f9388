"""Tokens that the stand-in engine makes up, the same for the same request."""

from __future__ import annotations

import xxhash

WORDS = ('ink', 'reel', 'moon', 'verse', 'gate', 'salt', 'wind', 'lamp')
MIN_TOKENS = 4


def make_token(prompt: str, seed: int, offset: int) -> str:
    """Make the token at an offset of an answer."""
    digest = xxhash.xxh32_intdigest(f'{prompt}|{seed}|{offset}'.encode())
    return f' {WORDS[digest % len(WORDS)]}{digest % 97}'


def plan_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Choose how long an answer becomes; a few become very long."""
    digest = xxhash.xxh32_intdigest(f'length|{prompt}|{seed}'.encode())
    share = 1.0 if digest % 16 == 0 else (digest % 100) / 400
    return max(min(MIN_TOKENS, max_tokens), int(max_tokens * share))
