"""Rendezvous hashing, by which all processes pick the same member."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def weight(key: str, member: str) -> int:
    """Return the weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def pick(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight; ``None`` without members."""
    return max(
        members, key=lambda name: (weight(key, name), name), default=None
    )


__all__ = ["pick", "weight"]
