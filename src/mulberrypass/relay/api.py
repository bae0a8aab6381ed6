"""Interfaces and messages of the relay."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import field, replace
import hashlib
from http import HTTPStatus
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.relay.second_answer import SecondAnswer
from mulberrypass.relay.unread import ends_at_head

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterable

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.model.routes import RegisteredEngine

Headers = tuple[tuple[str, str], ...]
DIGEST_BYTES = 8
NO_STAMP = EngineFailed("an answer without a stamp", Ran.MAYBE)


@value_class
class RelayRequest:
    """A caller's request.

    :param target: path and query, byte for byte
    :param headers: end-to-end headers, without the hop-by-hop ones
    :param wait_s: how long the caller will wait; ``None`` if not given
    :param prompt_tokens: number of tokens in the prompt
    :param output_tokens: estimated number of tokens to generate
    :param prefix: 64-bit ids of the prompt's parts, outermost first
    :param after_event: id of the last event received, to resume a stream
    :param key: secret key that the caller sent; empty if none
    :param customer: name of the customer, as engines are told; empty if the
        request is no customer's
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
    key: str = field(default="", repr=False)
    customer: str = ""

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    @property
    def shared_parts(self) -> tuple[int, ...]:
        """The prompt's parts that other requests may share.

        The last part belongs to the request itself.
        """
        return self.prefix[:-1]

    def digest(self) -> int:
        """Return 64 bits that identify the request when it comes again.

        A cryptographic hash, so that nobody can make a request that passes
        for another caller's.
        """
        found = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for text in (self.host, self.method, self.target):
            data = text.encode("utf-8", "surrogateescape")
            found.update(len(data).to_bytes(DIGEST_BYTES))
            found.update(data)
        found.update(self.body)
        return int.from_bytes(found.digest())


@value_class
class EngineLoad:
    """An engine's load as reported in an answer.

    :param slowness: current service time relative to normal, which is 1.0;
        0 if unknown
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 0.0


@value_class
class EngineHead:
    """The head of an engine's answer.

    :param headers: end-to-end headers, without the hop-by-hop ones
    :param not_run: whether the engine reports that the request did not run
    :param moved: whether the address now belongs to another engine
    :param length: size of the body in bytes, if known
    :param limit_per_s: requests per second that the engine takes from all
        instances together; 0 if it names no limit, ``None`` if it can't be
        read
    :param ends_with_connection: whether only the end of the connection ends
        the body
    :param reused: whether the connection had carried another request before
    :param leaving: whether the engine says that it leaves
    :param marks: headers that only copies of this answer share
    :param stamped: whether it bears the stamp of an engine
    """

    status: int
    headers: Headers
    not_run: bool
    moved: bool
    length: int | None
    load: EngineLoad | None
    limit_per_s: float | None = 0.0
    ends_with_connection: bool = False
    reused: bool = False
    leaving: bool = False
    marks: Headers = ()
    stamped: bool = True

    @property
    def is_success(self) -> bool:
        """Whether the status says that the request succeeded."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    @property
    def slowness(self) -> float:
        """The engine's service time relative to normal; 0 if unknown."""
        return self.load.slowness if self.load is not None else 0.0

    @property
    def second(self) -> SecondAnswer | None:
        """What tells a copy of the answer in its body.

        ``None`` if the body has a known end, or nothing would tell a copy.
        """
        if not self.ends_with_connection or not self.marks:
            return None
        return SecondAnswer(self.marks)


class EngineAnswer(ABC):
    """An engine's answer, read as it arrives; used by one thread."""

    head: EngineHead

    @abstractmethod
    def read_some(self, deadline: Deadline) -> bytes:
        """Read available bytes; empty after the complete answer.

        :raises WireError: if the answer is truncated
        """

    @abstractmethod
    def finish(self) -> None:
        """Keep the connection if the answer is complete, else close it."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection; safe on any thread."""


def framing(answer: EngineAnswer | None) -> dict[str, bool]:
    """Return how the answer of an attempt came, as it is logged."""
    if answer is None:
        return {}
    head = answer.head
    return {"unframed": head.ends_with_connection, "reused": head.reused}


class EngineClient(ABC):
    """Sends requests to engines. Safe on any thread."""

    def send(
        self,
        engine: RegisteredEngine,
        req: RelayRequest,
        deadline: Deadline,
        on_open: Callable[[Callable[[], None]], None],
        head_deadline: Deadline,
    ) -> EngineAnswer:
        """Send a request and read the head of the answer.

        All runs of requests and items go through here, those that resume or
        settle an earlier one too.

        :param deadline: deadline of the work, which is sent to the engine
        :param on_open: called before the request is sent, with a function
            that closes the connection
        :param head_deadline: until when to wait for the head
        :raises WireError: if no complete head arrives for this request, or
            that of a success lacks the stamp of an engine
        """
        answer = self.exchange(engine, req, deadline, on_open, head_deadline)
        if answer.head.is_success and not answer.head.stamped:
            closed = ends_at_head(answer, deadline)
            # Closes the connection, which makes most engines stop.
            answer.finish()
            raise WireError(replace(NO_STAMP, closed=closed))
        return answer

    @abstractmethod
    def exchange(
        self,
        engine: RegisteredEngine,
        req: RelayRequest,
        deadline: Deadline,
        on_open: Callable[[Callable[[], None]], None],
        head_deadline: Deadline,
    ) -> EngineAnswer:
        """Send a request and read any head; the parameters are ``send``'s.

        :raises WireError: if no complete head arrives for this request
        """

    @abstractmethod
    def check_alive(
        self, engine: RegisteredEngine, deadline: Deadline
    ) -> None:
        """Check that the process of an engine has not ended.

        :raises WireError: if the engine refuses connections
        """


@value_class
class AnswerHead:
    """The head of the answer to a caller.

    :param length: size of the body in bytes, if known
    :param ends_with_connection: whether only the end of the connection may
        end the body; the length isn't sent then
    """

    status: int
    headers: Headers
    length: int | None
    ends_with_connection: bool = False


@value_class
class AnswerBody:
    """Part of the body of the answer to a caller."""

    data: bytes


@value_class
class Refused:
    """The request has not run and will not run.

    :param reason: stable reason code
    :param retry_after_s: delay after which a retry may succeed
    """

    reason: str
    retry_after_s: float


@value_class
class Unservable:
    """The request has not run, and no retry would succeed.

    :param reason: stable reason code
    """

    reason: str


@value_class
class NoRoute:
    """No route of the current configuration matches the request."""


@value_class
class Unauthorized:
    """The request bears no key of a customer; it has not run."""


@value_class
class QuotaExceeded:
    """The customer's limit is used up; the request has not run.

    :param retry_after_s: delay after which the limit has room again
    """

    retry_after_s: float


@value_class
class Failed:
    """The request ended without an answer; it may have run.

    :param late: whether its deadline had passed
    """

    reason: str
    late: bool = False


def part_names(parts: Iterable[int]) -> list[str]:
    """Return the ids of a prompt's parts as they are logged."""
    return [f"{part:x}" for part in parts]


def digest_name(digest: int) -> str:
    """Return a request's digest as it is logged."""
    return f"{digest:016x}"


FinalEvent = (
    Refused | Unservable | NoRoute | Unauthorized | QuotaExceeded | Failed
)
RelayEvent = AnswerHead | AnswerBody | FinalEvent


class TruncatedAnswerError(Exception):
    """An answer that has begun can't be completed."""


class Relay(ABC):
    """Answers callers' requests. Safe on any thread."""

    @abstractmethod
    def run(
        self, req: RelayRequest, disconnected: Callable[[], bool]
    ) -> Generator[RelayEvent, None, None]:
        """Answer one request.

        Yields either a head followed by the body, or a single event that
        ends the request.

        :param disconnected: returns whether the caller has disconnected
        :raises TruncatedAnswerError: if an answer that has begun ends early
        """


__all__ = [
    "AnswerBody",
    "AnswerHead",
    "EngineAnswer",
    "EngineClient",
    "EngineHead",
    "EngineLoad",
    "Failed",
    "FinalEvent",
    "Headers",
    "NoRoute",
    "QuotaExceeded",
    "Refused",
    "Relay",
    "RelayEvent",
    "RelayRequest",
    "TruncatedAnswerError",
    "Unauthorized",
    "Unservable",
    "framing",
    "digest_name",
    "part_names",
]
