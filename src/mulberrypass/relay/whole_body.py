"""Bodies and events that are held until whole, within a bound for all."""

from __future__ import annotations

from collections import deque
import threading
from typing import TYPE_CHECKING, Self

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.held_bytes import ByteLimits, HeldBytes
from mulberrypass.relay.second_answer import without_second_answer
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.policy.held_bytes import Holding
    from mulberrypass.relay.api import EngineAnswer
    from mulberrypass.relay.second_answer import SecondAnswer

LOG = get_logger(__name__)
MAX_BODY_BYTES = 8_388_608
# Small parts are joined, as each object takes memory of its own.
BLOCK_BYTES = 65_536
TOO_LARGE = EngineFailed("answer too large", Ran.YES)
TURNED_AWAY = EngineFailed("too many bytes held", Ran.YES)
# Answers that wait for their callers hold them.
NO_ROOM = EngineFailed("no room for the bytes", Ran.YES)


class HeldBodies:
    """All bodies that a process holds until they are whole.

    Safe on any thread.

    :ivar most: most bytes that were held at any time
    :ivar turned_away: number of bodies that had to yield
    """

    def __init__(self, limits: ByteLimits | None = None) -> None:
        self._lock = threading.Lock()
        self._held = HeldBytes(limits or ByteLimits.of_memory())
        self._bodies: dict[Holding, HeldBody] = {}
        self.most = 0
        self.turned_away = 0

    @property
    def total(self) -> int:
        """Bytes held now."""
        return self._held.total

    def open(self, source: str, abort: Callable[[], None]) -> HeldBody:
        """Return an empty body.

        :param source: the engine, or a name for work of another kind
        :param abort: ends the answer if it has to yield; safe on any thread
        """
        with self._lock:
            holding = self._held.open(source)
            body = HeldBody(self, holding, abort)
            self._bodies[holding] = body
            return body

    def has_room(self, source: str) -> bool:
        """Return whether a source's whole bodies leave it room for others."""
        with self._lock:
            return self._held.has_room(source)

    def append(self, body: HeldBody, data: bytes) -> None:
        """Add bytes to a body; see ``HeldBody.append``."""
        with self._lock:
            if body.turned_away:
                raise WireError(body.failure)
            body.store(data)
            bodies = self._count(body, len(data))
        self._turn_away(body, bodies)

    def resize(self, body: HeldBody, size: int) -> None:
        """Count another number of bytes; see ``HeldBody.resize``."""
        with self._lock:
            if body.turned_away:
                raise WireError(body.failure)
            bodies = self._count(body, size - body.holding.size)
        self._turn_away(body, bodies)

    def complete(self, body: HeldBody) -> None:
        """Keep a body; see ``HeldBody.complete``."""
        with self._lock:
            if body.turned_away:
                raise WireError(body.failure)
            body.holding.may_yield = False

    def release(self, body: HeldBody, count: int) -> None:
        """Stop counting bytes that were handed on."""
        with self._lock:
            self._held.add(body.holding, -count)

    def close(self, body: HeldBody) -> None:
        """Stop counting a body."""
        with self._lock:
            self._bodies.pop(body.holding, None)
            self._held.close(body.holding)

    def _count(self, body: HeldBody, count: int) -> list[HeldBody]:
        """Count bytes; return the bodies that yield, without their bytes."""
        yielding = self._held.add(body.holding, count)
        self.most = max(self.most, self._held.total)
        self.turned_away += len(yielding)
        bodies = [self._bodies.pop(holding) for holding in yielding]
        for each in bodies:
            each.drop()
        return bodies

    def _turn_away(self, body: HeldBody, bodies: list[HeldBody]) -> None:
        """End the answers that yield.

        :raises WireError: if the given one is among them
        """
        for each in bodies:
            LOG.warning(
                "answer turned away",
                source=each.holding.source,
                reason=each.failure.reason,
                size=each.holding.size,
                held=self.total,
            )
            each.abort()
        if body in bodies:
            raise WireError(body.failure)


class HeldBody:
    """The bytes of one body; used by one thread, as a context.

    :ivar size: number of bytes received
    :ivar turned_away: whether it had to yield
    """

    def __init__(
        self, bodies: HeldBodies, holding: Holding, abort: Callable[[], None]
    ) -> None:
        self.holding = holding
        self.abort = abort
        self.size = 0
        self.turned_away = False
        self._bodies = bodies
        self._blocks: deque[bytearray] = deque()

    @property
    def failure(self) -> EngineFailed:
        """Why it had to yield."""
        return TURNED_AWAY if self.holding.at_fault else NO_ROOM

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, _kind: object, exc: BaseException | None, _trace: object
    ) -> None:
        self._blocks.clear()
        self._bodies.close(self)
        if self.turned_away and isinstance(exc, WireError):
            # The thread that turned it away has ended its connection.
            raise WireError(self.failure) from exc

    def append(self, data: bytes) -> None:
        """Add bytes.

        :raises WireError: if it has to yield
        """
        self._bodies.append(self, data)

    def resize(self, size: int) -> None:
        """Count bytes that the caller keeps itself.

        :raises WireError: if it has to yield
        """
        self._bodies.resize(self, size)

    def complete(self) -> None:
        """Keep it: a whole body doesn't yield.

        :raises WireError: if it had to yield before
        """
        self._bodies.complete(self)

    def shorten(self, second: SecondAnswer) -> None:
        """Drop the second answers behind a complete body.

        :raises BrokenBodyError: if they show that it isn't whole
        """
        if not all(self._holds(value) for value in second.values):
            return
        kept = without_second_answer(b"".join(self._blocks), second)
        surplus = self.size - len(kept)
        if surplus:
            self.size = len(kept)
            self._blocks = deque([bytearray(kept)])
            self._bodies.release(self, surplus)

    def _holds(self, value: bytes) -> bool:
        """Return whether the body contains some bytes; joins no blocks."""
        end = b""
        for block in self._blocks:
            if value in block or value in end + block[: len(value)]:
                return True
            end = (end + block[-len(value) :])[-len(value) :]
        return False

    def take_parts(self) -> Iterator[bytes]:
        """Remove and yield its parts, in order."""
        while self._blocks:
            part = bytes(self._blocks.popleft())
            yield part
            self._bodies.release(self, len(part))

    def store(self, data: bytes) -> None:
        """Add bytes; called with the lock held."""
        self.size += len(data)
        blocks = self._blocks
        if not blocks or len(blocks[-1]) + len(data) > BLOCK_BYTES:
            blocks.append(bytearray())
        blocks[-1] += data

    def drop(self) -> None:
        """Forget all bytes; called with the lock held."""
        self.turned_away = True
        self._blocks.clear()


def read_whole(answer: EngineAnswer, due: Deadline, body: HeldBody) -> None:
    """Read a body to its end.

    :raises WireError: if it is truncated, too large or has to yield
    """
    while data := answer.read_some(due):
        body.append(data)
        if body.size > MAX_BODY_BYTES:
            raise WireError(TOO_LARGE)
    body.complete()


__all__ = ["HeldBodies", "HeldBody", "NO_ROOM", "TURNED_AWAY", "read_whole"]
