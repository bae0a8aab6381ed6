"""Parsers of the desired state and of engines' registrations."""

from __future__ import annotations

from ipaddress import IPv4Address
import re
from typing import Annotated, Literal, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)
from pydantic.alias_generators import to_pascal

from mulberrypass.model.routes import (
    CallerLimits,
    RegisteredEngine,
    RelayCustomer,
    RelayRoute,
    RelayService,
    RouteKind,
    RouteTable,
    ServiceShare,
    key_digest,
)
from mulberrypass.relay.followers import DocumentError

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
ENGINE_TABLE = "servers"
DRAINING = "draining"
MS_PER_S = 1_000.0
MAX_PORT = 65_535
# Of a signed 64-bit integer, as peers encode versions.
MAX_INT = 2**63 - 1
MAX_SLOTS = 1_000_000
MAX_WEIGHT = 1e9
# 31 years; ``threading`` can't wait for more than 292.
MAX_MS = 1e12
# Names are sent to engines as headers.
ENGINE_NAME = re.compile(r"[!-~]{1,255}")
CUSTOMER_NAME = r"^[!-~]([ -~]{0,253}[!-~])?$"
MAX_RATE_PER_S = 1e9

ROUTE_KINDS = {
    "streaming": RouteKind.STREAM,
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "batch": RouteKind.BATCH,
}


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", alias_generator=to_pascal)


M = TypeVar("M", bound=_Model)


def _check_ip_and_port(text: str) -> str:
    host, _, port = text.rpartition(":")
    IPv4Address(host)
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an IP address with a port")
    return text


IPv4Port = Annotated[str, AfterValidator(_check_ip_and_port)]
Int = Annotated[int, Field(ge=-MAX_INT, le=MAX_INT)]
Ms = Annotated[float, Field(ge=-MAX_MS, le=MAX_MS)]


class _Share(_Model):
    service: str
    weight: float = Field(default=1.0, ge=-MAX_WEIGHT, le=MAX_WEIGHT)


class _Route(_Model):
    name: str
    host: str
    prefix: str
    route_type: str = "idempotent"
    service: str | None = None
    backends: list[_Share] = Field(default_factory=list)
    timeout_ms: Ms = 30_000
    target_latency_ms: Ms = 1_000
    priority: Int = 0
    max_attempts: Int = 1
    resumable: bool = False
    # Limits the tokens of waiting batch items; on an engine, those of
    # waiting calls.
    cap: Int = 0
    target_completion_ms: Ms = 60_000
    retention_s: Ms = 3_600
    target_gap_ms: Ms = 0
    public: bool = False


class _Engine(_Model):
    kv_capacity_tokens: Int = 0
    # Tokens per event of a stream.
    stride: int = Field(default=1, ge=1, le=MAX_INT)


class _Service(_Model):
    name: str
    max_conns: Int = 0
    engine: _Engine = _Engine()


class _Customer(_Model):
    name: str = Field(pattern=CUSTOMER_NAME)
    api_keys: list[str] = Field(default_factory=list)
    priority: Int | None = None
    rate_per_s: float = Field(default=0.0, ge=0, le=MAX_RATE_PER_S)
    burst: float = Field(default=0.0, ge=0, le=MAX_RATE_PER_S)


class _Limits(_Model):
    max_header_bytes: Int = 16_384
    max_body_bytes: Int = 4_194_304
    header_timeout_ms: Ms = 30_000
    idle_timeout_ms: Ms = 60_000


class DesiredState(_Model):
    """The document of a desired state."""

    version: Int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    # Without this field, requests need no key.
    tenants: list[_Customer] | None = None


class _Entry(_Model):
    """An engine's registration.

    Engines write every field, so a row that lacks one is not from an engine.
    """

    model_config = ConfigDict(strict=True)

    service: str
    address: IPv4Port
    zone: str
    version: str
    slots: int = Field(ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    cold_left_ms: float = Field(ge=0, le=MAX_MS)
    # Number of writes since the engine started.
    seq: int = Field(ge=0, le=MAX_INT)
    # Unix milliseconds of its start.
    born: int = Field(default=0, ge=0, le=MAX_INT, alias="born")


def read_desired(data: bytes) -> RouteTable:
    """Parse a desired state.

    :raises DocumentError: if a field is missing or has the wrong type
    """
    desired = _validate(DesiredState, data)
    services = {
        service.name: RelayService(
            service.name,
            service.max_conns,
            service.engine.kv_capacity_tokens,
            service.engine.stride,
        )
        for service in desired.services
    }
    return RouteTable(
        version=desired.version,
        routes=tuple(map(_route, desired.routes)),
        services=services,
        limits=CallerLimits(
            head_bytes=desired.limits.max_header_bytes,
            body_bytes=desired.limits.max_body_bytes,
            head_s=desired.limits.header_timeout_ms / MS_PER_S,
            idle_s=desired.limits.idle_timeout_ms / MS_PER_S,
        ),
        customers=_customers(desired.tenants),
        keys=_keys(desired.tenants or []),
    )


def read_engine(name: str, data: bytes) -> RegisteredEngine:
    """Parse an engine's registration.

    :raises DocumentError: if it doesn't describe a usable engine
    """
    if not ENGINE_NAME.fullmatch(name):
        raise DocumentError("its name can't be sent in a header")
    entry = _validate(_Entry, data)
    return RegisteredEngine(
        name=name,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state == DRAINING,
        cold_left_s=entry.cold_left_ms / MS_PER_S,
        born_ms=entry.born,
    )


def _customers(
    customers: list[_Customer] | None,
) -> dict[str, RelayCustomer] | None:
    if customers is None:
        return None
    return {
        customer.name: RelayCustomer(
            customer.name,
            customer.priority,
            customer.rate_per_s,
            customer.burst,
        )
        for customer in customers
    }


def _keys(customers: list[_Customer]) -> dict[bytes, str]:
    """Return the holders of all keys; the first one named holds a key."""
    keys: dict[bytes, str] = {}
    for customer in customers:
        for key in filter(None, customer.api_keys):
            keys.setdefault(key_digest(key), customer.name)
    return keys


def _route(route: _Route) -> RelayRoute:
    kind = ROUTE_KINDS.get(route.route_type)
    if kind is None:
        raise DocumentError(
            f"route {route.name!r}: RouteType: {route.route_type!r}"
        )
    shares = tuple(
        ServiceShare(share.service, share.weight) for share in route.backends
    )
    if route.service is not None:
        shares = (ServiceShare(route.service, 1.0),)
    return RelayRoute(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=kind,
        services=shares,
        timeout_s=route.timeout_ms / MS_PER_S,
        target_s=route.target_latency_ms / MS_PER_S,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        resumable=route.resumable,
        quota_tokens=route.cap,
        due_s=route.target_completion_ms / MS_PER_S,
        retention_s=route.retention_s,
        gap_s=max(0.0, route.target_gap_ms) / MS_PER_S,
        public=route.public,
    )


def _validate(model: type[M], data: bytes) -> M:
    try:
        return model.model_validate_json(data)
    except ValidationError as exc:
        error = exc.errors()[0]
        field = ".".join(map(str, error["loc"])) or "not JSON"
        raise DocumentError(f"{field}: {error['msg']}")


__all__ = [
    "CONFIG_KEY",
    "CONFIG_TABLE",
    "DesiredState",
    "ENGINE_TABLE",
    "ROUTE_KINDS",
    "read_desired",
    "read_engine",
]
