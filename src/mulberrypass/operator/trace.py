"""Tells the story of a request, a job or an item from instances' logs."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

IDENTIFIERS = ("id", "job", "item", "items")
# What each line says anyway.
COMMON = frozenset(
    {"program", "member", "source", "event", "level", "timestamp"}
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log that was read.

    :param at: time as written, which sorts as text
    """

    at: str
    member: str
    event: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Give the line for a reader."""
        shown = " ".join(f"{k}={_shown(v)}" for k, v in self.fields.items())
        return f"{self.at}  {self.member}  {self.event}  {shown}".rstrip()


def trace(identifier: str, lines: Iterable[str]) -> list[LogLine]:
    """Give the lines that are about an identifier, by time.

    Lines that are no JSON are passed over; what stands before the first
    brace is too, as collectors put their own marks there.
    """
    found = (line for line in _read(lines) if _is_about(line, identifier))
    return sorted(found, key=lambda line: line.at)


def _read(lines: Iterable[str]) -> Iterator[LogLine]:
    for line in lines:
        brace = line.find("{")
        if brace < 0:
            continue
        try:
            doc = json.loads(line[brace:])
        except ValueError:
            continue
        if not isinstance(doc, dict):
            continue
        fields = {k: v for k, v in doc.items() if k not in COMMON}
        yield LogLine(
            str(doc.get("timestamp", "")),
            str(doc.get("member", "")),
            str(doc.get("event", "")),
            fields,
        )


def _is_about(line: LogLine, identifier: str) -> bool:
    for name in IDENTIFIERS:
        value = line.fields.get(name)
        if value == identifier:
            return True
        if isinstance(value, list) and identifier in value:
            return True
    return False


def _shown(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


__all__ = ["LogLine", "trace"]
