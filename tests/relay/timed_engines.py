"""Engines whose answers take their time, until somebody closes them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import CUT, LATE, WireError
from mulberrypass.relay.api import EngineAnswer, EngineClient, EngineHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.model.routes import RegisteredEngine
    from mulberrypass.relay.api import RelayRequest

NEVER_S = 60.0


@dataclass(slots=True)
class Timed:
    """The answer of an engine to one call.

    :param parts: delays in seconds, and what comes after them
    """

    parts: list[tuple[float, bytes | EngineFailed]]
    head_s: float = 0.0
    status: int = 200
    not_run: bool = False
    unframed: bool = False


@dataclass(slots=True, eq=False)
class TimedCall:
    """A call of an engine.

    :ivar closed_at: when somebody closed its connection
    :ivar ended_at: when its caller was done with it
    :ivar ran: whether the engine may have run it
    """

    engine: str
    req: RelayRequest
    sent_at: float = field(default_factory=time.monotonic)
    closed: threading.Event = field(default_factory=threading.Event)
    closed_at: float | None = None
    ended_at: float | None = None
    ran: bool = True

    def close(self) -> None:
        """Close the connection."""
        if self.closed_at is None and self.ended_at is None:
            self.closed_at = time.monotonic()
        self.closed.set()

    def wait(self, seconds: float, deadline: Deadline) -> None:
        """Let time pass; raise ``WireError`` if the call ends before."""
        left_s = deadline.at - time.monotonic()
        if self.closed.wait(max(0.0, min(seconds, left_s))):
            raise WireError(CUT)
        if seconds > left_s:
            raise WireError(LATE)


class TimedAnswer(EngineAnswer):
    """Plays the parts of an answer."""

    def __init__(self, timed: Timed, call: TimedCall) -> None:
        self.head = EngineHead(
            timed.status,
            (("X-Stamp", call.engine),),
            timed.not_run,
            False,
            None,
            None,
            ends_with_connection=timed.unframed,
        )
        self._parts = deque(timed.parts)
        self._call = call

    def read_some(self, deadline: Deadline) -> bytes:
        """Return the next part when its time has come."""
        if not self._parts:
            self._call.wait(0.0, deadline)
            return b""
        delay_s, part = self._parts[0]
        self._call.wait(delay_s, deadline)
        self._parts.popleft()
        if isinstance(part, EngineFailed):
            raise WireError(part)
        return part

    def finish(self) -> None:
        """End the call."""
        if self._call.ended_at is None:
            self._call.ended_at = time.monotonic()

    def abort(self) -> None:
        """Close the connection."""
        self._call.close()


class TimedEngines(EngineClient):
    """Answers the calls of each engine in order; the last answer repeats."""

    def __init__(self, **answers: list[Timed | EngineFailed]) -> None:
        self._answers = {name: deque(each) for name, each in answers.items()}
        self._lock = threading.Lock()
        self.calls: list[TimedCall] = []
        self.alive = True

    def exchange(
        self,
        engine: RegisteredEngine,
        req: RelayRequest,
        _deadline: Deadline,
        on_open: Callable[[Callable[[], None]], None],
        head_deadline: Deadline,
    ) -> EngineAnswer:
        """Record the call, and answer it."""
        with self._lock:
            answers = self._answers[engine.name]
            timed = answers.popleft() if len(answers) > 1 else answers[0]
            call = TimedCall(engine.name, req)
            self.calls.append(call)
        on_open(call.close)
        if isinstance(timed, EngineFailed):
            raise WireError(timed)
        call.wait(timed.head_s, head_deadline)
        return TimedAnswer(timed, call)

    def check_alive(
        self, _engine: RegisteredEngine, _deadline: Deadline
    ) -> None:
        """Answer as ``alive`` says."""
        if not self.alive:
            raise WireError(CUT)

    def of(self, engine: str) -> list[TimedCall]:
        """Return the calls of one engine."""
        return [call for call in self.calls if call.engine == engine]


__all__ = ["NEVER_S", "Timed", "TimedCall", "TimedEngines"]
