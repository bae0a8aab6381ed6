"""The named objects of one published configuration, frozen and checked."""

from __future__ import annotations

from dataclasses import dataclass, field
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class RecordMode(enum.StrEnum):
    """Whether a request is made durable before it is acknowledged."""

    NONE = "none"
    ACCEPTED = "accepted"


class BackendKind(enum.StrEnum):
    """What a backend server runs."""

    ENGINE = "engine"
    PLAIN = "plain"


class Fencing(enum.StrEnum):
    """What an engine does with an order that has an old fencing number."""

    REFUSED = "refused"
    IGNORED = "ignored"


class Role(enum.StrEnum):
    """Which phase of a request an engine serves."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class KeyDigest:
    """The digest of one secret key; the key itself is never kept.

    :param digest: hexadecimal SHA-256 of the key
    :param not_after: Unix time in seconds after which the key is refused
    """

    digest: str
    not_after: float | None = None


@dataclass(frozen=True, slots=True)
class Quota:
    """Limits that hold for each customer naming this quota.

    :param requests_per_s: online requests a second over all instances
    :param burst: online requests allowed at once beyond the rate
    :param online_running: online requests running at once
    :param batch_running: batch items running at once
    """

    name: str
    requests_per_s: float
    burst: int
    online_running: int
    batch_running: int


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer and its share of the fleet.

    :param weight: share relative to the other customers
    :param group: customers of a group can be given a version together
    """

    name: str
    keys: tuple[KeyDigest, ...]
    weight: float = 1.0
    group: str = ""
    quota: str | None = None


@dataclass(frozen=True, slots=True)
class Model:
    """One model, of which versions and adapters are published."""

    name: str


@dataclass(frozen=True, slots=True)
class Version:
    """One version of a model.

    :param weights: key of the weights in the weight store
    :param size_bytes: size of the weights
    """

    name: str
    model: str
    weights: str
    size_bytes: int


@dataclass(frozen=True, slots=True)
class Adapter:
    """One adapter that is loaded beside a model's versions."""

    name: str
    model: str
    weights: str
    size_bytes: int


@dataclass(frozen=True, slots=True)
class Backend:
    """One backend server: a model engine or a plain service's server.

    :param address: IP number and port
    :param slots: sequences or calls that it runs at once
    :param kv_tokens: tokens that its KV memory holds
    :param prefill_tokens: prompt tokens that one engine step takes in
    :param weights_bytes: memory for weights; 0 where it is not limited
    """

    name: str
    kind: BackendKind
    zone: str
    address: str
    slots: int
    kv_tokens: int = 0
    prefill_tokens: int = 512
    fencing: Fencing = Fencing.REFUSED
    role: Role = Role.BOTH
    weights_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """Backend servers that serve the same services."""

    name: str
    backends: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Route:
    """One version that a service sends requests to.

    :param weight: share of the requests, relative to the other routes
    :param groups: customer groups that the route is for; empty for all
    """

    version: str
    weight: float = 1.0
    groups: tuple[str, ...] = ()
    adapter: str | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """What callers name in a request.

    :param idempotent: whether a request may run more than once
    :param streams: whether callers read answers as streams
    :param timeout_ms: deadline of a request that states none
    :param max_timeout_ms: the longest deadline that a request may state
    :param max_output_tokens: bound on the tokens of one answer
    :param result_ttl_s: how long recorded answers and results are kept
    :param customers: customers that may call; empty for all
    :param max_attempts: attempts that a batch item may be charged
    """

    name: str
    kind: ServiceKind
    pool: str
    model: str | None = None
    routes: tuple[Route, ...] = ()
    record: RecordMode = RecordMode.NONE
    idempotent: bool = True
    streams: bool = False
    hedge: bool = True
    timeout_ms: int = 30_000
    max_timeout_ms: int = 300_000
    max_output_tokens: int = 1_024
    result_ttl_s: int = 604_800
    customers: tuple[str, ...] = ()
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class Operator:
    """One operator who may change the configuration."""

    name: str
    keys: tuple[KeyDigest, ...]


def version_key(model: str, name: str) -> str:
    """Give the key of a model's version or adapter in a configuration."""
    return f"{model}/{name}"


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole published set of objects.

    :param generation: rises by one with each published set; 0 is empty
    :param digest: digest of the set's canonical form
    :param versions: by ``version_key``, as are the adapters
    """

    generation: int = 0
    digest: str = ""
    services: Mapping[str, Service] = field(default_factory=dict)
    models: Mapping[str, Model] = field(default_factory=dict)
    versions: Mapping[str, Version] = field(default_factory=dict)
    adapters: Mapping[str, Adapter] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    backends: Mapping[str, Backend] = field(default_factory=dict)
    customers: Mapping[str, Customer] = field(default_factory=dict)
    quotas: Mapping[str, Quota] = field(default_factory=dict)
    operators: Mapping[str, Operator] = field(default_factory=dict)


__all__ = [
    "Adapter",
    "Backend",
    "BackendKind",
    "Configuration",
    "Customer",
    "Fencing",
    "KeyDigest",
    "Model",
    "Operator",
    "Pool",
    "Quota",
    "RecordMode",
    "Role",
    "Route",
    "Service",
    "ServiceKind",
    "Version",
    "version_key",
]
