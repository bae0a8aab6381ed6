"""What the system asks of backend servers, and the errors it can meet."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from expression import Result

    from mulberrypass.model.objects import Role
    from mulberrypass.model.outcome import Ran


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """One generation asked of a model engine.

    :param request_id: the caller's end of the answer checks it
    :param chunk_tokens: tokens in each event after the first token's
    :param seed: fixes the answer, so that a second run gives the same one
    """

    request_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    chunk_tokens: int = 1
    adapter: str | None = None
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Tokens:
    """Tokens of one answer, in order and without gaps.

    :param offset: index in the answer of the first of the tokens
    """

    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finished:
    """The whole answer has been given.

    :param reason: ``stop`` or ``length``
    """

    reason: str
    completion_tokens: int


StreamEvent = Tokens | Finished


@dataclass(frozen=True, slots=True)
class EngineFailed:
    """The backend server did not give the whole answer.

    :param ran: whether the work ran there
    :param resumable: whether the engine may still hold the stream
    :param status: HTTP status, 0 where there was none
    :param permanent: whether the item itself is at fault
    """

    reason: str
    ran: Ran
    resumable: bool = False
    status: int = 0
    permanent: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a model engine says of its load, some seconds late.

    :param at: the engine's clock in seconds when the figures held
    """

    running: int
    waiting: int
    kv_used_tokens: int
    leaving: bool
    at: float
    versions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One late report on an engine's prefix cache.

    :param sequence: a gap in the numbers means that events were lost
    """

    sequence: int
    stored: bool
    block: int


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Orders an engine to have a version, and adapters, in memory."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UnloadOrder:
    """Orders an engine to drop a version."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class RoleOrder:
    """Orders an engine to take a role."""

    role: Role


Order = LoadOrder | UnloadOrder | RoleOrder


@dataclass(frozen=True, slots=True)
class StaleFence:
    """The engine has seen a higher fencing number.

    :param highest: the highest number that it has seen
    """

    highest: int


class ModelEngine(ABC):
    """One model engine."""

    @abstractmethod
    def generate(
        self, req: GenerationRequest, deadline_s: float
    ) -> Iterator[Result[StreamEvent, EngineFailed]]:
        """Run a generation; the last event is ``Finished`` or an error.

        Closing the iterator drops the connection but doesn't cancel.

        :param deadline_s: seconds from now after which it gives up
        """

    @abstractmethod
    def resume(
        self, request_id: str, offset: int, deadline_s: float
    ) -> Iterator[Result[StreamEvent, EngineFailed]]:
        """Go on with a stream that was cut, from a token offset."""

    @abstractmethod
    def cancel(self, request_id: str) -> Result[Tokens, EngineFailed]:
        """Stop a generation, and get the tokens that it has made."""

    @abstractmethod
    def load(self) -> Result[LoadReport, EngineFailed]:
        """Read the engine's own load report."""

    @abstractmethod
    def cache_events(
        self, after: int
    ) -> Result[tuple[CacheEvent, ...], EngineFailed]:
        """Read cache events after a sequence number."""

    @abstractmethod
    def order(
        self, order: Order, fence: int
    ) -> Result[None, StaleFence | EngineFailed]:
        """Give an order under a fencing number."""


class PlainService(ABC):
    """One server of a plain service."""

    @abstractmethod
    def call(
        self, request_id: str, payload: Any, deadline_s: float
    ) -> Result[Mapping[str, Any], EngineFailed]:
        """Make one call; its answer is checked for the request id."""


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
