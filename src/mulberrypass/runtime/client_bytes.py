"""Bounds the bytes that a server holds for all of its clients."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Generic, TypeVar

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# A quarter of the smallest instance's 200 MB.
MAX_CLIENT_BYTES = 50_000_000
# Bytes of each connection that don't make it yield.
FREE_BYTES = 65_536
CHECK_S = 0.2
# Of the bound. Within the time above, callers on the same machine bring more
# than the whole bound.
CHECK_SHARE = 1 / 8

ChannelT = TypeVar("ChannelT")


@value_class
class Holder(Generic[ChannelT]):
    """A connection, and the bytes that are held for its client.

    :param may_end: whether the client is the one that is waited for
    """

    channel: ChannelT
    size: int
    may_end: bool


class ClientBytes:
    """Chooses the connections that end; used by the server's loop.

    :param limit: bytes held for all clients together
    """

    def __init__(self, limit: int = MAX_CLIENT_BYTES) -> None:
        self._limit = limit
        self._next_at = 0.0
        self._received = 0

    def note_received(self, count: int) -> None:
        """Note that clients have sent some bytes."""
        self._received += count

    def due(self) -> bool:
        """Return whether to check again."""
        now = time.monotonic()
        many = self._received >= self._limit * CHECK_SHARE
        if now < self._next_at and not many:
            return False
        self._next_at = now + CHECK_S
        self._received = 0
        return True

    def excess(
        self, holders: Iterable[Holder[ChannelT]]
    ) -> Iterator[Holder[ChannelT]]:
        """Yield those to end, the largest first, until the rest fits."""
        held = list(holders)
        total = sum(each.size for each in held)
        if total <= self._limit:
            return
        held.sort(key=lambda each: each.size, reverse=True)
        for each in held:
            if total <= self._limit or each.size <= FREE_BYTES:
                return
            if each.may_end:
                total -= each.size
                yield each


__all__ = ["MAX_CLIENT_BYTES", "ClientBytes", "Holder"]
