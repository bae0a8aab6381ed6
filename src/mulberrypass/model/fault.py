"""Validation faults of a set of objects."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Iterable


@value_class
class Source:
    """Location of a document.

    :param line: line on which the document starts, from 1; 0 if unknown
    """

    file: str = ""
    line: int = 0


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One validation fault of a set of objects.

    :param object: the faulty object, as in ``service "dock"``
    :param field: path of the faulty field; empty for the whole object
    :param problem: what is wrong
    :param remedy: how to fix it; may be empty
    """

    file: str
    line: int
    object: str
    field: str
    problem: str
    remedy: str

    def text(self) -> str:
        """Return the fault as one line."""
        where = f"{self.file}:{self.line}: " if self.file else ""
        field = f', field "{self.field}"' if self.field else ""
        what = f"{self.object}{field}: " if self.object else ""
        hint = f"; {self.remedy}" if self.remedy else ""
        return f"{where}{what}{self.problem}{hint}"


def pluralize(count: int, noun: str) -> str:
    """Return a count with its noun, as in ``1 fault`` or ``2 faults``."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def quoted(names: Iterable[str]) -> str:
    """Return the names quoted, sorted and separated by commas."""
    return ", ".join(f'"{name}"' for name in sorted(names))


__all__ = ["Fault", "Source", "pluralize", "quoted"]
