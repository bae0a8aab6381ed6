"""``mulberryctl lint``: checks a configuration without a control program."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from mulberrypass.model.check import check
from mulberrypass.model.diff import FieldChange, differences
from mulberrypass.model.document import DOCUMENTS
from mulberrypass.model.fault import Fault, Source
from mulberrypass.model.jsonable import jsonable
from mulberrypass.model.lint import (
    EntryChange,
    entry_changes,
    lint_configuration,
    shown_digest,
)
from mulberrypass.model.load import load_files
from mulberrypass.model.located import describe
from mulberrypass.model.objects import Configuration
from mulberrypass.model.value_class import value_class
from mulberrypass.platform.desired_lint import (
    CheckedState,
    check_desired,
    is_desired,
    lint_desired,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.model.load import RawDocument

Checked = Configuration | CheckedState
Faults = tuple[Fault, ...]


@value_class
class LintReport:
    """Result of a check without errors.

    :param changes: differences from the other file; ``None`` without one
    """

    warnings: Faults
    changes: tuple[EntryChange, ...] | None = None


def lint(
    files: tuple[str, ...], against: str = ""
) -> Result[LintReport, Faults]:
    """Check files, and compare them with the version in force.

    :param against: file of that version; empty for none
    """
    try:
        return Ok(_report(files, against))
    except _InvalidFiles as exc:
        return Error(exc.faults)


def _report(files: tuple[str, ...], against: str) -> LintReport:
    other = _read((against,))[1] if against else None
    base = other if isinstance(other, Configuration) else None
    documents, checked = _read(files, base)
    warnings = tuple(sorted(set(_warnings(documents, checked))))
    match other, checked:
        case None, _:
            return LintReport(warnings)
        case Configuration(), Configuration():
            changes = tuple(_object_changes(other, checked))
        case CheckedState(), CheckedState():
            changes = tuple(entry_changes(other.entries, checked.entries))
        case _:
            problem = "objects and a desired state can't be compared"
            remedy = "name a file of the same kind"
            raise _InvalidFiles(Fault(against, 1, "", "", problem, remedy))
    return LintReport(warnings, changes)


def _read(
    files: tuple[str, ...], base: Configuration | None = None
) -> tuple[tuple[RawDocument, ...], Checked]:
    loaded = load_files(files)
    raws = loaded.documents
    if loaded.faults:
        raise _InvalidFiles(*loaded.faults)
    if not raws:
        problem = "there is no document"
        raise _InvalidFiles(Fault(files[0], 0, "", "", problem, "write one"))
    states = [raw for raw in raws if is_desired(raw.content)]
    if states and len(raws) > 1:
        problem = "a desired state is checked by itself"
        fault = Fault("", 0, "", "", problem, "name one file")
        raise _InvalidFiles(_located(fault, states[-1].source))
    result: Result[Any, Faults] = (
        check_desired(raws[0].content) if states else check(raws, base)
    )
    match result:
        case Result(tag="ok", ok=checked):
            return raws, checked
        case Result(error=faults) if states:
            source = raws[0].source
            raise _InvalidFiles(*(_located(f, source) for f in faults))
        case Result(error=faults):
            raise _InvalidFiles(*faults)


def _warnings(
    documents: tuple[RawDocument, ...], checked: Checked
) -> Iterator[Fault]:
    if isinstance(checked, CheckedState):
        for fault in lint_desired(checked):
            yield _located(fault, documents[0].source)
        return
    sources = {}
    for raw in documents:
        label = describe(DOCUMENTS[raw.content["kind"]], raw.content)
        sources[label] = raw.source
    for fault in lint_configuration(checked):
        yield _located(fault, sources[fault.object])


def _located(fault: Fault, source: Source) -> Fault:
    return replace(fault, file=source.file, line=source.line)


def _object_changes(
    before: Configuration, after: Configuration
) -> Iterator[EntryChange]:
    for change in differences(before, after):
        fields = tuple(map(_shortened, change.fields))
        yield EntryChange(change.label, change.action, fields)


def _shortened(change: FieldChange) -> FieldChange:
    if change.field != "keys":
        return change
    before, after = (
        [
            key | {"digest": shown_digest(key["digest"])}
            for key in jsonable(keys)
        ]
        for keys in (change.before, change.after)
    )
    return FieldChange("keys", before, after)


class _InvalidFiles(Exception):
    def __init__(self, *faults: Fault) -> None:
        super().__init__(faults)
        self.faults = faults


__all__ = ["LintReport", "lint"]
