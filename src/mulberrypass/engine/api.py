"""Interfaces of backend servers: requests, answers, orders and errors."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import field
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from expression import Result

    from mulberrypass.model.objects import Role
    from mulberrypass.model.outcome import Ran


@value_class
class GenerationRequest:
    """A request to a model engine to generate an answer.

    :param request_id: repeated in the answer, whose reader checks it
    :param chunk_tokens: tokens in each event after that of the first token
    :param seed: makes the answer reproducible by a second run
    """

    request_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    chunk_tokens: int = 1
    adapter: str | None = None
    seed: int = 0


@value_class
class Tokens:
    """Consecutive tokens of one answer.

    :param offset: index of the first of them in the answer
    """

    offset: int
    tokens: tuple[str, ...]


@value_class
class Finished:
    """The end of a complete answer.

    :param reason: ``stop`` or ``length``
    """

    reason: str
    completion_tokens: int


StreamEvent = Tokens | Finished


@value_class
class EngineFailed:
    """The backend server did not return a complete answer.

    :param ran: whether the work ran there
    :param resumable: whether the engine may still hold the stream, so that
        it can be resumed
    :param status: HTTP status; 0 if there was none
    :param permanent: whether the request itself is at fault, so that a retry
        would fail too
    :param closed: whether the connection ended before the answer did
    """

    reason: str
    ran: Ran
    resumable: bool = False
    status: int = 0
    permanent: bool = False
    closed: bool = field(default=False, compare=False)


@value_class
class LoadReport:
    """A model engine's report on its load, some seconds old.

    :param at: time of the figures, in seconds on the engine's clock
    """

    running: int
    waiting: int
    kv_used_tokens: int
    leaving: bool
    at: float
    versions: tuple[str, ...]


@value_class
class CacheEvent:
    """A change of an engine's prefix cache, reported with a delay.

    :param sequence: consecutive number; a gap means that events were lost
    :param stored: whether the block was stored, else evicted
    :param block: id of the block of a prompt prefix
    """

    sequence: int
    stored: bool
    block: int


@value_class
class LoadOrder:
    """An order to load a version, and adapters, into memory."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()


@value_class
class UnloadOrder:
    """An order to unload a version."""

    model: str
    version: str


@value_class
class RoleOrder:
    """An order to switch to a role."""

    role: Role


Order = LoadOrder | UnloadOrder | RoleOrder


@value_class
class StaleFence:
    """An order was rejected: the engine has seen a higher fencing number.

    :param highest: highest fencing number that the engine has seen
    """

    highest: int


class ModelEngine(ABC):
    """Client of one model engine."""

    @abstractmethod
    def generate(
        self, req: GenerationRequest, deadline_s: float
    ) -> Iterator[Result[StreamEvent, EngineFailed]]:
        """Run a generation; the last event is ``Finished`` or an error.

        Closing the iterator closes the connection, but doesn't cancel the
        generation.

        :param deadline_s: seconds from now after which the call fails
        """

    @abstractmethod
    def resume(
        self, request_id: str, offset: int, deadline_s: float
    ) -> Iterator[Result[StreamEvent, EngineFailed]]:
        """Resume an interrupted stream at a token offset."""

    @abstractmethod
    def cancel(self, request_id: str) -> Result[Tokens, EngineFailed]:
        """Cancel a generation and return the tokens that it has produced."""

    @abstractmethod
    def load(self) -> Result[LoadReport, EngineFailed]:
        """Read the engine's load report."""

    @abstractmethod
    def cache_events(
        self, after: int
    ) -> Result[tuple[CacheEvent, ...], EngineFailed]:
        """Read the cache events after a sequence number."""

    @abstractmethod
    def order(
        self, order: Order, fence: int
    ) -> Result[None, StaleFence | EngineFailed]:
        """Send an order with a fencing number."""


class PlainService(ABC):
    """Client of one server of a plain service."""

    @abstractmethod
    def call(
        self, request_id: str, payload: Any, deadline_s: float
    ) -> Result[Mapping[str, Any], EngineFailed]:
        """Make one call; the answer must carry the same request id."""


__all__ = [
    "CacheEvent",
    "EngineFailed",
    "Finished",
    "GenerationRequest",
    "LoadOrder",
    "LoadReport",
    "ModelEngine",
    "Order",
    "PlainService",
    "RoleOrder",
    "StaleFence",
    "StreamEvent",
    "Tokens",
    "UnloadOrder",
]
