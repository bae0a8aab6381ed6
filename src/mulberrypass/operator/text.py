"""Formats answers of the control program for a terminal."""

from __future__ import annotations

from datetime import UTC, datetime
import json
from typing import TYPE_CHECKING, Any

import yaml

from mulberrypass.model.diff import Action, Change
from mulberrypass.model.fault import pluralize
from mulberrypass.model.render import without_unset
from mulberrypass.operator.client import NoAnswer, Refused

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.operator.client import ClientError

ACTION_SIGNS = {"added": "+", "changed": "~", "removed": "-"}
MAX_SHOWN_CHANGES = 20


def check_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Yield the lines for a valid set."""
    counts = ", ".join(
        pluralize(count, kind[:-1])
        for kind, count in answer["objects"].items()
        if count
    )
    yield f"the set is correct: {counts or 'it is empty'}"


def plan_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Yield the changes that a set would make."""
    yield f"against generation {answer['generation']}:"
    yield from change_lines(answer["changes"])
    yield from doubt_lines(answer)


def change_lines(changes: list[dict[str, Any]]) -> Iterator[str]:
    """Yield one line for each changed object and field."""
    if not changes:
        yield "  nothing changes"
    for change in changes:
        label = change.get("entry") or object_label(change)
        yield f"  {ACTION_SIGNS[change['action']]} {label}"
        for field in change.get("fields", ()):
            before, after = (
                _inline_yaml(field["before"]),
                _inline_yaml(field["after"]),
            )
            yield f"      {field['field']}: {before} -> {after}"


def lint_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Yield the warnings about a configuration, and its differences."""
    for warning in answer["warnings"]:
        yield f"warning: {warning['text']}"
    if answer["changes"] is not None:
        yield f"against {answer['against']}:"
        yield from change_lines(answer["changes"])
    yield f"no error, {pluralize(len(answer['warnings']), 'warning')}"


def object_label(change: dict[str, Any]) -> str:
    """Return kind and name of a changed object."""
    action = Action(change["action"])
    return Change(change["kind"], change["key"], action).label


def accepted_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Yield the result of a submission."""
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
    """Yield the result of a submission, and where it is in force."""
    yield from accepted_lines(answer)
    fleet = answer["fleet"]
    if "unknown" in fleet:
        yield f"where it is in force is not known: {fleet['unknown']}"
        return
    yield from in_force_lines(fleet, answer["generation"])


def in_force_lines(
    generations: dict[str, Any], generation: int
) -> Iterator[str]:
    """Yield on how many instances a generation is in force."""
    behind = [
        m for m in generations["missing"] if m["generation"] < generation
    ]
    instances = generations["instances"]
    in_force = instances - len({m["instance"] for m in behind})
    yield f"in force on {in_force} of {instances} instances"
    for member in behind:
        yield (
            f"  missing: {member['name']} in {member['zone']} "
            f"({member['state']}) holds generation {member['generation']}"
        )


def generation_lines(generations: dict[str, Any]) -> Iterator[str]:
    """Yield the generation that each member holds."""
    yield f"generation {generations['generation']}"
    yield from in_force_lines(generations, generations["generation"])
    for member in generations["members"]:
        yield (
            f"  {member['name']:<28} {member['zone']:<14} "
            f"{member['state']:<8} {member['generation']}"
        )
    yield from doubt_lines(generations)


def doubt_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Yield why a newer generation may be published, if it may."""
    if answer.get("doubt"):
        yield f"a newer generation may be published: {answer['doubt']}"


def history_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Yield the published generations, newest first."""
    for entry in answer["history"]:
        message = (
            f"  {json.dumps(entry['message'])}" if entry["message"] else ""
        )
        yield (
            f"generation {entry['generation']}  {format_time(entry['at'])}  "
            f"{entry['operator']}  {pluralize(entry['changed'], 'change')}"
            f"{message}"
        )
        for change in entry["changes"][:MAX_SHOWN_CHANGES]:
            yield f"  {ACTION_SIGNS[change['action']]} {object_label(change)}"
        if entry["changed"] > MAX_SHOWN_CHANGES:
            yield f"  and {entry['changed'] - MAX_SHOWN_CHANGES} more"


def document_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Yield objects as YAML documents that can be submitted again."""
    yield f"# generation {answer['generation']}"
    for line in doubt_lines(answer):
        yield f"# {line}"
    for document in answer["documents"]:
        yield "---"
        text = yaml.safe_dump(document, sort_keys=False)
        yield from text.splitlines()


def status_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Yield what needs attention, then the fleet, its jobs and pools."""
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
    """Yield how a request would be routed, like a query plan."""
    yield (
        f'service "{answer["service"]}", customer "{answer["customer"]}", '
        f"generation {answer['generation']}"
    )
    yield f"  route: {_inline_yaml(answer['route'])}"
    yield f"  pool: {_inline_yaml(answer['pool'])}"
    for cell in answer["cells"]:
        names = ", ".join(cell["backends"])
        yield f"  {cell['cell']} ({names}) is admitted to by {cell['owner']}"
    for owner, state in sorted(answer["owners"].items()):
        yield f"  {owner}:"
        shown = json.dumps(state, indent=1, sort_keys=True)
        yield from (f"    {line}" for line in shown.splitlines())


def error_lines(exc: ClientError) -> Iterator[str]:
    """Yield why a command failed."""
    match exc:
        case NoAnswer(reason=reason):
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
        f"{format_time(conflict['at'])}; {own}"
    )


def _inline_yaml(value: Any) -> str:
    """Return a value as YAML on one line, without unset fields."""
    flow = yaml.safe_dump(
        without_unset(value),
        default_flow_style=True,
        sort_keys=False,
        width=10_000,
    )
    return flow.removesuffix("...\n").strip()


def format_time(at: float) -> str:
    """Return a Unix time in ISO 8601, in UTC."""
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
    "lint_lines",
    "plan_lines",
    "status_lines",
    "submitted_lines",
]
