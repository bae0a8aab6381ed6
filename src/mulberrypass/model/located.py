"""Documents of a set together with their source locations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from mulberrypass.model.document import (
    AdapterDocument,
    Document,
    VersionDocument,
)
from mulberrypass.model.fault import Fault
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from mulberrypass.model.fault import Source

D = TypeVar("D", bound=Document)


def describe(document: type[Document], content: Mapping[str, Any]) -> str:
    """Return the label of an object, as in ``service "dock"``.

    :param content: fields of the document; ``name`` and ``model`` are used
    """
    label = f'{document.KIND} "{content.get("name")}"'
    if document in (VersionDocument, AdapterDocument):
        return f'{label} of model "{content.get("model")}"'
    return label


@value_class
class LocatedDocument:
    """A document and its source location."""

    source: Source
    document: Document

    @property
    def label(self) -> str:
        """Kind and name of the object."""
        fields = self.document.__dict__
        return describe(type(self.document), fields)

    def fault(self, field: str, problem: str, remedy: str) -> Fault:
        """Return a fault of this object."""
        source = self.source
        return Fault(
            source.file, source.line, self.label, field, problem, remedy
        )


@value_class
class ObjectSet:
    """The documents of a set.

    :param documents: the documents that are valid by themselves
    :param unparsed: kind and key of the other documents
    """

    documents: tuple[LocatedDocument, ...]
    unparsed: frozenset[tuple[str, str]]

    def of(self, kind: type[D]) -> Iterator[tuple[LocatedDocument, D]]:
        """Yield the documents of one kind."""
        for located in self.documents:
            if isinstance(located.document, kind):
                yield located, located.document

    def keys(self, kind: type[Document]) -> frozenset[str]:
        """Return the keys of all objects of a kind, also of unparsed ones."""
        read = {doc.key() for _, doc in self.of(kind)}
        unparsed = {key for name, key in self.unparsed if name == kind.KIND}
        return frozenset(read | unparsed)


__all__ = ["LocatedDocument", "ObjectSet", "describe"]
