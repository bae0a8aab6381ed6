"""Checks that each referenced object exists in the set.

No kind of object references its own kind, directly or indirectly, so
references can't form cycles.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.model import document as d
from mulberrypass.model.fault import quoted
from mulberrypass.model.located import describe
from mulberrypass.model.objects import version_key
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.model.fault import Fault
    from mulberrypass.model.located import LocatedDocument, ObjectSet
    from mulberrypass.model.objects import Configuration

MAX_SUGGESTED_NAMES = 8


@value_class
class Reference:
    """A reference from one object to another one.

    :param model: the model, if a version or adapter is referenced
    """

    field: str
    kind: type[d.Document]
    name: str
    model: str | None = None

    @property
    def key(self) -> str:
        """Key of the referenced object."""
        if self.model is None:
            return self.name
        return version_key(self.model, self.name)

    @property
    def label(self) -> str:
        """Kind and name of the referenced object."""
        return describe(self.kind, {"name": self.name, "model": self.model})


def references_of(doc: d.Document) -> Iterator[Reference]:
    """Yield all references of one document."""
    match doc:
        case d.ServiceDocument():
            yield from _service_references(doc)
        case d.VersionDocument() | d.AdapterDocument():
            yield Reference("model", d.ModelDocument, doc.model)
        case d.PoolDocument():
            for index, name in enumerate(doc.backends):
                field = f"backends.{index}"
                yield Reference(field, d.BackendDocument, name)
        case d.CustomerDocument() if doc.quota is not None:
            yield Reference("quota", d.QuotaDocument, doc.quota)


def check_references(
    objects: ObjectSet, base: Configuration | None
) -> Iterator[Fault]:
    """Yield a fault for each reference to an object that is missing."""
    keys = {kind: objects.keys(kind) for kind in d.DOCUMENTS.values()}
    for located in objects.documents:
        for reference in references_of(located.document):
            known = keys[reference.kind]
            if reference.key not in known:
                yield _missing_object_fault(located, reference, known, base)


def _service_references(doc: d.ServiceDocument) -> Iterator[Reference]:
    yield Reference("pool", d.PoolDocument, doc.pool)
    for index, customer in enumerate(doc.customers):
        yield Reference(f"customers.{index}", d.CustomerDocument, customer)
    if doc.model is None:
        return
    yield Reference("model", d.ModelDocument, doc.model)
    for index, route in enumerate(doc.routes):
        field = f"routes.{index}"
        yield Reference(
            f"{field}.version", d.VersionDocument, route.version, doc.model
        )
        if route.adapter is not None:
            yield Reference(
                f"{field}.adapter",
                d.AdapterDocument,
                route.adapter,
                doc.model,
            )


def _missing_object_fault(
    located: LocatedDocument,
    reference: Reference,
    known: frozenset[str],
    base: Configuration | None,
) -> Fault:
    removed = base is not None and reference.key in getattr(
        base, reference.kind.PLURAL
    )
    if removed:
        problem = (
            f"{reference.label} is still referenced by {located.label}"
            " and can't be removed"
        )
        remedy = "keep it, or change this field first"
        return located.fault(reference.field, problem, remedy)
    problem = f"{reference.label} does not exist"
    return located.fault(reference.field, problem, _remedy(reference, known))


def _remedy(reference: Reference, known: frozenset[str]) -> str:
    names = known
    if reference.model is not None:
        prefix = version_key(reference.model, "")
        names = frozenset(
            key.removeprefix(prefix) for key in known if key.startswith(prefix)
        )
    if not names:
        return "define it"
    shown = sorted(names)[:MAX_SUGGESTED_NAMES]
    return f"define it, or name one of {quoted(shown)}"


__all__ = ["Reference", "check_references", "references_of"]
