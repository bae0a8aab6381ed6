"""Immutable data classes that are cheap to define."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, fields
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

T = TypeVar("T")


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def value_class(cls: type[T]) -> type[T]:
    """Make a data class with slots whose instances never change.

    ``dataclass(frozen=True)`` compiles six methods for each class. A process
    defines 160 classes when it starts, on half a core of an instance while
    all others of its site start too, so these have one compiled method,
    ``__init__``, and share the others. Type checkers reject assignments to
    their fields; at run time nothing does.
    """
    made: Any = dataclass(slots=True, repr=False, eq=False)(cls)
    made.__compared__ = staticmethod(
        _getter(tuple(f.name for f in fields(made) if f.compare))
    )
    for name, method in SHARED.items():
        if name not in made.__dict__:
            setattr(made, name, method)
    return made  # type: ignore[no-any-return]


def _getter(names: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that gets the values of attributes."""
    match names:
        case ():
            return lambda _instance: ()
        case (name,):
            return lambda instance: (getattr(instance, name),)
        case _:
            return attrgetter(*names)


def _equal(self: Any, other: Any) -> Any:
    if other.__class__ is not self.__class__:
        return NotImplemented
    compared = self.__compared__
    return compared(self) == compared(other)


def _hash(self: Any) -> int:
    return hash(self.__compared__(self))


def _repr(self: Any) -> str:
    shown = (
        f"{f.name}={getattr(self, f.name)!r}" for f in fields(self) if f.repr
    )
    return f"{self.__class__.__qualname__}({', '.join(shown)})"


SHARED = {"__eq__": _equal, "__hash__": _hash, "__repr__": _repr}

__all__ = ["value_class"]
