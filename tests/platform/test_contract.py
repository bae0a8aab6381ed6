"""The contract of the platform's interfaces, on each implementation."""

from __future__ import annotations

import dataclasses
from functools import partial
from typing import TYPE_CHECKING, Any
import unittest

from expression import Error, Ok

from mulberrypass.model.store import (
    Absent,
    Always,
    Check,
    Committed,
    Conflict,
    Delete,
    Exists,
    ListedKind,
    ListedMachine,
    ListedState,
    Missing,
    Put,
    Row,
    Throttled,
    VersionIs,
)
from mulberrypass.testing.platform_faults import CallFault, Faults
from tests.platform.contract import in_process, maybe_applied, over_http

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.model.store import Op
    from tests.platform.contract import Subject

ODD_KEY = "jobs/a b%2F?&=é"


def _put(key: str, value: int, condition: Absent | VersionIs | Always) -> Put:
    return Put("t", key, {"value": value}, condition)


class ContractTest(unittest.TestCase):
    def setUp(self) -> None:
        self.subjects = (in_process(), over_http(self))

    def each(self) -> tuple[Subject, ...]:
        return self.subjects

    def test_conditions_decide_and_nothing_is_written_in_part(self) -> None:
        stands = Row("a", 1, {"value": 1})
        table: tuple[tuple[str, tuple[Op, ...], int, Row | None], ...] = (
            ("absent", (_put("a", 2, Absent()),), 0, stands),
            ("version", (_put("a", 2, VersionIs(9)),), 0, stands),
            ("no row", (_put("b", 2, VersionIs(1)),), 0, None),
            ("check", (_put("b", 2, Absent()), Check("t", "a", Absent())), 1,
             stands),
            ("delete", (_put("b", 2, Absent()), Delete("t", "a",
             VersionIs(2))), 1, stands),
        )  # fmt: skip
        for subject in self.each():
            first = subject.table.transact((_put("a", 1, Absent()),))
            self.assertEqual(Ok(Committed((1,))), first)
            for name, ops, index, found in table:
                with self.subTest(subject=subject.name, case=name):
                    result = subject.table.transact(ops)
                    self.assertEqual(Error(Conflict(index, found)), result)
                    self.assertEqual(Ok(None), subject.table.read("t", "b"))

    def test_versions_rise_even_after_a_delete(self) -> None:
        for subject in self.each():
            with self.subTest(subject=subject.name):
                table = subject.table
                seen: list[int] = []
                steps: tuple[Op, ...] = (
                    _put(ODD_KEY, 1, Absent()),
                    Delete("t", ODD_KEY, Always()),
                    _put(ODD_KEY, 2, Absent()),
                    _put(ODD_KEY, 3, Always()),
                )
                for op in steps:
                    seen += table.transact((op,)).ok.versions
                self.assertEqual([1, 0, 2, 3], seen)
                row = Row(ODD_KEY, 3, {"value": 3})
                self.assertEqual(Ok(row), table.read("t", ODD_KEY))

    def test_scan_pages_in_key_order(self) -> None:
        keys = ["a", "b", "b/1", "b/2", "b/3", "c"]
        table: tuple[tuple[str, str, int, list[str], str | None], ...] = (
            ("", "", 10, keys, None),
            ("b/", "", 2, ["b/1", "b/2"], "b/2"),
            ("b/", "b/2", 2, ["b/3"], None),
            ("b", "", 10, ["b", "b/1", "b/2", "b/3"], None),
            ("b", "b", 1, ["b/1"], "b/1"),
            ("z", "", 10, [], None),
            ("a", "b", 10, [], None),
        )
        for subject in self.each():
            ops = tuple(_put(key, 0, Absent()) for key in reversed(keys))
            self.assertTrue(subject.table.transact(ops).is_ok())
            for prefix, after, limit, expected, next_after in table:
                with self.subTest(
                    subject=subject.name, prefix=prefix, after=after
                ):
                    page = subject.table.scan("t", prefix, after, limit).ok
                    self.assertEqual(expected, [r.key for r in page.rows])
                    self.assertEqual(next_after, page.next_after)

    def test_write_faults(self) -> None:
        table = (
            (CallFault.REFUSE, False, False),
            (CallFault.LOSE_REQUEST, True, False),
            (CallFault.LOSE_REPLY, True, True),
        )
        for subject in self.each():
            for fault, maybe, applied in table:
                with self.subTest(subject=subject.name, fault=fault):
                    key = fault.value
                    subject.platform.script_writes([fault, fault])
                    result = subject.table.transact((_put(key, 1, Absent()),))
                    self.assertEqual(maybe, maybe_applied(result.error))
                    found = subject.table.read("t", key).ok
                    self.assertEqual(applied, found is not None)
                    put = subject.objects.put(key, b"x")
                    self.assertEqual(maybe, maybe_applied(put.error))
                    stands = subject.objects.get(key)
                    self.assertEqual(applied, stands.is_ok())

    def test_outage_and_rates_refuse_all_calls(self) -> None:
        faults = Faults(outage=True)
        slow = Faults(writes_per_s=0.5, reads_per_s=0.5)
        for subject in self.each():
            table, objects = subject.table, subject.objects
            calls: tuple[Callable[[], Result[Any, Any]], ...] = (
                partial(table.read, "t", "a"),
                partial(table.scan, "t", ""),
                partial(objects.get, "a"),
                subject.instances.listed,
                partial(subject.weights.reserve, "w", 1),
                partial(table.transact, (_put("a", 1, Always()),)),
                partial(objects.put, "a", b""),
                partial(objects.delete, "a"),
            )
            for number, call in enumerate(calls):
                with self.subTest(subject=subject.name, call=number):
                    subject.platform.set_faults(faults)
                    self.assertFalse(maybe_applied(call().error))
                    subject.platform.set_faults(slow)
                    error = call().error
                    self.assertIsInstance(error, Throttled)
                    self.assertGreater(error.retry_after_s, 0)

    def test_objects_are_immutable(self) -> None:
        for subject in self.each():
            with self.subTest(subject=subject.name):
                objects = subject.objects
                missing = Error(Missing(ODD_KEY))
                self.assertEqual(missing, objects.get(ODD_KEY))
                self.assertEqual(Ok(None), objects.put(ODD_KEY, b"\x00\xff"))
                exists = Error(Exists(ODD_KEY))
                self.assertEqual(exists, objects.put(ODD_KEY, b"other"))
                self.assertEqual(Ok(b"\x00\xff"), objects.get(ODD_KEY))
                self.assertEqual(Ok(None), objects.delete(ODD_KEY))
                self.assertEqual(missing, objects.delete(ODD_KEY))

    def test_list_shows_after_its_lag(self) -> None:
        live = ListedMachine(
            "i1", ListedKind.INSTANCE, "z", "127.0.0.2", ListedState.LIVE
        )
        leaving = dataclasses.replace(live, state=ListedState.LEAVING)
        for subject in self.each():
            with self.subTest(subject=subject.name):
                subject.platform.set_faults(Faults(list_lag_s=5.0))
                subject.platform.set_listed([live], at_once=True)
                subject.platform.set_listed([leaving])
                subject.clock.sleep(4.0)
                self.assertEqual(Ok((live,)), subject.instances.listed())
                subject.clock.sleep(1.0)
                self.assertEqual(Ok((leaving,)), subject.instances.listed())

    def test_weights_are_paced(self) -> None:
        for subject in self.each():
            with self.subTest(subject=subject.name):
                reserve = subject.weights.reserve
                waits = [reserve("w", 500).ok for _ in range(3)]
                self.assertEqual([0.0, 0.5, 1.0], waits)


if __name__ == "__main__":
    unittest.main()
