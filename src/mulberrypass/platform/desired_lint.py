"""Checks a desired state before it is sent."""

from __future__ import annotations

from dataclasses import replace
import difflib
import json
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result
from pydantic import ValidationError

from mulberrypass.model.fault import Fault, quoted
from mulberrypass.model.lint import CustomerKeys, lint_routes, shown_digest
from mulberrypass.model.routes import RouteTable, key_digest
from mulberrypass.model.value_class import value_class
from mulberrypass.platform.desired import (
    ROUTE_KINDS,
    DesiredState,
    read_desired,
)
from mulberrypass.relay.followers import DocumentError

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

KINDS = {"Routes": "route", "Services": "service", "Tenants": "customer"}
STATE = "desired state"
# Names in the document of the fields that warnings are about.
FIELDS = {
    "name": "Name",
    "prefix": "Prefix",
    "services": "Backends",
    "timeout_s": "TimeoutMs",
    "gap_s": "TargetGapMs",
    "retention_s": "RetentionS",
    "max_attempts": "MaxAttempts",
    "quota_tokens": "Cap",
    "keys": "ApiKeys",
    "burst": "Burst",
}
# Similarity from which an unknown field is taken for a misspelt one.
MISSPELT = 0.8


@value_class
class CheckedState:
    """A desired state that can be put in force.

    :param entries: fields of each entry; keys of customers as digests
    :param warnings: of the document itself, without those of the routes
    """

    table: RouteTable
    keys: tuple[CustomerKeys, ...]
    entries: Mapping[str, Mapping[str, Any]]
    warnings: tuple[Fault, ...]


def is_desired(content: Any) -> bool:
    """Return whether a document is a desired state, not an object."""
    return (
        isinstance(content, dict)
        and "kind" not in content
        and not {"Version", "Limits", *KINDS}.isdisjoint(content)
    )


def check_desired(
    content: dict[str, Any],
) -> Result[CheckedState, tuple[Fault, ...]]:
    """Validate a desired state, and return all of its errors if it has some.

    Errors don't show values that may be keys.
    """
    try:
        data = json.dumps(content).encode()
        state = DesiredState.model_validate_json(data)
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_input=False)
        return Error(tuple(_error(content, error) for error in errors))
    except (TypeError, ValueError):
        return Error((_fault(STATE, "", "it can't be written as JSON", ""),))
    kinds = tuple(_unknown_kinds(state))
    if kinds:
        return Error(kinds)
    try:
        table = read_desired(data)
    except DocumentError as exc:
        return Error((_fault(STATE, "", str(exc), ""),))
    keys = tuple(
        CustomerKeys(c.name, tuple(key_digest(k) for k in c.api_keys if k))
        for c in state.tenants or ()
    )
    entries: dict[str, Mapping[str, Any]] = {}
    warnings = tuple(_add_entries(entries, content, state))
    return Ok(CheckedState(table, keys, entries, warnings))


def lint_desired(state: CheckedState) -> Iterator[Fault]:
    """Yield the warnings about a desired state."""
    yield from state.warnings
    for fault in lint_routes(state.table, state.keys):
        field = FIELDS[fault.field]
        if field == "Backends" and state.entries[fault.object]["Service"]:
            field = "Service"
        yield replace(fault, field=field)


def _unknown_kinds(state: DesiredState) -> Iterator[Fault]:
    for route in state.routes:
        if route.route_type not in ROUTE_KINDS:
            problem = f'"{route.route_type}" is not a kind of route'
            remedy = f"write one of {quoted(ROUTE_KINDS)}"
            yield _fault(f'route "{route.name}"', "RouteType", problem, remedy)


def _add_entries(
    entries: dict[str, Mapping[str, Any]],
    content: dict[str, Any],
    state: DesiredState,
) -> Iterator[Fault]:
    """Add all entries by label, and yield what is odd about their fields."""
    dumped = state.model_dump(mode="json", by_alias=True)
    has_customers = dumped["Tenants"] is not None
    entries[STATE] = {
        "Version": dumped["Version"],
        "Tenants": "present" if has_customers else "missing",
    }
    entries["limits"] = dumped["Limits"]
    yield from _misspelt(STATE, content, dumped)
    yield from _misspelt("limits", content.get("Limits", {}), dumped["Limits"])
    for section, kind in KINDS.items():
        for number, fields in enumerate(dumped[section] or ()):
            label = f'{kind} "{fields["Name"]}"'
            yield from _misspelt(label, content[section][number], fields)
            if "ApiKeys" in fields:
                fields["ApiKeys"] = sorted(
                    shown_digest(key_digest(key).hex())
                    for key in filter(None, fields["ApiKeys"])
                )
            if label in entries:
                problem = "another entry has this name"
                yield _fault(label, "Name", problem, "give each its own")
                label = f"{label} at {section}.{number}"
            entries[label] = fields


def _misspelt(
    label: str, given: dict[str, Any], known: dict[str, Any]
) -> Iterator[Fault]:
    """Yield the fields that are ignored and resemble one that is read."""
    by_lower = {name.lower(): name for name in known}
    for name in given:
        if name in known:
            continue
        lower = str(name).lower()
        near = difflib.get_close_matches(lower, by_lower, 1, MISSPELT)
        if near:
            remedy = f'did you mean "{by_lower[near[0]]}"?'
            yield _fault(label, str(name), "the field is ignored", remedy)


def _error(content: dict[str, Any], error: Any) -> Fault:
    label, path = STATE, [str(part) for part in error["loc"]]
    match error["loc"]:
        case (str(section), int(number), *rest) if section in KINDS:
            label = f"{KINDS[section]} {section}.{number}"
            entry = content[section][number]
            name = entry.get("Name") if isinstance(entry, dict) else None
            if isinstance(name, str):
                label = f'{KINDS[section]} "{name}"'
            path = [str(part) for part in rest]
    if error["type"] == "missing":
        problem, remedy = "it is missing", "give it a value"
    else:
        problem, remedy = str(error["msg"]), "correct the value"
        problem = problem[:1].lower() + problem[1:]
    return _fault(label, ".".join(path), problem, remedy)


def _fault(label: str, field: str, problem: str, remedy: str) -> Fault:
    return Fault("", 0, label, field, problem, remedy)


__all__ = ["CheckedState", "check_desired", "is_desired", "lint_desired"]
