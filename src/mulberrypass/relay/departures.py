"""Keeps requests away from engines that have said that they leave."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.health.departures import MAX_DEPARTURES, Departures
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from mulberrypass.model.routes import RegisteredEngine

LOG = get_logger(__name__)
LEAVES = EngineFailed("engine leaves", Ran.NO)
MS_PER_S = 1_000
BOOT_SEPARATOR = "@"


class EngineLeavesError(WireError):
    """The request was not sent, because the engine leaves."""

    def __init__(self) -> None:
        super().__init__(LEAVES)


class DepartureGuard:
    """Remembers which starts of engines leave. Safe on any thread."""

    def __init__(self, unix_clock: Callable[[], float] = time.time) -> None:
        self._unix_clock = unix_clock
        self._lock = threading.Lock()
        self._departures = Departures()
        self._unreadable: dict[str, None] = {}
        self._told: frozenset[str] = frozenset()
        self._changed: list[Callable[[], None]] = []
        self._publishers: list[Callable[[str], None]] = []

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a callback for news, run on the thread that brings it."""
        self._changed.append(changed)

    def subscribe_answers(self, publish: Callable[[str], None]) -> None:
        """Register a callback for starts that have told this member.

        It must not block.
        """
        self._publishers.append(publish)

    def leaves(self, engine: RegisteredEngine) -> bool:
        """Return whether an engine has said that it leaves."""
        return self._departures.covers(engine.name, engine.born_ms)

    def check(self, engine: RegisteredEngine) -> None:
        """Check right before a request is written to an engine.

        :raises EngineLeavesError: if the engine has said that it leaves
        """
        if self.leaves(engine):
            raise EngineLeavesError

    def on_answer(
        self, engine: RegisteredEngine, request_id: str, status: int
    ) -> None:
        """Note that an answer says that its engine leaves.

        :param request_id: the request that was sent
        """
        at_ms = int(self._unix_clock() * MS_PER_S)
        with self._lock:
            news = self._departures.add_answer(
                engine.name, engine.born_ms, at_ms
            )
        if not news:
            return
        LOG.info(
            "engine says that it leaves",
            engine=engine.name,
            born_ms=engine.born_ms,
            id=request_id,
            status=status,
        )
        self._notify()
        for publish in self._publishers:
            publish(engine.boot)

    def on_other_value(self, engine: RegisteredEngine, value: str) -> None:
        """Note a value that doesn't say whether an engine leaves."""
        with self._lock:
            if engine.boot in self._unreadable:
                return
            while len(self._unreadable) >= MAX_DEPARTURES:
                del self._unreadable[next(iter(self._unreadable))]
            self._unreadable[engine.boot] = None
        LOG.warning(
            "leaving can't be read", engine=engine.name, value=value[:64]
        )

    def learn(self, boots: frozenset[str]) -> None:
        """Learn of all starts that other members were told of.

        :param boots: see ``RegisteredEngine.boot``; others are ignored
        """
        news: list[tuple[str, int]] = []
        told, self._told = self._told, boots
        for boot in sorted(boots - told):
            name, separator, born = boot.rpartition(BOOT_SEPARATOR)
            if not separator or not (born.isascii() and born.isdigit()):
                continue
            with self._lock:
                if self._departures.add(name, int(born)):
                    news.append((name, int(born)))
        for name, born_ms in news:
            LOG.info("engine was said to leave", engine=name, born_ms=born_ms)
        if news:
            self._notify()

    def forget(self, listed: Collection[str]) -> None:
        """Forget engines that aren't listed, if there are too many."""
        with self._lock:
            self._departures.forget(listed)

    def state(self) -> dict[str, Any]:
        """Return the last leaving start of each engine for a state dump."""
        with self._lock:
            return self._departures.starts()

    def _notify(self) -> None:
        for changed in self._changed:
            changed()


__all__ = ["DepartureGuard", "EngineLeavesError", "LEAVES"]
