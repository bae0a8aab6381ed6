"""Schemas of the documents that operators write."""

from __future__ import annotations

from datetime import datetime
import ipaddress
import re
from typing import Annotated, Any, ClassVar, Literal

from pydantic import (
    AfterValidator,
    AwareDatetime,
    BaseModel,
    ConfigDict,
    Field,
)
from pydantic_core import PydanticCustomError

from mulberrypass.model import objects

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MIN_RESULT_TTL_S = 60


def _name(value: str) -> str:
    if not NAME_PATTERN.fullmatch(value):
        raise PydanticCustomError(
            "name",
            '"{value}" is not a name',
            {
                "value": value,
                "remedy": "write up to 63 lower-case letters, digits, "
                "dots, hyphens or underscores",
            },
        )
    return value


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        number = ipaddress.ip_address(host.removeprefix("[").rstrip("]"))
        valid = 1 <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise PydanticCustomError(
            "address",
            '"{value}" is not an IP number and a port',
            {"value": value, "remedy": 'write it as in "10.0.0.5:8000"'},
        )
    shown = f"[{number}]" if number.version == 6 else str(number)
    return f"{shown}:{int(port)}"


def _digest(value: str) -> str:
    if not DIGEST_PATTERN.fullmatch(value):
        raise PydanticCustomError(
            "digest",
            "the key digest is not a SHA-256 in 64 hexadecimal digits",
            {"remedy": 'make it with "mulberryctl digest"'},
        )
    return value


Name = Annotated[str, AfterValidator(_name)]
Address = Annotated[str, AfterValidator(_address)]
Digest = Annotated[str, AfterValidator(_digest)]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
Weight = Annotated[float, Field(ge=0, le=1_000_000, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=0, le=1_000_000_000)]
Positive = Annotated[int, Field(ge=1, le=1_000_000_000)]


class Part(BaseModel):
    """A part of a document; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class KeyPart(Part):
    """A secret key, identified by its digest."""

    digest: Digest
    not_after: float | AwareDatetime | None = None

    def to_object(self) -> objects.KeyDigest:
        """Return the key digest, with its expiry as Unix time."""
        end = self.not_after
        if isinstance(end, datetime):
            end = end.timestamp()
        return objects.KeyDigest(self.digest, end)


class RoutePart(Part):
    """One version that a service sends requests to."""

    version: Name
    weight: Weight = 1.0
    groups: tuple[Name, ...] = ()
    adapter: Name | None = None

    def to_object(self) -> objects.Route:
        """Return the route as a model object."""
        return objects.Route(
            self.version, self.weight, self.groups, self.adapter
        )


class Document(Part):
    """Base class of the documents of all kinds."""

    KIND: ClassVar[str]
    PLURAL: ClassVar[str]

    name: Name

    def key(self) -> str:
        """Return the key, unique among the objects of the kind."""
        return self.name

    def to_object(self) -> Any:
        """Return the document as a model object."""
        raise NotImplementedError


class ServiceDocument(Document):
    """Document of a service."""

    KIND: ClassVar[str] = "service"
    PLURAL: ClassVar[str] = "services"

    kind: Literal["service"]
    type: objects.ServiceKind = objects.ServiceKind.MODEL
    pool: Name
    model: Name | None = None
    routes: tuple[RoutePart, ...] = ()
    record: objects.RecordMode = objects.RecordMode.NONE
    idempotent: bool = True
    streams: bool = False
    hedge: bool | None = None
    repeat_share: Share | None = None
    timeout_ms: Positive = 30_000
    max_timeout_ms: Positive = 300_000
    max_output_tokens: Positive = 1_024
    result_ttl_s: Annotated[int, Field(ge=MIN_RESULT_TTL_S)] = 604_800
    customers: tuple[Name, ...] = ()
    max_attempts: Annotated[int, Field(ge=1, le=100)] | None = None

    def to_object(self) -> objects.Service:
        """Return the service as a model object.

        Unless set, hedging and retries are on for idempotent services only.
        """
        hedge = self.hedge
        attempts = self.max_attempts
        if hedge is None:
            hedge = self.idempotent
        repeat_share = self.repeat_share
        if repeat_share is None:
            repeat_share = objects.REPEAT_SHARE if hedge else 0.0
        if attempts is None:
            attempts = 3 if self.idempotent else 1
        return objects.Service(
            name=self.name,
            kind=self.type,
            pool=self.pool,
            model=self.model,
            routes=tuple(route.to_object() for route in self.routes),
            record=self.record,
            idempotent=self.idempotent,
            streams=self.streams,
            hedge=hedge,
            repeat_share=repeat_share,
            timeout_ms=self.timeout_ms,
            max_timeout_ms=self.max_timeout_ms,
            max_output_tokens=self.max_output_tokens,
            result_ttl_s=self.result_ttl_s,
            customers=self.customers,
            max_attempts=attempts,
        )


class ModelDocument(Document):
    """Document of a model."""

    KIND: ClassVar[str] = "model"
    PLURAL: ClassVar[str] = "models"

    kind: Literal["model"]

    def to_object(self) -> objects.Model:
        """Return the model as a model object."""
        return objects.Model(self.name)


class _WeightsDocument(Document):
    model: Name
    weights: Annotated[str, Field(min_length=1, max_length=1_024)]
    size_bytes: Annotated[int, Field(ge=1)]

    def key(self) -> str:
        return objects.version_key(self.model, self.name)


class VersionDocument(_WeightsDocument):
    """Document of a model version."""

    KIND: ClassVar[str] = "version"
    PLURAL: ClassVar[str] = "versions"

    kind: Literal["version"]

    def to_object(self) -> objects.Version:
        """Return the version as a model object."""
        return objects.Version(
            self.name, self.model, self.weights, self.size_bytes
        )


class AdapterDocument(_WeightsDocument):
    """Document of a model adapter."""

    KIND: ClassVar[str] = "adapter"
    PLURAL: ClassVar[str] = "adapters"

    kind: Literal["adapter"]

    def to_object(self) -> objects.Adapter:
        """Return the adapter as a model object."""
        return objects.Adapter(
            self.name, self.model, self.weights, self.size_bytes
        )


class PoolDocument(Document):
    """Document of a pool of backend servers."""

    KIND: ClassVar[str] = "pool"
    PLURAL: ClassVar[str] = "pools"

    kind: Literal["pool"]
    backends: tuple[Name, ...]

    def to_object(self) -> objects.Pool:
        """Return the pool as a model object."""
        return objects.Pool(self.name, self.backends)


class BackendDocument(Document):
    """Document of a backend server."""

    KIND: ClassVar[str] = "backend"
    PLURAL: ClassVar[str] = "backends"

    kind: Literal["backend"]
    type: objects.BackendKind = objects.BackendKind.ENGINE
    zone: Name
    address: Address
    slots: Annotated[int, Field(ge=1, le=100_000)]
    kv_tokens: Count = 0
    prefill_tokens: Positive = 512
    fencing: objects.Fencing = objects.Fencing.REFUSED
    role: objects.Role = objects.Role.BOTH
    weights_bytes: Annotated[int, Field(ge=0)] = 0

    def to_object(self) -> objects.Backend:
        """Return the backend server as a model object."""
        return objects.Backend(
            name=self.name,
            kind=self.type,
            zone=self.zone,
            address=self.address,
            slots=self.slots,
            kv_tokens=self.kv_tokens,
            prefill_tokens=self.prefill_tokens,
            fencing=self.fencing,
            role=self.role,
            weights_bytes=self.weights_bytes,
        )


class CustomerDocument(Document):
    """Document of a customer."""

    KIND: ClassVar[str] = "customer"
    PLURAL: ClassVar[str] = "customers"

    kind: Literal["customer"]
    keys: tuple[KeyPart, ...]
    weight: Annotated[float, Field(gt=0, le=1_000_000)] = 1.0
    group: Name | Literal[""] = ""
    quota: Name | None = None

    def to_object(self) -> objects.Customer:
        """Return the customer as a model object."""
        keys = tuple(key.to_object() for key in self.keys)
        return objects.Customer(
            self.name, keys, self.weight, self.group, self.quota
        )


class QuotaDocument(Document):
    """Document of a quota."""

    KIND: ClassVar[str] = "quota"
    PLURAL: ClassVar[str] = "quotas"

    kind: Literal["quota"]
    requests_per_s: Annotated[float, Field(ge=0, le=1_000_000)]
    burst: Count
    online_running: Count
    batch_running: Count

    def to_object(self) -> objects.Quota:
        """Return the quota as a model object."""
        return objects.Quota(
            self.name,
            self.requests_per_s,
            self.burst,
            self.online_running,
            self.batch_running,
        )


class OperatorDocument(Document):
    """Document of an operator."""

    KIND: ClassVar[str] = "operator"
    PLURAL: ClassVar[str] = "operators"

    kind: Literal["operator"]
    keys: tuple[KeyPart, ...]

    def to_object(self) -> objects.Operator:
        """Return the operator as a model object."""
        keys = tuple(key.to_object() for key in self.keys)
        return objects.Operator(self.name, keys)


DOCUMENTS: dict[str, type[Document]] = {
    document.KIND: document
    for document in (
        AdapterDocument,
        BackendDocument,
        CustomerDocument,
        ModelDocument,
        OperatorDocument,
        PoolDocument,
        QuotaDocument,
        ServiceDocument,
        VersionDocument,
    )
}


__all__ = [
    "AdapterDocument",
    "BackendDocument",
    "CustomerDocument",
    "DOCUMENTS",
    "Document",
    "KeyPart",
    "ModelDocument",
    "OperatorDocument",
    "PoolDocument",
    "QuotaDocument",
    "RoutePart",
    "ServiceDocument",
    "VersionDocument",
]
