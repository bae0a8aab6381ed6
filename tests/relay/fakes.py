"""Fakes of the relay's collaborators."""

from __future__ import annotations

from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.model.routes import (
    RegisteredEngine,
    RelayRoute,
    RelayService,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from mulberrypass.peer.api import PermitClient
from mulberrypass.policy.messages import Grant, Refuse, Release
from mulberrypass.relay.api import (
    EngineAnswer,
    EngineClient,
    EngineHead,
    EngineLoad,
    RelayRequest,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.policy.messages import (
        Ask,
        PermitMessage,
        RefusalReason,
    )
    from mulberrypass.relay.crash_guard import CrashGuard

HOST = "dock.example"
NOT_RUN = EngineFailed("no connection", Ran.NO)
CUT = EngineFailed("cut", Ran.MAYBE)


def route(**fields: Any) -> RelayRoute:
    """Return a route for streams."""
    values: dict[str, Any] = {
        "name": "lookup",
        "host": HOST,
        "prefix": "/lookup/",
        "kind": RouteKind.STREAM,
        "services": (ServiceShare("rackmind", 1.0),),
        "timeout_s": 5.0,
        "target_s": 0.3,
        "max_attempts": 2,
    }
    return RelayRoute(**(values | fields))


def table(*routes: RelayRoute, version: int = 1) -> RouteTable:
    """Return a table of routes and the services that they lead to."""
    names = {s.service for r in routes for s in r.services}
    services = {name: RelayService(name, event_tokens=6) for name in names}
    return RouteTable(version, routes, services)


def engine(name: str, **fields: Any) -> RegisteredEngine:
    """Return a registered engine."""
    values: dict[str, Any] = {
        "service": "rackmind",
        "address": "127.0.0.1:1",
        "zone": "a",
        "slots": 8,
    }
    return RegisteredEngine(name, **(values | fields))


def request(**fields: Any) -> RelayRequest:
    """Return a request for a stream."""
    values: dict[str, Any] = {
        "request_id": "r1",
        "method": "POST",
        "host": HOST,
        "target": "/lookup/1?q=2",
        "headers": (("x-a", "b"),),
        "body": b"body",
        "wait_s": 5.0,
        "prompt_tokens": 10,
        "output_tokens": 20,
    }
    return RelayRequest(**(values | fields))


def event(number: int) -> bytes:
    """Return the bytes of an event."""
    return f"id: {number}\ndata: {number}\n\n".encode()


@dataclass(slots=True)
class Script:
    """The scripted answer to one call of an engine.

    :param parts: bytes of the body; an ``EngineFailed`` ends it
    :param before: called before the answer is returned
    """

    status: int = 200
    not_run: bool = False
    ends_with_connection: bool = False
    leaving: bool = False
    stamped: bool = True
    stamp: str = "s"
    load: EngineLoad | None = None
    parts: list[bytes | EngineFailed] = field(default_factory=list)
    before: Callable[[], object] | None = None


class ScriptedAnswer(EngineAnswer):
    """Returns the parts of a script."""

    def __init__(
        self, script: Script, log: list[str], deadlines: list[Deadline]
    ) -> None:
        headers = (("X-Stamp", script.stamp),)
        self.head = EngineHead(
            script.status,
            headers,
            script.not_run,
            False,
            None,
            script.load,
            ends_with_connection=script.ends_with_connection,
            leaving=script.leaving,
            stamped=script.stamped,
        )
        self._parts = deque(script.parts)
        self._log = log
        self._deadlines = deadlines

    def read_some(self, deadline: Deadline) -> bytes:
        """Return the next part, or raise it if it is a failure."""
        self._deadlines.append(deadline)
        if not self._parts:
            return b""
        part = self._parts.popleft()
        if isinstance(part, EngineFailed):
            raise WireError(part)
        return part

    def finish(self) -> None:
        """Record the call."""
        self._log.append("finish")

    def abort(self) -> None:
        """Record the call."""
        self._log.append("abort")


class ScriptedEngines(EngineClient):
    """Answers calls from a list of scripts, in order."""

    def __init__(self, *scripts: Script | EngineFailed) -> None:
        self._scripts = deque(scripts)
        self.sent: list[tuple[str, RelayRequest]] = []
        self.deadlines: list[Deadline] = []
        self.log: list[str] = []
        self.checked: list[str] = []
        self.alive = True

    def exchange(
        self,
        engine: RegisteredEngine,
        req: RelayRequest,
        _deadline: Deadline,
        on_open: Callable[[Callable[[], None]], None],
        head_deadline: Deadline,
    ) -> EngineAnswer:
        """Record the request and play the next script."""
        self.sent.append((engine.name, req))
        self.deadlines.append(head_deadline)
        on_open(lambda: self.log.append("abort"))
        script = self._scripts.popleft()
        if isinstance(script, EngineFailed):
            raise WireError(script)
        if script.before is not None:
            script.before()
        return ScriptedAnswer(script, self.log, self.deadlines)

    def check_alive(
        self, engine: RegisteredEngine, _deadline: Deadline
    ) -> None:
        """Record the call."""
        self.checked.append(engine.name)
        if not self.alive:
            raise WireError(NOT_RUN)


class ScriptedPermits(PermitClient):
    """Grants the first engine that the request doesn't avoid."""

    def __init__(self, *engines: str) -> None:
        self._engines = engines
        self.asks: list[Ask] = []
        self.told: list[PermitMessage] = []
        self.refusal: tuple[RefusalReason, float] | None = None
        self.silent = False
        self.on_ask: Callable[[], None] | None = None
        self.revoke: Callable[[], None] | None = None

    def grant_only(self, engine: str) -> None:
        """Grant only this engine from now on."""
        self._engines = (engine,)

    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Answer at once, unless ``silent`` is set."""
        self.asks.append(ask)
        self.revoke = on_revoke
        if self.on_ask is not None:
            self.on_ask()
        answer: Future[Grant | Refuse] = Future()
        free = [n for n in self._engines if n not in ask.avoid]
        if self.silent:
            return answer
        if self.refusal is not None:
            answer.set_result(Refuse(ask.ask_id, *self.refusal))
        elif free:
            answer.set_result(Grant(ask.ask_id, free[0]))
        else:
            reason = _no_backend()
            answer.set_result(Refuse(ask.ask_id, reason, 1.0))
        return answer

    def tell(self, message: PermitMessage) -> None:
        """Record the message."""
        self.told.append(message)

    @property
    def released(self) -> list[str]:
        """The outcomes with which permits were released."""
        return [
            message.outcome.value
            for message in self.told
            if isinstance(message, Release)
        ]

    @property
    def outcomes(self) -> list[list[str]]:
        """The release and any verdicts of each permit that was released."""
        found: dict[str, list[str]] = {}
        for message in self.told:
            if isinstance(message, Release):
                outcomes = found.setdefault(message.ask_id, [])
                outcomes.append(message.outcome.value)
        return list(found.values())


def make_dependencies(
    engines: EngineClient,
    permits: PermitClient,
    *routes: RelayRoute,
    guard: CrashGuard | None = None,
) -> RelayDependencies:
    """Return dependencies with a directory of two engines."""
    directory = Directory()
    directory.apply_routes(table(*(routes or (route(),))))
    directory.set_engines([engine("e1"), engine("e2")])
    acquirer = PermitAcquirer("entry@a", permits, directory, guard)
    return RelayDependencies(directory, acquirer, engines, CallWatch())


def _no_backend() -> RefusalReason:
    from mulberrypass.policy.messages import RefusalReason

    return RefusalReason.NO_BACKEND
