"""The thread that reads the platform's instance list."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING

from mulberrypass.model.store import Unavailable
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.store import InstanceList, ListedMachine

LOG = get_logger(__name__)
MIN_JITTER = 0.8
MAX_JITTER = 1.2
# Until the list has been read once, a member may know nobody else.
FIRST_READ_RETRY_S = 0.5


class InstanceListReader:
    """Reads the list periodically and passes it on.

    :param interval_s: returns the seconds until the next read
    :param on_list: called with each list on this reader's thread
    """

    def __init__(
        self,
        instances: InstanceList,
        interval_s: Callable[[], float],
        on_list: Callable[[tuple[ListedMachine, ...]], None],
        rng: random.Random,
    ) -> None:
        self._instances = instances
        self._interval_s = interval_s
        self._on_list = on_list
        self._rng = rng
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="membership-list", daemon=True
        )
        self._was_read = False
        self.error = "not read yet"

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread without waiting for it."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._read()
            interval_s = self._interval_s()
            if not self._was_read:
                interval_s = min(interval_s, FIRST_READ_RETRY_S)
            jitter = self._rng.uniform(MIN_JITTER, MAX_JITTER)
            self._stop.wait(interval_s * jitter)

    def _read(self) -> None:
        try:
            result = self._instances.listed()
        except Exception as exc:
            LOG.exception("list was not read")
            self.error = repr(exc)
            return
        if result.is_ok():
            self.error = ""
            self._was_read = True
            self._on_list(result.ok)
            return
        match result.error:
            case Unavailable(reason=reason):
                self.error = reason
            case _:
                self.error = "over the rate"


__all__ = ["InstanceListReader"]
