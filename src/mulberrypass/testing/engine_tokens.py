"""Deterministic answers of stand-in engines."""

from __future__ import annotations

import json
from typing import Any

import xxhash

POISON = "poison"
CRASH = "crash"
LENGTH_PREFIX = "len="
SLOW_PREFIX = "slow="
MAX_SEED = 0xFFFF_FFFF


def expected_tokens(
    prompt: str, seed: int, count: int, first: int = 0
) -> tuple[str, ...]:
    """Return the tokens ``[first, count)`` of the answer to a prompt."""
    digest = xxhash.xxh32_intdigest(prompt.encode(), seed & MAX_SEED)
    return tuple(
        f"t{(digest + index * 2_654_435_761) >> 4 & 0xFFFF:04x}"
        for index in range(first, count)
    )


def output_tokens(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens that a stand-in generates.

    The word ``len=N`` in the prompt limits the answer to N tokens;
    ``slow=N`` makes it N times longer.
    """
    count = max_tokens
    factor = 1
    for word in prompt.split():
        if word.startswith(LENGTH_PREFIX):
            count = min(count, _number(word, LENGTH_PREFIX))
        if word.startswith(SLOW_PREFIX):
            factor = _number(word, SLOW_PREFIX)
    return max(1, count * factor)


def expected_result(payload: Any) -> dict[str, str]:
    """Return the result of a stand-in plain service for a payload."""
    body = json.dumps(payload, sort_keys=True).encode()
    return {"digest": xxhash.xxh64_hexdigest(body)}


def _number(word: str, prefix: str) -> int:
    digits = word.removeprefix(prefix)
    return max(1, int(digits)) if digits.isdigit() else 1


__all__ = [
    "CRASH",
    "POISON",
    "SLOW_PREFIX",
    "expected_result",
    "expected_tokens",
    "output_tokens",
]
