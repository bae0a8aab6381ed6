"""Rendezvous hashing: every process picks the same member for a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def weight(key: str, member: str) -> int:
    """Give the weight that a member has for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def pick(key: str, members: Iterable[str]) -> str | None:
    """Give the member with the highest weight; ``None`` where none is."""
    return max(
        members, key=lambda name: (weight(key, name), name), default=None
    )


__all__ = ["pick", "weight"]
