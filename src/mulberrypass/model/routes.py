"""Routes for relayed requests, and registered engines."""

from __future__ import annotations

from dataclasses import field
import enum
import hashlib
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Mapping


class RouteKind(enum.StrEnum):
    """How the requests of a route may be handled."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    BATCH = "batch"


@value_class
class ServiceShare:
    """One service that a route sends requests to.

    :param weight: share relative to the route's other services
    """

    service: str
    weight: float


@value_class
class RelayRoute:
    """Route for the requests of one host under one path prefix.

    :param timeout_s: time within which an answer or a failure is due
    :param target_s: time to first byte for which callers pay in full
    :param priority: 0 is the most urgent
    :param max_attempts: maximum of engines that one request is sent to
    :param resumable: whether a stream may be resumed on another engine
    :param quota_tokens: limit on the tokens of unfinished batch items; 0
        for no limit
    :param due_s: time from the first submission until batch results are due
    :param retention_s: time after which batch items may be abandoned
    :param gap_s: longest pause between two events of an answer in time; 0
        if the route names none
    :param public: whether requests need no key
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
    gap_s: float = 0.0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is not RouteKind.NON_IDEMPOTENT

    def leads_to(self, service: str) -> bool:
        """Return whether the route may send requests to a service."""
        return any(share.service == service for share in self.services)


@value_class
class RelayService:
    """A service that engines register for.

    :param max_connections: connections that one engine accepts
    :param kv_tokens: KV cache capacity of an engine in tokens; 0 if unknown
    :param event_tokens: tokens per event of an answer
    """

    name: str
    max_connections: int = 0
    kv_tokens: int = 0
    event_tokens: int = 1


@value_class
class RelayCustomer:
    """A customer whose requests are relayed.

    :param priority: takes precedence over that of a route, 0 is the most
        urgent; ``None`` if the customer has none of its own
    :param rate_per_s: limit of requests per second over all instances; 0
        for no limit
    :param burst: requests that may come at once beyond the rate
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@value_class
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    :param head_s: time from the first byte of a request to the end of its
        head
    :param idle_s: time within which callers may reuse an idle connection
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_s: float = 30.0
    idle_s: float = 60.0


def key_digest(key: str) -> bytes:
    """Return the digest by which a customer's key is looked up.

    The time of a look-up by digest tells nothing of similar keys.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


@value_class
class RouteTable:
    """A complete published set of routes.

    :param version: rises with each published set; 0 is empty
    :param customers: by name; ``None`` if requests need no key
    :param keys: names of the customers, by ``key_digest``
    """

    version: int = 0
    routes: tuple[RelayRoute, ...] = ()
    services: Mapping[str, RelayService] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    customers: Mapping[str, RelayCustomer] | None = None
    keys: Mapping[bytes, str] = field(default_factory=dict, repr=False)
    _by_prefix: dict[tuple[str, str], RelayRoute] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    _by_name: dict[tuple[str, str], RelayRoute] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    _lengths: dict[str, list[int]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Index the routes by prefix and by name.

        A host may have thousands of routes, with few distinct prefix lengths.
        """
        for route in self.routes:
            self._by_prefix.setdefault((route.host, route.prefix), route)
            self._by_name.setdefault((route.host, route.name), route)
        for host, prefix in self._by_prefix:
            lengths = self._lengths.setdefault(host, [])
            if len(prefix) not in lengths:
                lengths.append(len(prefix))
        for lengths in self._lengths.values():
            lengths.sort(reverse=True)

    def find(self, host: str, path: str) -> RelayRoute | None:
        """Return the route of a host with the longest matching prefix."""
        for length in self._lengths.get(host, ()):
            found = self._by_prefix.get((host, path[:length]))
            if found is not None:
                return found
        return None

    def with_name(self, host: str, name: str) -> RelayRoute | None:
        """Return the route of a host that has this name."""
        return self._by_name.get((host, name))

    def with_prefix(self, host: str, prefix: str) -> RelayRoute | None:
        """Return the route of a host that has exactly this prefix."""
        return self._by_prefix.get((host, prefix))

    def customer_of(self, key: str) -> RelayCustomer | None:
        """Return the customer that holds a key."""
        if not key or not self.customers:
            return None
        name = self.keys.get(key_digest(key))
        return None if name is None else self.customers.get(name)


@value_class
class RegisteredEngine:
    """One engine as it registered itself.

    :param name: unique for each start of an engine
    :param address: IP address and port
    :param cold_left_s: remaining time for which it is slow after its start
    :param born_ms: Unix time of its start in milliseconds; 0 if unknown
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    cold_left_s: float = 0.0
    born_ms: int = 0

    @property
    def boot(self) -> str:
        """Identifies this start, as an engine may keep its name."""
        return f"{self.name}@{self.born_ms}"


__all__ = [
    "CallerLimits",
    "RegisteredEngine",
    "RelayCustomer",
    "RelayRoute",
    "RelayService",
    "RouteKind",
    "RouteTable",
    "ServiceShare",
    "key_digest",
]
