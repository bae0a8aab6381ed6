"""Fetches newer routes from peers when the store feed lags behind."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = get_logger(__name__)
# The store feed reaches all connected instances within about 10 ms of each
# other. An instance that still lacks a version after this time is cut off.
STORE_GRACE_S = 0.3


class CatchUp:
    """Fetches a route table from a peer if the store doesn't deliver it.

    Every heartbeat announces the version again and the document may be
    large, so one fetch runs at a time, and none if the store is in time.

    :param in_force: returns the version in force here
    :param fetch: fetches the version or a newer one from the member and
        puts it in force; returns whether that succeeded
    :param pause: sleeps for a number of seconds
    """

    def __init__(
        self,
        in_force: Callable[[], int],
        fetch: Callable[[str, int], bool],
        pause: Callable[[float], object] | None = None,
    ) -> None:
        self._in_force = in_force
        self._fetch = fetch
        self._stopped = threading.Event()
        self._pause = pause or self._stopped.wait
        self._lock = threading.Lock()
        self._running = False
        self._newest_version = 0
        self._newest_member = ""

    def note_version(self, member: str, version: int) -> None:
        """Record that a member has a version in force."""
        with self._lock:
            if version >= self._newest_version:
                self._newest_version, self._newest_member = version, member
            if self._running or self._newest_version <= self._in_force():
                return
            self._running = True
        threading.Thread(target=self._run, name="catch-up").start()

    def stop(self) -> None:
        """Start no further fetches."""
        self._stopped.set()

    def _run(self) -> None:
        try:
            self._pause(STORE_GRACE_S)
            with self._lock:
                member, wanted = self._newest_member, self._newest_version
            if not self._stopped.is_set() and wanted > self._in_force():
                done = self._fetch(member, wanted)
                LOG.info("routes fetched", version=wanted, done=done)
        finally:
            with self._lock:
                self._running = False


__all__ = ["STORE_GRACE_S", "CatchUp"]
