"""Reading and validation of job manifests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import xxhash

from mulberrypass.jobs.rows import ManifestLot
from mulberrypass.model.objects import ServiceKind
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import BinaryIO

    from mulberrypass.model.objects import Service

MAX_ITEMS = 400_000
MAX_LINE_BYTES = 262_144
LOT_ITEMS = 4_000
LOT_BYTES = 8_388_608
ITEM_FIELDS = frozenset({"input", "max_tokens"})


@value_class
class BadLine:
    """A manifest line that can't be accepted.

    :param line: number of the line, from 0 like the items
    """

    line: int
    reason: str


class BadLineError(Exception):
    """A manifest has a line that can't be accepted."""

    def __init__(self, bad: BadLine) -> None:
        super().__init__(bad.reason)
        self.bad = bad


@value_class
class Item:
    """One item of a job.

    :param max_tokens: most tokens in its answer; 0 for a plain service
    """

    payload: Any
    max_tokens: int


@value_class
class LotData:
    """One lot of a manifest and its stored bytes."""

    lot: ManifestLot
    data: bytes


class ManifestReader:
    """Reads a manifest once, lot by lot.

    :param body: NDJSON stream, of which one lot at a time is in memory
    """

    def __init__(
        self, body: BinaryIO, service: Service, lot_items: int = LOT_ITEMS
    ) -> None:
        self._body = body
        self._service = service
        self._lot_items = lot_items
        self._digest = xxhash.xxh3_128(service.name.encode() + b"\n")
        self.items = 0

    @property
    def digest(self) -> str:
        """Digest of the service and of the lines read so far."""
        return self._digest.hexdigest()

    def lots(self) -> Iterator[LotData]:
        """Yield the lots in order.

        :raises BadLineError: at the first line that isn't a valid item
        """
        lines: list[bytes] = []
        size = 0
        for line in self._lines():
            lines.append(line)
            size += len(line)
            if len(lines) >= self._lot_items or size >= LOT_BYTES:
                yield self._lot(lines)
                lines, size = [], 0
        if lines:
            yield self._lot(lines)

    def _lines(self) -> Iterator[bytes]:
        while True:
            line = self._body.readline(MAX_LINE_BYTES + 1)
            if not line:
                return
            if len(line) > MAX_LINE_BYTES:
                raise self._bad(f"longer than {MAX_LINE_BYTES} bytes")
            if self.items >= MAX_ITEMS:
                raise self._bad(f"a job has at most {MAX_ITEMS} items")
            line = line.strip()
            reason = check_item(line, self._service)
            if reason:
                raise self._bad(reason)
            self._digest.update(line + b"\n")
            self.items += 1
            yield line

    def _bad(self, reason: str) -> BadLineError:
        return BadLineError(BadLine(self.items, reason))

    def _lot(self, lines: list[bytes]) -> LotData:
        data = b"\n".join(lines)
        digest = xxhash.xxh3_128_hexdigest(data)
        first = self.items - len(lines)
        return LotData(ManifestLot(digest, first, len(lines)), data)


def check_item(line: bytes, service: Service) -> str:
    """Return what is wrong with an item's line, or an empty string."""
    try:
        doc = json.loads(line)
    except (ValueError, RecursionError):
        return "not JSON in UTF-8"
    if not isinstance(doc, dict) or "input" not in doc:
        return "must be an object with the field input"
    unknown = doc.keys() - ITEM_FIELDS
    if unknown or b"\r" in line:
        return f"unknown field {min(unknown)}" if unknown else "a bare return"
    return _check_fields(doc, service)


def _check_fields(doc: dict[str, Any], service: Service) -> str:
    max_tokens = doc.get("max_tokens")
    if service.kind is ServiceKind.PLAIN:
        return "" if max_tokens is None else "max_tokens: not for this service"
    if not isinstance(doc["input"], str) or not doc["input"].strip():
        return "input: must be text, not empty"
    if max_tokens is None:
        return ""
    limit = service.max_output_tokens
    if type(max_tokens) is not int or not 1 <= max_tokens <= limit:
        return f"max_tokens: must be a whole number from 1 to {limit}"
    return ""


def read_item(line: bytes, service: Service) -> Item:
    """Parse an item's line that was checked when the job was accepted."""
    doc = json.loads(line)
    if service.kind is ServiceKind.PLAIN:
        return Item(doc["input"], 0)
    max_tokens = doc.get("max_tokens") or service.max_output_tokens
    return Item(doc["input"], max_tokens)


__all__ = [
    "BadLine",
    "BadLineError",
    "Item",
    "LOT_ITEMS",
    "LotData",
    "MAX_ITEMS",
    "MAX_LINE_BYTES",
    "ManifestReader",
    "check_item",
    "read_item",
]
