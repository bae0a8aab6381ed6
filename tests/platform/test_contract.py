"""Contract tests of the platform's interfaces, in memory and over HTTP."""

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
    from tests.platform.contract import Implementation

KEY_TO_ESCAPE = "jobs/a b%2F?&=é"


def _put(key: str, value: int, condition: Absent | VersionIs | Always) -> Put:
    return Put("t", key, {"value": value}, condition)


class ContractTest(unittest.TestCase):
    def setUp(self) -> None:
        self.implementations = (in_process(), over_http(self))

    def each(self) -> tuple[Implementation, ...]:
        return self.implementations

    def test_failed_condition_writes_nothing(self) -> None:
        current = Row("a", 1, {"value": 1})
        table: tuple[tuple[str, tuple[Op, ...], int, Row | None], ...] = (
            ("absent", (_put("a", 2, Absent()),), 0, current),
            ("version", (_put("a", 2, VersionIs(9)),), 0, current),
            ("no row", (_put("b", 2, VersionIs(1)),), 0, None),
            ("check", (_put("b", 2, Absent()), Check("t", "a", Absent())), 1,
             current),
            ("delete", (_put("b", 2, Absent()), Delete("t", "a",
             VersionIs(2))), 1, current),
        )  # fmt: skip
        for impl in self.each():
            first = impl.table.transact((_put("a", 1, Absent()),))
            self.assertEqual(Ok(Committed((1,))), first)
            for name, ops, index, found in table:
                with self.subTest(impl=impl.name, case=name):
                    result = impl.table.transact(ops)
                    self.assertEqual(Error(Conflict(index, found)), result)
                    self.assertEqual(Ok(None), impl.table.read("t", "b"))

    def test_versions_increase_across_a_delete(self) -> None:
        for impl in self.each():
            with self.subTest(impl=impl.name):
                table = impl.table
                versions: list[int] = []
                steps: tuple[Op, ...] = (
                    _put(KEY_TO_ESCAPE, 1, Absent()),
                    Delete("t", KEY_TO_ESCAPE, Always()),
                    _put(KEY_TO_ESCAPE, 2, Absent()),
                    _put(KEY_TO_ESCAPE, 3, Always()),
                )
                for op in steps:
                    versions += table.transact((op,)).ok.versions
                self.assertEqual([1, 0, 2, 3], versions)
                row = Row(KEY_TO_ESCAPE, 3, {"value": 3})
                self.assertEqual(Ok(row), table.read("t", KEY_TO_ESCAPE))

    def test_scan_returns_pages_in_key_order(self) -> None:
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
        for impl in self.each():
            ops = tuple(_put(key, 0, Absent()) for key in reversed(keys))
            self.assertTrue(impl.table.transact(ops).is_ok())
            for prefix, after, limit, expected, next_after in table:
                with self.subTest(impl=impl.name, prefix=prefix, after=after):
                    page = impl.table.scan("t", prefix, after, limit).ok
                    self.assertEqual(expected, [r.key for r in page.rows])
                    self.assertEqual(next_after, page.next_after)

    def test_write_faults(self) -> None:
        table = (
            (CallFault.REFUSE, False, False),
            (CallFault.LOSE_REQUEST, True, False),
            (CallFault.LOSE_REPLY, True, True),
        )
        for impl in self.each():
            for fault, maybe, applied in table:
                with self.subTest(impl=impl.name, fault=fault):
                    key = fault.value
                    impl.platform.script_writes([fault, fault])
                    result = impl.table.transact((_put(key, 1, Absent()),))
                    self.assertEqual(maybe, maybe_applied(result.error))
                    found = impl.table.read("t", key).ok
                    self.assertEqual(applied, found is not None)
                    put = impl.objects.put(key, b"x")
                    self.assertEqual(maybe, maybe_applied(put.error))
                    stored = impl.objects.get(key)
                    self.assertEqual(applied, stored.is_ok())

    def test_outage_and_rate_limits_reject_all_calls(self) -> None:
        outage = Faults(outage=True)
        limited = Faults(writes_per_s=0.5, reads_per_s=0.5)
        for impl in self.each():
            table, objects = impl.table, impl.objects
            calls: tuple[Callable[[], Result[Any, Any]], ...] = (
                partial(table.read, "t", "a"),
                partial(table.scan, "t", ""),
                partial(objects.get, "a"),
                impl.instances.listed,
                partial(impl.weights.reserve, "w", 1),
                partial(table.transact, (_put("a", 1, Always()),)),
                partial(objects.put, "a", b""),
                partial(objects.delete, "a"),
            )
            for number, call in enumerate(calls):
                with self.subTest(impl=impl.name, call=number):
                    impl.platform.set_faults(outage)
                    self.assertFalse(maybe_applied(call().error))
                    impl.platform.set_faults(limited)
                    error = call().error
                    self.assertIsInstance(error, Throttled)
                    self.assertGreater(error.retry_after_s, 0)

    def test_objects_are_immutable(self) -> None:
        for impl in self.each():
            with self.subTest(impl=impl.name):
                objects = impl.objects
                missing = Error(Missing(KEY_TO_ESCAPE))
                self.assertEqual(missing, objects.get(KEY_TO_ESCAPE))
                self.assertEqual(
                    Ok(None), objects.put(KEY_TO_ESCAPE, b"\x00\xff")
                )
                exists = Error(Exists(KEY_TO_ESCAPE))
                self.assertEqual(exists, objects.put(KEY_TO_ESCAPE, b"other"))
                self.assertEqual(Ok(b"\x00\xff"), objects.get(KEY_TO_ESCAPE))
                self.assertEqual(Ok(None), objects.delete(KEY_TO_ESCAPE))
                self.assertEqual(missing, objects.delete(KEY_TO_ESCAPE))

    def test_list_changes_after_its_lag(self) -> None:
        live = ListedMachine(
            "i1", ListedKind.INSTANCE, "z", "127.0.0.2", ListedState.LIVE
        )
        leaving = dataclasses.replace(live, state=ListedState.LEAVING)
        for impl in self.each():
            with self.subTest(impl=impl.name):
                impl.platform.set_faults(Faults(list_lag_s=5.0))
                impl.platform.set_listed([live], at_once=True)
                impl.platform.set_listed([leaving])
                impl.clock.sleep(4.0)
                self.assertEqual(Ok((live,)), impl.instances.listed())
                impl.clock.sleep(1.0)
                self.assertEqual(Ok((leaving,)), impl.instances.listed())

    def test_weights_are_paced(self) -> None:
        for impl in self.each():
            with self.subTest(impl=impl.name):
                reserve = impl.weights.reserve
                waits = [reserve("w", 500).ok for _ in range(3)]
                self.assertEqual([0.0, 0.5, 1.0], waits)


if __name__ == "__main__":
    unittest.main()
