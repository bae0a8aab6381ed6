"""Encoding of configurations as snapshots, and decoding."""

from __future__ import annotations

from dataclasses import replace
import hashlib
import json
from typing import TYPE_CHECKING, Any
import zlib

from expression import Error, Ok, Result
from pydantic import BaseModel, Field, ValidationError

from mulberrypass.model import objects
from mulberrypass.model.published import Snapshot
from mulberrypass.model.value_class import value_class

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


@value_class
class BadSnapshot:
    """A snapshot could not be decoded.

    :param intact: whether the digest matches, so that the snapshot was
        written by a newer release rather than damaged
    """

    reason: str
    intact: bool = False


def from_documents(documents: Iterable[Document]) -> objects.Configuration:
    """Build an unpublished configuration."""
    kinds: dict[str, Any] = {kind: {} for kind in KINDS}
    for doc in documents:
        kinds[doc.PLURAL][doc.key()] = doc.to_object()
    cfg = objects.Configuration(**kinds)
    return replace(cfg, digest=encode(cfg, 0).digest)


def encode(cfg: objects.Configuration, generation: int) -> Snapshot:
    """Return the snapshot of a configuration."""
    content = canonical(cfg)
    digest = hashlib.sha256(content).hexdigest()
    data = zlib.compress(content, COMPRESSION_LEVEL)
    return Snapshot(generation, digest, data)


def canonical(cfg: objects.Configuration) -> bytes:
    """Return the canonical form, equal for equal sets of objects."""
    fields: dict[str, Any] = {kind: dict(getattr(cfg, kind)) for kind in KINDS}
    document = _Canonical(**fields).model_dump(mode="json")
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return text.encode()


def decode(
    snapshot: Snapshot,
) -> Result[objects.Configuration, BadSnapshot]:
    """Verify the digest of a snapshot and decode it.

    Fields that a newer release has added are ignored.
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
