"""The validated, immutable objects of a configuration."""

from __future__ import annotations

from dataclasses import field
import enum
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Mapping

# Second runs of late requests, as a share of the runs: what hedges could use
# of the retry budget before they had a limit of their own.
REPEAT_SHARE = 0.1


class ServiceKind(enum.StrEnum):
    """Kind of backend servers that a service uses."""

    MODEL = "model"
    PLAIN = "plain"


class RecordMode(enum.StrEnum):
    """Whether requests are stored durably before acknowledgement."""

    NONE = "none"
    ACCEPTED = "accepted"


class BackendKind(enum.StrEnum):
    """What a backend server runs."""

    ENGINE = "engine"
    PLAIN = "plain"


class Fencing(enum.StrEnum):
    """Whether an engine refuses orders with an outdated fencing number."""

    REFUSED = "refused"
    IGNORED = "ignored"


class Role(enum.StrEnum):
    """Phases of a request that an engine serves."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


@value_class
class KeyDigest:
    """Digest of a secret key; the key itself is never stored.

    :param digest: hexadecimal SHA-256 of the key
    :param not_after: Unix time in seconds after which the key is refused
    """

    digest: str
    not_after: float | None = None


@value_class
class Quota:
    """Limits for each customer that references this quota.

    :param requests_per_s: online requests per second over all instances
    :param burst: online requests allowed at once beyond the rate
    :param online_running: maximum of concurrent online requests
    :param batch_running: maximum of concurrent batch items
    """

    name: str
    requests_per_s: float
    burst: int
    online_running: int
    batch_running: int


@value_class
class Customer:
    """One customer and its share of the fleet.

    :param weight: share relative to the other customers
    :param group: customer group that routes can be limited to
    """

    name: str
    keys: tuple[KeyDigest, ...]
    weight: float = 1.0
    group: str = ""
    quota: str | None = None


@value_class
class Model:
    """One model; its versions and adapters are objects of their own."""

    name: str


@value_class
class Version:
    """One version of a model.

    :param weights: key of the weights in the weight store
    :param size_bytes: size of the weights
    """

    name: str
    model: str
    weights: str
    size_bytes: int


@value_class
class Adapter:
    """One adapter that is loaded together with versions of its model."""

    name: str
    model: str
    weights: str
    size_bytes: int


@value_class
class Backend:
    """One backend server: a model engine or the server of a plain service.

    :param address: IP address and port
    :param slots: sequences or calls that it runs concurrently
    :param kv_tokens: capacity of its KV cache in tokens
    :param prefill_tokens: prompt tokens processed per engine step
    :param weights_bytes: memory for weights; 0 for no limit
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


@value_class
class Pool:
    """Backend servers that serve the same services."""

    name: str
    backends: tuple[str, ...]


@value_class
class Route:
    """One model version that a service sends requests to.

    :param weight: share of the requests, relative to the other routes
    :param groups: customer groups that the route is for; empty for all
    """

    version: str
    weight: float = 1.0
    groups: tuple[str, ...] = ()
    adapter: str | None = None


@value_class
class Service:
    """One service that callers send requests to.

    :param idempotent: whether a request may run more than once
    :param hedge: whether a late request may be sent a second time
    :param repeat_share: most of these second runs, as a share of the runs; 0
        for none
    :param streams: whether answers are streamed to callers
    :param timeout_ms: default timeout of a request
    :param max_timeout_ms: longest timeout that a request may set
    :param max_output_tokens: maximum output tokens of one answer
    :param result_ttl_s: how long recorded answers and results are kept
    :param customers: customers that may call; empty for all
    :param max_attempts: maximum of attempts charged to a batch item
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
    repeat_share: float = REPEAT_SHARE
    timeout_ms: int = 30_000
    max_timeout_ms: int = 300_000
    max_output_tokens: int = 1_024
    result_ttl_s: int = 604_800
    customers: tuple[str, ...] = ()
    max_attempts: int = 3


@value_class
class Operator:
    """One operator who may change the configuration."""

    name: str
    keys: tuple[KeyDigest, ...]


def version_key(model: str, name: str) -> str:
    """Return the key of a model version or adapter in a configuration."""
    return f"{model}/{name}"


@value_class
class Configuration:
    """A complete set of objects.

    :param generation: rises by one with each published set; 0 is empty
    :param digest: digest of the canonical form
    :param versions: keyed by ``version_key``, like the adapters
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
