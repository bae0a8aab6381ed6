"""Hashes of the leading blocks of a prompt."""

from __future__ import annotations

import xxhash

BLOCK_WORDS = 16
MAX_BLOCKS = 32


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Hash each prefix of complete blocks, the shortest first.

    :returns: at most ``MAX_BLOCKS`` unsigned 64-bit hashes
    """
    words = prompt.split(maxsplit=BLOCK_WORDS * MAX_BLOCKS)
    whole = min(len(words) // BLOCK_WORDS, MAX_BLOCKS)
    hasher = xxhash.xxh3_64()
    hashes = []
    for block in range(whole):
        start = block * BLOCK_WORDS
        text = " ".join(words[start : start + BLOCK_WORDS])
        hasher.update(text.encode())
        hashes.append(hasher.intdigest())
    return tuple(hashes)


__all__ = ["BLOCK_WORDS", "MAX_BLOCKS", "prefix_hashes"]
