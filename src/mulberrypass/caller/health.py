"""Health, readiness and state dump of a process over HTTP."""

from __future__ import annotations

from http import HTTPStatus
import time
from typing import TYPE_CHECKING

from mulberrypass.caller.auth import authenticate_operator
from mulberrypass.runtime.http import Answer, HttpRoute, Problem, json_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.runtime.dump import StateDump
    from mulberrypass.runtime.http import Reply, Request


class Health:
    """Handlers that report the state of one process.

    :param ready: returns why the process isn't ready; empty if it is
    """

    def __init__(
        self,
        configuration: ConfigurationSource,
        dump: StateDump,
        ready: Callable[[], str],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._configuration = configuration
        self._dump = dump
        self._ready = ready
        self._wall = wall

    def routes(self) -> tuple[HttpRoute, ...]:
        """Return the routes that every program has."""
        return (
            HttpRoute("GET", "/healthz", self.healthz),
            HttpRoute("GET", "/readyz", self.readyz),
            HttpRoute("GET", "/debug/state", self.state),
        )

    def healthz(self, _req: Request) -> Reply:
        """Answer ``GET /healthz``: the process is alive."""
        return json_answer({"status": "ok"})

    def readyz(self, _req: Request) -> Reply:
        """Answer ``GET /readyz``: whether to send it requests."""
        reason = self._ready()
        if reason:
            return Problem(HTTPStatus.SERVICE_UNAVAILABLE, "not_ready", reason)
        generation = self._configuration.current().generation
        return json_answer({"status": "ready", "generation": generation})

    def state(self, req: Request) -> Reply:
        """Answer ``GET /debug/state`` with the state dump."""
        cfg = self._configuration.current()
        operator = authenticate_operator(cfg, req, self._wall())
        if operator.is_error():
            return operator.error
        return Answer(self._dump.to_json())


__all__ = ["Health"]
