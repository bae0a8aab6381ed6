"""Documents of a set together with the places where they stand."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

from mulberrypass.model.document import (
    AdapterDocument,
    Document,
    VersionDocument,
)
from mulberrypass.model.fault import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from mulberrypass.model.fault import Source

D = TypeVar("D", bound=Document)


def describe(document: type[Document], content: Mapping[str, Any]) -> str:
    """Name an object as a database names one.

    :param content: at least the fields ``name`` and ``model``
    """
    label = f'{document.KIND} "{content.get("name")}"'
    if document in (VersionDocument, AdapterDocument):
        return f'{label} of model "{content.get("model")}"'
    return label


@dataclass(frozen=True, slots=True)
class Placed:
    """A document and where it stands."""

    source: Source
    document: Document

    @property
    def label(self) -> str:
        """The object's kind and name."""
        fields = self.document.__dict__
        return describe(type(self.document), fields)

    def fault(self, field: str, problem: str, remedy: str) -> Fault:
        """Give a fault of this object."""
        source = self.source
        return Fault(
            source.file, source.line, self.label, field, problem, remedy
        )


@dataclass(frozen=True, slots=True)
class ObjectSet:
    """The documents that could be read.

    :param unread: kind and key of those that could not
    """

    documents: tuple[Placed, ...]
    unread: frozenset[tuple[str, str]]

    def of(self, kind: type[D]) -> Iterator[tuple[Placed, D]]:
        """Give the documents of one kind."""
        for placed in self.documents:
            if isinstance(placed.document, kind):
                yield placed, placed.document

    def keys(self, kind: type[Document]) -> frozenset[str]:
        """Give the keys of all objects of a kind, also of those unread."""
        read = {doc.key() for _, doc in self.of(kind)}
        unread = {key for name, key in self.unread if name == kind.KIND}
        return frozenset(read | unread)


__all__ = ["ObjectSet", "Placed", "describe"]
