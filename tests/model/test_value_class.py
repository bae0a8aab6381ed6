"""Tests of immutable data classes."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace
import unittest

from mulberrypass.model.value_class import value_class


@value_class
class Point:
    """Two numbers and a note that doesn't count."""

    x: int
    y: int = 0
    note: str = field(default="", compare=False, repr=False)


@value_class
class Name:
    """One value."""

    text: str


@value_class
class Nothing:
    """No value."""


@value_class
class Odd:
    """A class with a comparison of its own."""

    x: int
    seen: list[int] = field(default_factory=list)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Odd) and self.x % 2 == other.x % 2

    __hash__ = None  # type: ignore[assignment]


@dataclass(frozen=True, slots=True)
class StandardPoint:
    """What the standard library makes of the same fields."""

    x: int
    y: int = 0


class ValueClassTest(unittest.TestCase):
    def test_equal_values_are_equal_and_hash_alike(self) -> None:
        self.assertEqual(Point(1, 2), Point(1, 2, "note"))
        self.assertEqual(hash(Point(1, 2)), hash(Point(1, 2, "note")))
        self.assertNotEqual(Point(1, 2), Point(2, 1))
        self.assertEqual(1, len({Name("a"), Name("a")}))
        self.assertEqual(Nothing(), Nothing())
        self.assertEqual(hash(Nothing()), hash(Nothing()))

    def test_values_of_other_classes_differ(self) -> None:
        self.assertNotEqual(Point(1, 2), StandardPoint(1, 2))
        self.assertNotEqual(Name("a"), "a")
        self.assertNotEqual(Nothing(), ())

    def test_hash_and_text_are_those_of_a_standard_class(self) -> None:
        self.assertEqual(hash(StandardPoint(1, 2)), hash(Point(1, 2)))
        standard = repr(StandardPoint(1, 2))
        self.assertEqual(standard.removeprefix("Standard"), repr(Point(1, 2)))

    def test_one_field_with_a_tuple_is_not_its_values(self) -> None:
        self.assertNotEqual(hash(Name("a")), hash("a"))

    def test_matches_and_is_replaced(self) -> None:
        match Point(1, 2):
            case Point(x, y):
                self.assertEqual((1, 2), (x, y))
        self.assertEqual(Point(3, 2), replace(Point(1, 2), x=3))
        self.assertEqual(["x", "y", "note"], [f.name for f in fields(Point)])

    def test_unknown_attributes_are_refused(self) -> None:
        with self.assertRaises(AttributeError):
            Point(1).z = 3  # type: ignore[attr-defined]

    def test_own_methods_and_default_factories_stay(self) -> None:
        self.assertEqual(Odd(1), Odd(3))
        self.assertNotEqual(Odd(1), Odd(2))
        first, second = Odd(1), Odd(1)
        first.seen.append(1)
        self.assertEqual([], second.seen)

    def test_classes_share_all_methods_but_their_constructor(self) -> None:
        for name in ("__eq__", "__hash__", "__repr__"):
            self.assertIs(getattr(Point, name), getattr(Name, name))
        self.assertIsNot(Point.__init__, Name.__init__)
