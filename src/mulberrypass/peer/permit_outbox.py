"""Batches the messages of one stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

LOG = get_logger(__name__)
T = TypeVar("T")
FLUSH_INTERVAL_S = 0.002
NON_URGENT_DELAY_S = 0.01


class Outbox(Generic[T]):
    """Messages to be sent on a stream; used on the loop's thread only.

    Urgent messages are sent immediately on an idle stream, and batched at
    the flush interval on a busy one. Others wait up to
    ``NON_URGENT_DELAY_S`` to be batched.
    """

    def __init__(self) -> None:
        self._messages: list[T] = []
        self._ready = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = 0.0

    def put(self, messages: Iterable[T], urgent: bool = True) -> None:
        """Queue messages; an empty batch is sent too."""
        self._messages.extend(messages)
        if urgent:
            self._ready.set()
        elif self._timer is None and not self._ready.is_set():
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(NON_URGENT_DELAY_S, self._ready.set)

    async def run(self, send: Callable[[list[T]], Awaitable[None]]) -> None:
        """Send queued messages until sending fails or the task ends."""
        loop = asyncio.get_running_loop()
        while True:
            await self._ready.wait()
            remaining_s = self._sent_at + FLUSH_INTERVAL_S - loop.time()
            if remaining_s > 0:
                await asyncio.sleep(remaining_s)
            try:
                await send(self._take_batch())
            except Exception as exc:
                LOG.info("stream ended in sending", error=repr(exc))
                return
            self._sent_at = loop.time()

    def _take_batch(self) -> list[T]:
        self._ready.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch, self._messages = self._messages, []
        return batch


__all__ = ["FLUSH_INTERVAL_S", "NON_URGENT_DELAY_S", "Outbox"]
