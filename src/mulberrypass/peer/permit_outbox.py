"""Collects messages for one stream, so that many travel together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

LOG = get_logger(__name__)
T = TypeVar("T")
FLUSH_INTERVAL_S = 0.002


class Outbox(Generic[T]):
    """Messages that wait to be sent; used on the loop's thread only.

    What is put on a stream that was quiet goes at once; on a busy stream,
    messages are sent together at the flush interval.
    """

    def __init__(self, interval_s: float = FLUSH_INTERVAL_S) -> None:
        self._interval_s = interval_s
        self._messages: list[T] = []
        self._ready = asyncio.Event()

    def put(self, messages: Iterable[T]) -> None:
        """Add messages; an empty batch is sent too."""
        self._messages.extend(messages)
        self._ready.set()

    async def run(self, send: Callable[[list[T]], Awaitable[None]]) -> None:
        """Send what is put until the stream ends or the task does."""
        while True:
            await self._ready.wait()
            self._ready.clear()
            batch, self._messages = self._messages, []
            try:
                await send(batch)
            except Exception as exc:
                LOG.info("stream ended in sending", error=repr(exc))
                return
            await asyncio.sleep(self._interval_s)


__all__ = ["FLUSH_INTERVAL_S", "Outbox"]
