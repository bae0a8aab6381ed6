"""The canonical form of a configuration, its digest, and the way back."""

from __future__ import annotations

from dataclasses import dataclass, replace
import hashlib
import json
from typing import TYPE_CHECKING, Any
import zlib

from expression import Error, Ok, Result
from pydantic import BaseModel, Field, ValidationError

from mulberrypass.model import objects
from mulberrypass.model.published import Snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.model.document import Document

FORMAT = 1
MAX_SNAPSHOT_BYTES = 33_554_432
COMPRESSION_LEVEL = 6


class _Canonical(BaseModel):
    format: int = Field(default=FORMAT, ge=FORMAT, le=FORMAT)
    services: dict[str, objects.Service] = {}
    models: dict[str, objects.Model] = {}
    versions: dict[str, objects.Version] = {}
    adapters: dict[str, objects.Adapter] = {}
    pools: dict[str, objects.Pool] = {}
    backends: dict[str, objects.Backend] = {}
    customers: dict[str, objects.Customer] = {}
    quotas: dict[str, objects.Quota] = {}
    operators: dict[str, objects.Operator] = {}


KINDS = tuple(name for name in _Canonical.model_fields if name != "format")


@dataclass(frozen=True, slots=True)
class BadSnapshot:
    """Bytes that are not the snapshot which they should be.

    :param whole: whether the bytes are those that were published, and only
        a newer release can read them
    """

    reason: str
    whole: bool = False


def from_documents(documents: Iterable[Document]) -> objects.Configuration:
    """Build a configuration that has not been published."""
    kinds: dict[str, Any] = {kind: {} for kind in KINDS}
    for doc in documents:
        kinds[doc.PLURAL][doc.key()] = doc.to_object()
    cfg = objects.Configuration(**kinds)
    return replace(cfg, digest=encode(cfg, 0).digest)


def encode(cfg: objects.Configuration, generation: int) -> Snapshot:
    """Give the snapshot that publishes a configuration."""
    content = canonical(cfg)
    digest = hashlib.sha256(content).hexdigest()
    data = zlib.compress(content, COMPRESSION_LEVEL)
    return Snapshot(generation, digest, data)


def canonical(cfg: objects.Configuration) -> bytes:
    """Give the bytes that are equal for equal sets of objects."""
    fields: dict[str, Any] = {kind: dict(getattr(cfg, kind)) for kind in KINDS}
    document = _Canonical(**fields).model_dump(mode="json")
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return text.encode()


def decode(
    snapshot: Snapshot,
) -> Result[objects.Configuration, BadSnapshot]:
    """Check a snapshot's digest and read it.

    Fields that a newer release has added are left out.
    """
    inflate = zlib.decompressobj()
    try:
        content = inflate.decompress(snapshot.data, MAX_SNAPSHOT_BYTES)
    except zlib.error as exc:
        return Error(BadSnapshot(f"can't be decompressed: {exc}"))
    if not inflate.eof:
        return Error(BadSnapshot("is cut off or too large"))
    if hashlib.sha256(content).hexdigest() != snapshot.digest:
        return Error(BadSnapshot("has another digest than its head"))
    try:
        parsed = _Canonical.model_validate_json(content)
    except ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        return Error(BadSnapshot(f"can't be read: {first['msg']}", True))
    fields = {kind: getattr(parsed, kind) for kind in KINDS}
    return Ok(
        objects.Configuration(
            generation=snapshot.generation, digest=snapshot.digest, **fields
        )
    )


__all__ = [
    "BadSnapshot",
    "KINDS",
    "MAX_SNAPSHOT_BYTES",
    "canonical",
    "decode",
    "encode",
    "from_documents",
]
