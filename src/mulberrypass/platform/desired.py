"""The operator's desired state and the engines' entries, as documents."""

from __future__ import annotations

from ipaddress import IPv4Address
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
    RelayRoute,
    RelayService,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from mulberrypass.relay.followers import DocumentError

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
ENGINE_TABLE = "servers"
DRAINING = "draining"
MS = 1_000.0
MAX_PORT = 65_535

KINDS = {
    "streaming": RouteKind.STREAM,
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "batch": RouteKind.BATCH,
}


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", alias_generator=to_pascal)


M = TypeVar("M", bound=_Model)


def _ip_and_port(text: str) -> str:
    host, _, port = text.rpartition(":")
    IPv4Address(host)
    digits = port.isascii() and port.isdigit()
    if not digits or not 0 < int(port) <= MAX_PORT:
        raise ValueError("no IP number with a port")
    return text


IPv4Port = Annotated[str, AfterValidator(_ip_and_port)]


class _Share(_Model):
    service: str
    weight: float = 1.0


class _Route(_Model):
    name: str
    host: str
    prefix: str
    route_type: str = "idempotent"
    service: str | None = None
    backends: list[_Share] = Field(default_factory=list)
    timeout_ms: float = 30_000
    target_latency_ms: float = 1_000
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    # Tokens of waiting batch items here; of waiting calls on an engine.
    cap: int = 0
    target_completion_ms: float = 60_000
    retention_s: float = 3_600


class _Engine(_Model):
    kv_capacity_tokens: int = 0
    # Tokens in one event of a stream.
    stride: int = Field(default=1, ge=1)


class _Service(_Model):
    name: str
    max_conns: int = 0
    engine: _Engine = _Engine()


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 30_000
    idle_timeout_ms: float = 60_000


class _Desired(_Model):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


class _Entry(_Model):
    """All that an engine writes; an entry that lacks some is not its own."""

    model_config = ConfigDict(strict=True)

    service: str
    address: IPv4Port
    zone: str
    version: str
    slots: int = Field(ge=1)
    state: Literal["ready", "draining"]
    cold_left_ms: float = Field(ge=0)
    # Counts the writes of this start of the engine.
    seq: int = Field(ge=0)


def read_desired(data: bytes) -> RouteTable:
    """Read a desired state.

    :raises DocumentError: where a field is missing or of another type
    """
    found = _validate(_Desired, data)
    services = {
        service.name: RelayService(
            service.name,
            service.max_conns,
            service.engine.kv_capacity_tokens,
            service.engine.stride,
        )
        for service in found.services
    }
    return RouteTable(
        version=found.version,
        routes=tuple(map(_route, found.routes)),
        services=services,
        limits=CallerLimits(
            head_bytes=found.limits.max_header_bytes,
            body_bytes=found.limits.max_body_bytes,
            head_s=found.limits.header_timeout_ms / MS,
            idle_s=found.limits.idle_timeout_ms / MS,
        ),
    )


def read_engine(name: str, data: bytes) -> RegisteredEngine:
    """Read an engine's entry.

    :raises DocumentError: where it names no engine to use
    """
    found = _validate(_Entry, data)
    return RegisteredEngine(
        name=name,
        service=found.service,
        address=found.address,
        zone=found.zone,
        slots=found.slots,
        leaving=found.state == DRAINING,
        cold_left_s=found.cold_left_ms / MS,
    )


def _route(found: _Route) -> RelayRoute:
    kind = KINDS.get(found.route_type)
    if kind is None:
        raise DocumentError(
            f"route {found.name!r}: RouteType: {found.route_type!r}"
        )
    shares = tuple(
        ServiceShare(share.service, share.weight) for share in found.backends
    )
    if found.service is not None:
        shares = (ServiceShare(found.service, 1.0),)
    return RelayRoute(
        name=found.name,
        host=found.host.lower(),
        prefix=found.prefix,
        kind=kind,
        services=shares,
        timeout_s=found.timeout_ms / MS,
        target_s=found.target_latency_ms / MS,
        priority=found.priority,
        max_attempts=max(1, found.max_attempts),
        resumable=found.resumable,
        quota_tokens=found.cap,
        due_s=found.target_completion_ms / MS,
        retention_s=found.retention_s,
    )


def _validate(model: type[M], data: bytes) -> M:
    try:
        return model.model_validate_json(data)
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(map(str, first["loc"])) or "not JSON"
        raise DocumentError(f"{field}: {first['msg']}")


__all__ = [
    "CONFIG_KEY",
    "CONFIG_TABLE",
    "ENGINE_TABLE",
    "read_desired",
    "read_engine",
]
