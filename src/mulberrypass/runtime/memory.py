"""Limits what the C library keeps of freed memory."""

from __future__ import annotations

import ctypes

# ``M_ARENA_MAX`` of malloc.h in glibc.
M_ARENA_MAX = -8
# One arena for the main thread and one for all others. By default it is eight
# for each core, and what one thread has freed is of no use to another.
ARENAS = 2


def limit_arenas() -> None:
    """Let threads share the memory that they free.

    Has an effect on threads that start later. C libraries other than glibc
    have no such arenas.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_ARENA_MAX, ARENAS)


__all__ = ["limit_arenas"]
