"""Validates a complete set of objects."""

from __future__ import annotations

import difflib
import json
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result
from pydantic import ValidationError

from mulberrypass.model import references, rules, snapshot
from mulberrypass.model.document import DOCUMENTS
from mulberrypass.model.fault import Fault, quoted
from mulberrypass.model.located import LocatedDocument, ObjectSet, describe

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from mulberrypass.model.document import Document
    from mulberrypass.model.load import RawDocument
    from mulberrypass.model.objects import Configuration

MAX_FAULTS = 500


def check(
    raws: Iterable[RawDocument], base: Configuration | None = None
) -> Result[Configuration, tuple[Fault, ...]]:
    """Validate documents as one complete set.

    :param base: the configuration in force, to distinguish a reference to a
        removed object from one to an object that never existed
    :returns: the unpublished configuration, or up to ``MAX_FAULTS`` faults
    """
    located: list[LocatedDocument] = []
    unparsed: list[tuple[str, str]] = []
    faults: list[Fault] = []
    for raw in raws:
        match _parse(raw):
            case Result(tag="ok", ok=doc):
                located.append(LocatedDocument(raw.source, doc))
            case Result(tag="error", error=found):
                faults.extend(found)
                unparsed.extend(_identity(raw))
    objects = ObjectSet(tuple(located), frozenset(unparsed))
    faults.extend(references.check_references(objects, base))
    faults.extend(rules.check_rules(objects))
    if faults:
        return Error(tuple(sorted(set(faults))[:MAX_FAULTS]))
    return Ok(snapshot.from_documents(p.document for p in located))


def _parse(raw: RawDocument) -> Result[Document, list[Fault]]:
    content = raw.content
    if not isinstance(content, dict):
        problem = "a document is a mapping of fields"
        return Error([_fault(raw, "", "", problem, 'give it "kind"')])
    kind = content.get("kind")
    document = DOCUMENTS.get(kind) if isinstance(kind, str) else None
    if document is None:
        problem = f'"{kind}" is not a kind of object'
        if kind is None:
            problem = "it is missing"
        remedy = f"write one of {quoted(DOCUMENTS)}"
        return Error([_fault(raw, _label(content), "kind", problem, remedy)])
    try:
        text = json.dumps(content)
        return Ok(document.model_validate_json(text))
    except (TypeError, ValueError) as exc:
        if not isinstance(exc, ValidationError):
            return Error([_fault(raw, _label(content), "", str(exc), "")])
        label = describe(document, content)
        return Error(
            [_fault_from_error(raw, label, document, e) for e in _errors(exc)]
        )


def _errors(exc: ValidationError) -> list[Any]:
    errors: list[Any] = exc.errors(include_url=False, include_input=False)
    return errors


def _fault_from_error(
    raw: RawDocument,
    label: str,
    document: type[Document],
    error: Mapping[str, Any],
) -> Fault:
    path = ".".join(str(part) for part in error["loc"])
    remedy = str(error.get("ctx", {}).get("remedy", ""))
    match error["type"]:
        case "extra_forbidden":
            problem = "there is no such field"
            remedy = _field_remedy(document, error["loc"])
        case "missing":
            problem = "it is missing"
            remedy = "give it a value"
        case _:
            problem = str(error["msg"])
            problem = problem[:1].lower() + problem[1:]
    return _fault(raw, label, path, problem, remedy)


def _field_remedy(document: type[Document], path: tuple[Any, ...]) -> str:
    if len(path) > 1:
        return "leave it out"
    fields = sorted(document.model_fields)
    near = difflib.get_close_matches(str(path[0]), fields, n=1)
    if near:
        return f'did you mean "{near[0]}"?'
    return f"the fields are {quoted(fields)}"


def _identity(raw: RawDocument) -> list[tuple[str, str]]:
    """Return kind and key of an invalid document.

    References to the object are then not reported as missing.
    """
    content = raw.content
    if not isinstance(content, dict):
        return []
    kind, name = content.get("kind"), content.get("name")
    model = content.get("model")
    if kind in ("version", "adapter"):
        name = f"{model}/{name}"
    return [(str(kind), str(name))]


def _label(content: Mapping[str, Any]) -> str:
    name = content.get("name")
    return "" if name is None else f'object "{name}"'


def _fault(
    raw: RawDocument, label: str, field: str, problem: str, remedy: str
) -> Fault:
    source = raw.source
    return Fault(source.file, source.line, label, field, problem, remedy)


__all__ = ["MAX_FAULTS", "check"]
