"""Checks that each object named by another one stands in the set.

No kind of object names its own kind, directly or by way of another one, so
references have no cycles by their form.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model import document as d
from mulberrypass.model.fault import quoted
from mulberrypass.model.objects import version_key
from mulberrypass.model.placed import describe

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.model.fault import Fault
    from mulberrypass.model.objects import Configuration
    from mulberrypass.model.placed import ObjectSet, Placed

MAX_SUGGESTED = 8


@dataclass(frozen=True, slots=True)
class Reference:
    """One object's naming of another one.

    :param model: the model whose version or adapter is named
    """

    field: str
    kind: type[d.Document]
    name: str
    model: str | None = None

    @property
    def key(self) -> str:
        """The key under which the named object stands."""
        if self.model is None:
            return self.name
        return version_key(self.model, self.name)

    @property
    def label(self) -> str:
        """The named object's kind and name."""
        return describe(self.kind, {"name": self.name, "model": self.model})


def references_of(doc: d.Document) -> Iterator[Reference]:
    """Give all references of one document."""
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
    """Give a fault for each reference to an object that is not there."""
    keys = {kind: objects.keys(kind) for kind in d.DOCUMENTS.values()}
    for placed in objects.documents:
        for reference in references_of(placed.document):
            known = keys[reference.kind]
            if reference.key not in known:
                yield _missing(placed, reference, known, base)


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


def _missing(
    placed: Placed,
    reference: Reference,
    known: frozenset[str],
    base: Configuration | None,
) -> Fault:
    removed = base is not None and reference.key in getattr(
        base, reference.kind.PLURAL
    )
    if removed:
        problem = (
            f"{reference.label} is still referenced by {placed.label}"
            " and can't be removed"
        )
        remedy = "keep it, or change this field first"
        return placed.fault(reference.field, problem, remedy)
    problem = f"{reference.label} does not exist"
    return placed.fault(reference.field, problem, _remedy(reference, known))


def _remedy(reference: Reference, known: frozenset[str]) -> str:
    names = known
    if reference.model is not None:
        prefix = version_key(reference.model, "")
        names = frozenset(
            key.removeprefix(prefix) for key in known if key.startswith(prefix)
        )
    if not names:
        return "define it"
    shown = sorted(names)[:MAX_SUGGESTED]
    return f"define it, or name one of {quoted(shown)}"


__all__ = ["Reference", "check_references", "references_of"]
