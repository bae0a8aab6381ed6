"""The routes in force and the engines that are registered."""

from __future__ import annotations

from dataclasses import dataclass, field
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class RouteKind(enum.StrEnum):
    """What may be done with the requests of a route."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service that a route sends requests to.

    :param weight: share relative to the route's other services
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RelayRoute:
    """Requests of one host under one path prefix.

    :param timeout_s: an answer, or a failure, is due within this
    :param target_s: time to the first byte for which callers pay in full
    :param priority: 0 is the most urgent
    :param max_attempts: engines that one request may be sent to
    :param resumable: whether a stream may go on at another engine
    :param quota_tokens: tokens of unfinished batch items; 0 for no limit
    :param due_s: batch results are due so long after the first send
    :param retention_s: batch items may be given up after this
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    timeout_s: float = 30.0
    target_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    quota_tokens: int = 0
    due_s: float = 60.0
    retention_s: float = 3600.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is not RouteKind.NON_IDEMPOTENT

    def leads_to(self, service: str) -> bool:
        """Whether the route may send requests to a service."""
        return any(share.service == service for share in self.services)


@dataclass(frozen=True, slots=True)
class RelayService:
    """A service that engines register for.

    :param max_connections: connections that one engine accepts
    :param kv_tokens: tokens that one engine's memory holds; 0 if unknown
    :param event_tokens: tokens in one event of an answer
    """

    name: str
    max_connections: int = 0
    kv_tokens: int = 0
    event_tokens: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    :param head_s: from a request's first byte to the end of its head
    :param idle_s: callers use a kept connection again within this
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_s: float = 30.0
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One whole published set of routes.

    :param version: rises with each published set; 0 is empty
    """

    version: int = 0
    routes: tuple[RelayRoute, ...] = ()
    services: Mapping[str, RelayService] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    _by_prefix: dict[tuple[str, str], RelayRoute] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    _lengths: dict[str, list[int]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Index the routes; a host may have thousands, of few lengths."""
        for route in self.routes:
            self._by_prefix.setdefault((route.host, route.prefix), route)
        for host, prefix in self._by_prefix:
            lengths = self._lengths.setdefault(host, [])
            if len(prefix) not in lengths:
                lengths.append(len(prefix))
        for lengths in self._lengths.values():
            lengths.sort(reverse=True)

    def find(self, host: str, path: str) -> RelayRoute | None:
        """Give the route of a host with the longest prefix of a path."""
        for length in self._lengths.get(host, ()):
            found = self._by_prefix.get((host, path[:length]))
            if found is not None:
                return found
        return None


@dataclass(frozen=True, slots=True)
class RegisteredEngine:
    """One engine as it registered itself.

    :param name: names one start of an engine
    :param address: IP number and port
    :param cold_left_s: how much longer it is slow after its start
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    cold_left_s: float = 0.0


__all__ = [
    "CallerLimits",
    "RegisteredEngine",
    "RelayRoute",
    "RelayService",
    "RouteKind",
    "RouteTable",
    "ServiceShare",
]
