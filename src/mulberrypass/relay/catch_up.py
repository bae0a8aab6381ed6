"""Fetches newer routes from peers where the store does not bring them."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = get_logger(__name__)
# A feed brings a version to all instances in touch within some 10 ms of one
# another; one that heard of it from a peer and still lacks it then is cut off.
STORE_GRACE_S = 0.3


class CatchUp:
    """Asks a peer for a version that the store has not brought in time.

    Each heartbeat tells of the version again, while the document may be
    large: one fetch runs at a time, and none while the store is in time.

    :param in_force: version in force here
    :param fetch: fetches a version or a newer one and puts it in force;
        is told of a member that has it, and tells whether that was done
    :param pause: waits so many seconds
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
        """Note that a member has a version in force."""
        with self._lock:
            if version >= self._newest_version:
                self._newest_version, self._newest_member = version, member
            if self._running or self._newest_version <= self._in_force():
                return
            self._running = True
        threading.Thread(target=self._run, name="catch-up").start()

    def stop(self) -> None:
        """Fetch nothing more."""
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
