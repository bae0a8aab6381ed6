"""Requests that are passed on, and what engines answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.model.routes import RegisteredEngine

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """One request as a caller sent it.

    :param target: path and query, byte for byte
    :param headers: those that concern more than one connection
    :param wait_s: how long the caller will wait; ``None`` if not said
    :param prompt_tokens: tokens to be read in
    :param output_tokens: estimate of the tokens to be generated
    :param prefix: numbers for the parts of the prompt, outermost first
    :param after_event: a stream goes on after this event
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    wait_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[int, ...] = ()
    after_event: int | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine says of its load in an answer.

    :param slowness: how long work takes there, 1.0 as usual
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class EngineHead:
    """The head of an engine's answer.

    :param headers: those that concern more than one connection
    :param not_run: whether the engine says that the request did not run
    :param moved: whether another engine has the address now
    :param length: size of the body, where it is known
    """

    status: int
    headers: Headers
    not_run: bool
    moved: bool
    length: int | None
    load: EngineLoad | None


class EngineAnswer(ABC):
    """An engine's answer as it comes; used by one thread."""

    head: EngineHead

    @abstractmethod
    def read_some(self, deadline: Deadline) -> bytes:
        """Read what has come; empty at the whole answer's end.

        :raises WireError: where the answer is cut off
        """

    @abstractmethod
    def finish(self) -> None:
        """Keep the connection if the answer is whole, else close it."""

    @abstractmethod
    def abort(self) -> None:
        """End the connection; safe on any thread."""


class EngineClient(ABC):
    """Sends requests to engines. Safe on any thread."""

    @abstractmethod
    def send(
        self,
        engine: RegisteredEngine,
        req: RelayRequest,
        deadline: Deadline,
        on_open: Callable[[Callable[[], None]], None],
        head_deadline: Deadline,
    ) -> EngineAnswer:
        """Send a request and read the head of the answer.

        :param deadline: until when the engine may work; it is told so
        :param on_open: called with what ends the connection, before the
            request is sent
        :param patience: until when to wait for the head
        :raises WireError: where there is no whole head for this request
        """


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of the answer to a caller."""

    status: int
    headers: Headers
    length: int | None


@dataclass(frozen=True, slots=True)
class AnswerBody:
    """Bytes of the answer to a caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run and never will.

    :param reason: stable name of the reason
    :param retry_after_s: when a new attempt may succeed
    """

    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No route of the configuration in force takes the request."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended without an answer; it may have run.

    :param late: whether its time was over
    """

    reason: str
    late: bool = False


RelayEvent = AnswerHead | AnswerBody | Refused | NoRoute | Failed


class TruncatedAnswerError(Exception):
    """An answer that had begun can't be finished."""


class Relay(ABC):
    """Answers callers' requests. Safe on any thread."""

    @abstractmethod
    def run(
        self, req: RelayRequest, disconnected: Callable[[], bool]
    ) -> Generator[RelayEvent, None, None]:
        """Answer one request.

        The first event is a head, with the body after it, or the one event
        that ends the request.

        :param gone: whether the caller has left
        :raises TruncatedAnswerError: where an answer that has begun is cut off
        """


__all__ = [
    "AnswerBody",
    "AnswerHead",
    "TruncatedAnswerError",
    "EngineAnswer",
    "EngineClient",
    "EngineHead",
    "EngineLoad",
    "Failed",
    "Headers",
    "NoRoute",
    "Refused",
    "Relay",
    "RelayEvent",
    "RelayRequest",
]
