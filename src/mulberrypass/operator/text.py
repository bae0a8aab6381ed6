"""Answers of the control program as lines for a terminal."""

from __future__ import annotations

from datetime import UTC, datetime
import json
from typing import TYPE_CHECKING, Any

import yaml

from mulberrypass.model.diff import Action, Change
from mulberrypass.model.fault import pluralize
from mulberrypass.model.render import without_unset
from mulberrypass.operator.client import Refused, Silent

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.operator.client import ClientError

MARKS = {"added": "+", "changed": "~", "removed": "-"}
MAX_SHOWN_CHANGES = 20


def check_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Say that a set is correct."""
    counts = ", ".join(
        pluralize(count, kind[:-1])
        for kind, count in answer["objects"].items()
        if count
    )
    yield f"the set is correct: {counts or 'it is empty'}"


def plan_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Say what a set would change."""
    yield f"against generation {answer['generation']}:"
    yield from change_lines(answer["changes"])
    yield from doubt_lines(answer)


def change_lines(changes: list[dict[str, Any]]) -> Iterator[str]:
    """Give a line for each changed object and field."""
    if not changes:
        yield "  nothing changes"
    for change in changes:
        yield f"  {MARKS[change['action']]} {label(change)}"
        for field in change.get("fields", ()):
            before, after = _flow(field["before"]), _flow(field["after"])
            yield f"      {field['field']}: {before} -> {after}"


def label(change: dict[str, Any]) -> str:
    """Name an object."""
    action = Action(change["action"])
    return Change(change["kind"], change["key"], action).label


def accepted_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Say what became of a submission."""
    generation = answer["generation"]
    if answer["unchanged"]:
        yield f"nothing changes: the set is generation {generation} already"
        return
    if answer["repeated"]:
        yield f"accepted before, as generation {generation}"
        return
    yield from change_lines(answer["changes"])
    yield f"accepted as generation {generation}"


def submitted_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Say what became of a submission, and where it is in force."""
    yield from accepted_lines(answer)
    fleet = answer["fleet"]
    if "unknown" in fleet:
        yield f"where it is in force is not known: {fleet['unknown']}"
        return
    yield from force_lines(fleet, answer["generation"])


def force_lines(holds: dict[str, Any], generation: int) -> Iterator[str]:
    """Say on how many instances a generation is in force."""
    late = [m for m in holds["missing"] if m["generation"] < generation]
    instances = holds["instances"]
    in_force = instances - len({m["instance"] for m in late})
    yield f"in force on {in_force} of {instances} instances"
    for member in late:
        yield (
            f"  missing: {member['name']} in {member['zone']} "
            f"({member['state']}) holds generation {member['generation']}"
        )


def generation_lines(holds: dict[str, Any]) -> Iterator[str]:
    """Say which members hold what."""
    yield f"generation {holds['generation']}"
    yield from force_lines(holds, holds["generation"])
    for member in holds["members"]:
        yield (
            f"  {member['name']:<28} {member['zone']:<14} "
            f"{member['state']:<8} {member['generation']}"
        )
    yield from doubt_lines(holds)


def doubt_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Say why a newer generation may be published."""
    if answer.get("doubt"):
        yield f"a newer generation may be published: {answer['doubt']}"


def history_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Give the published generations, newest first."""
    for entry in answer["history"]:
        message = (
            f"  {json.dumps(entry['message'])}" if entry["message"] else ""
        )
        yield (
            f"generation {entry['generation']}  {when(entry['at'])}  "
            f"{entry['operator']}  {pluralize(entry['changed'], 'change')}"
            f"{message}"
        )
        for change in entry["changes"][:MAX_SHOWN_CHANGES]:
            yield f"  {MARKS[change['action']]} {label(change)}"
        if entry["changed"] > MAX_SHOWN_CHANGES:
            yield f"  and {entry['changed'] - MAX_SHOWN_CHANGES} more"


def document_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Give objects as documents that can be submitted again."""
    yield f"# generation {answer['generation']}"
    for line in doubt_lines(answer):
        yield f"# {line}"
    for document in answer["documents"]:
        yield "---"
        text = yaml.safe_dump(document, sort_keys=False)
        yield from text.splitlines()


def status_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Give what there is to look at, then the fleet and its jobs."""
    for line in answer["attention"]:
        yield f"! {line}"
    if not answer["attention"]:
        yield "nothing needs attention"
    yield from generation_lines(answer["fleet"])
    if not answer["jobs"]["error"]:
        yield f"{pluralize(answer['jobs']['jobs'], 'job')} in the last day"
    for name, pool in sorted(answer["placement"].items()):
        yield f'pool "{name}", placed by this control process:'
        for engine, state in sorted(pool["engines"].items()):
            loaded = " ".join(state["loaded"]) or "nothing"
            yield f"  {engine:<28} {loaded}"


def explain_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Say what would become of a request, as a query planner does."""
    yield (
        f'service "{answer["service"]}", customer "{answer["customer"]}", '
        f"generation {answer['generation']}"
    )
    yield f"  route: {_flow(answer['route'])}"
    yield f"  pool: {_flow(answer['pool'])}"
    for cell in answer["cells"]:
        names = ", ".join(cell["backends"])
        yield f"  {cell['cell']} ({names}) is admitted to by {cell['owner']}"
    for owner, state in sorted(answer["owners"].items()):
        yield f"  {owner}:"
        shown = json.dumps(state, indent=1, sort_keys=True)
        yield from (f"    {line}" for line in shown.splitlines())


def error_lines(exc: ClientError) -> Iterator[str]:
    """Say why a command came to nothing."""
    match exc:
        case Silent(reason=reason):
            yield f"mulberryctl: {reason}"
        case Refused():
            yield from _refused_lines(exc)


def _refused_lines(exc: Refused) -> Iterator[str]:
    for fault in exc.document.get("faults", ()):
        yield str(fault["text"])
    for conflict in exc.document.get("objects", ()):
        yield _conflict_line(conflict)
    yield f"mulberryctl: {exc.detail}"


def _conflict_line(conflict: dict[str, Any]) -> str:
    mine = conflict["mine"]
    match mine:
        case None:
            own = "your own changes are not known"
        case "":
            own = "you leave it as it was"
        case _:
            own = f"in your set it is {mine}"
    return (
        f"{conflict['object']}: {conflict['action']} by "
        f"{conflict['operator']} in generation {conflict['generation']} at "
        f"{when(conflict['at'])}; {own}"
    )


def _flow(value: Any) -> str:
    """Give a value on one line, without fields that are not set."""
    flow = yaml.safe_dump(
        without_unset(value),
        default_flow_style=True,
        sort_keys=False,
        width=10_000,
    )
    return flow.removesuffix("...\n").strip()


def when(at: float) -> str:
    """Give a Unix time for people."""
    moment = datetime.fromtimestamp(at, UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


__all__ = [
    "change_lines",
    "check_lines",
    "document_lines",
    "doubt_lines",
    "error_lines",
    "explain_lines",
    "generation_lines",
    "history_lines",
    "plan_lines",
    "status_lines",
    "submitted_lines",
]
