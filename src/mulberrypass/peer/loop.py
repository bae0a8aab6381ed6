"""The thread that runs the event loop of all peer connections."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from concurrent.futures import Future

T = TypeVar("T")
STOP_TIMEOUT_S = 5.0


class LoopThread:
    """Runs one event loop; other threads use it through futures."""

    def __init__(self, name: str = "peer-loop") -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def submit(self, work: Coroutine[Any, Any, T]) -> Future[T]:
        """Run a coroutine on the loop from any thread."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def call(self, function: Callable[..., object], *args: Any) -> None:
        """Schedule a function call on the loop from any thread."""
        self.loop.call_soon_threadsafe(function, *args)

    def stop(self) -> None:
        """Cancel all tasks of the loop, and end the thread."""
        self.loop.call_soon_threadsafe(self._cancel_all)
        self._thread.join(STOP_TIMEOUT_S)

    def _cancel_all(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.call_soon(self.loop.stop)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()


__all__ = ["LoopThread"]
