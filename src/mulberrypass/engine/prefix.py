"""Names of the leading blocks of a prompt, as prefix caches know them."""

from __future__ import annotations

import xxhash

BLOCK_WORDS = 16


def prefix_blocks(
    prompt: str, scope: str = "", limit: int | None = None
) -> tuple[int, ...]:
    """Hash each leading whole block of a prompt, outermost first.

    Equal hashes mean equal prompts up to the end of that block.

    :param scope: version and adapter; caches don't share across them
    :param limit: number of blocks after which to stop
    """
    words = prompt.split()
    whole = len(words) // BLOCK_WORDS
    count = whole if limit is None else min(whole, limit)
    blocks = []
    digest = xxhash.xxh64(scope.encode())
    for index in range(count):
        start = index * BLOCK_WORDS
        block = " ".join(words[start : start + BLOCK_WORDS])
        digest.update(block.encode() + b"\n")
        blocks.append(digest.intdigest())
    return tuple(blocks)


def prefix_scope(version: str, adapter: str | None) -> str:
    """Give the scope within which prompts share cached blocks."""
    return f"{version}|{adapter or ''}"


__all__ = ["BLOCK_WORDS", "prefix_blocks", "prefix_scope"]
