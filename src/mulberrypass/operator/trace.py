"""Traces a request, a job or an item through the logs of instances."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

IDENTIFIER_FIELDS = ("id", "request", "requests", "job", "item", "items")
CRASH_EVENT = "connections ended early"
REQUEST_CRASHES = "request_crashes_engines"
QUARANTINE_EVENTS = (
    "part quarantined",
    "part released from quarantine",
    "request quarantined",
    "request released from quarantine",
)
DEPARTURE_EVENTS = ("engine says that it leaves", "engine was said to leave")
LEAVES_REASON = "engine leaves"
# Left out of the printed fields: shown separately, or on every line.
COMMON_FIELDS = frozenset(
    {"program", "member", "source", "event", "level", "timestamp"}
)


@value_class
class LogLine:
    """One parsed log line.

    :param at: timestamp as written; sorts lexicographically
    """

    at: str
    member: str
    event: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line formatted for a terminal."""
        shown = " ".join(
            f"{k}={_format_value(v)}" for k, v in self.fields.items()
        )
        return f"{self.at}  {self.member}  {self.event}  {shown}".rstrip()


def trace(identifier: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines that mention an identifier, sorted by time.

    If one of them names a part of a prompt or a request that crashes engines,
    the lines on these crashes come too.
    So do those on who said that an engine leaves, if a request was held back
    from it, or if the identifier is the engine's.

    Lines that are not JSON are skipped, and so is any text before the first
    brace, as log collectors add their own prefixes.
    """
    parsed = list(_parse_lines(lines))
    found = [line for line in parsed if _mentions(line, identifier)]
    parts = {line.fields.get("part") for line in found} - {None}
    requests = {
        line.fields.get("request")
        for line in found
        if line.fields.get("reason") == REQUEST_CRASHES
    }
    found += [
        line
        for line in parsed
        if line not in found and _is_on_crash(line, parts, requests)
    ]
    engines = {
        line.fields.get("engine")
        for line in found
        if line.fields.get("reason") == LEAVES_REASON
    }
    found += [
        line
        for line in parsed
        if line.event in DEPARTURE_EVENTS
        and line not in found
        and line.fields.get("engine") in {identifier, *engines}
    ]
    return sorted(found, key=lambda line: line.at)


def _parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
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
        fields = {k: v for k, v in doc.items() if k not in COMMON_FIELDS}
        yield LogLine(
            str(doc.get("timestamp", "")),
            str(doc.get("member", "")),
            str(doc.get("event", "")),
            fields,
        )


def _mentions(line: LogLine, identifier: str) -> bool:
    for name in IDENTIFIER_FIELDS:
        value = line.fields.get(name)
        if value == identifier:
            return True
        if isinstance(value, list) and identifier in value:
            return True
    return False


def _is_on_crash(
    line: LogLine, parts: set[str | None], requests: set[str | None]
) -> bool:
    """Return whether a line tells why something is quarantined."""
    if line.event in QUARANTINE_EVENTS:
        fields = line.fields
        if fields.get("part") in parts:
            return True
        return fields.get("request") in requests
    if line.event != CRASH_EVENT:
        return False
    if not parts.isdisjoint(line.fields.get("suspects", ())):
        return True
    return not requests.isdisjoint(line.fields.get("requests", ()))


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


__all__ = ["LogLine", "trace"]
