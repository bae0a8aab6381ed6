"""What is wrong with a set of objects, said as a database would."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Source:
    """Where a document stands.

    :param line: line on which the document starts, from 1
    """

    file: str = ""
    line: int = 0


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One thing that is wrong with a set of objects.

    :param object: the object at fault, as in ``service "dock"``
    :param field: path of the field at fault; empty for the whole object
    :param problem: what is wrong
    :param remedy: what would be right
    """

    file: str
    line: int
    object: str
    field: str
    problem: str
    remedy: str

    def text(self) -> str:
        """Give the fault as one line."""
        where = f"{self.file}:{self.line}: " if self.file else ""
        field = f', field "{self.field}"' if self.field else ""
        what = f"{self.object}{field}: " if self.object else ""
        hint = f"; {self.remedy}" if self.remedy else ""
        return f"{where}{what}{self.problem}{hint}"


def counted(count: int, noun: str) -> str:
    """Give a count and its noun, as in ``1 fault`` and ``2 faults``."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def quoted(names: Iterable[str]) -> str:
    """Give names in quotes, in order, with commas."""
    return ", ".join(f'"{name}"' for name in sorted(names))


__all__ = ["Fault", "Source", "counted", "quoted"]
