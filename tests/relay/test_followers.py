"""Tests of applying store rows to the directory."""

from __future__ import annotations

import json
from typing import Any
import unittest

from mulberrypass.platform.desired import read_desired, read_engine
from mulberrypass.platform.stand_in.site import engine_document
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.followers import EngineReader, RouteReader
from mulberrypass.storage.rows import RowKey, StoredRow
from tests.relay.fakes import engine, route, table

SERVICES = [{"Name": "a"}]


def config(version: int, **fields: Any) -> StoredRow:
    """Return the row of a desired state."""
    doc = {"Version": version, "Routes": [], "Services": SERVICES} | fields
    return StoredRow(
        RowKey("op", "", "config"), json.dumps(doc).encode(), version
    )


def entry(name: str, version: int = 1, **fields: Any) -> StoredRow:
    """Return the row of an engine."""
    doc = engine_document("10.0.0.1:80", 8) | {"Service": "a"} | fields
    at = RowKey("servers", "", name)
    return StoredRow(at, json.dumps(doc).encode(), version)


def removed_entry(name: str) -> StoredRow:
    """Return the row of a removed engine."""
    return StoredRow(RowKey("servers", "", name), b"", 9, removed=True)


class RouteReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = Directory()
        self.reader = RouteReader(self.directory, "config", read_desired)

    def test_version_never_decreases(self) -> None:
        for version, wanted in ((3, 3), (7, 7), (5, 7), (7, 7), (8, 8)):
            with self.subTest(version):
                self.reader.on_changed_rows((config(version),))
                self.assertEqual(wanted, self.directory.routes().version)
                snapshot = self.reader.snapshot()
                assert snapshot is not None
                self.assertEqual(wanted, snapshot.generation)

    def test_invalid_document_keeps_the_last_one_in_force(self) -> None:
        self.reader.on_changed_rows((config(3),))
        bad = StoredRow(RowKey("op", "", "config"), b"{", 4)
        self.reader.on_changed_rows((bad, config(9, Routes="none")))
        self.assertEqual(3, self.directory.routes().version)

    def test_other_rows_and_removal_are_ignored(self) -> None:
        self.reader.on_changed_rows((config(3),))
        other = StoredRow(RowKey("op", "", "other"), b"{}", 4)
        removed = StoredRow(RowKey("op", "", "config"), b"", 5, removed=True)
        self.reader.on_all_rows((other, removed))
        self.assertEqual(3, self.directory.routes().version)


class EngineReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.directory = Directory()
        self.directory.apply_routes(table(route()))
        self.reader = EngineReader(
            self.directory, read_engine, lambda: self.now
        )
        self.reader.on_all_rows((entry("e1"), entry("e2")))

    def usable(self) -> set[str]:
        """Return the names of engines that accept new work."""
        names = self.directory.engine_names()
        return {n for n in names if self.directory.engine(n) is not None}

    def test_leaving_and_removed_engines_are_not_usable(self) -> None:
        self.reader.on_changed_rows((entry("e1", State="draining"),))
        self.assertEqual({"e2"}, self.usable())
        self.reader.on_changed_rows((removed_entry("e2"),))
        self.assertEqual(set(), self.usable())

    def test_undecodable_new_entries_are_ignored(self) -> None:
        foreign = StoredRow(RowKey("servers", "", "x"), b"\xff", 3)
        self.reader.on_changed_rows((foreign, entry("e3", Slots="x")))
        self.assertEqual({"e1", "e2"}, self.usable())

    def test_entry_that_becomes_undecodable_is_removed(self) -> None:
        self.reader.on_changed_rows((entry("e1", State="odd"),))
        self.assertEqual({"e2"}, self.usable())

    def test_lapsed_entry_that_registers_again_is_kept(self) -> None:
        self.reader.on_reachable(False)
        self.now = 10.0
        self.reader.on_reachable(True)
        self.reader.on_all_rows((entry("e1"),))
        self.assertEqual({"e1", "e2"}, self.usable())
        self.now = 11.0
        self.reader.on_changed_rows((entry("e2", version=5),))
        self.now = 12.5
        self.reader.sweep()
        self.assertEqual({"e1", "e2"}, self.usable())

    def test_lapsed_entry_is_removed_after_the_grace_period(self) -> None:
        self.reader.on_reachable(False)
        self.now = 10.0
        self.reader.on_reachable(True)
        self.reader.on_changed_rows((removed_entry("e2"),))
        self.assertEqual({"e1", "e2"}, self.usable())
        self.now = 12.1
        self.reader.sweep()
        self.assertEqual({"e1"}, self.usable())

    def test_leaving_state_applies_at_once_after_an_outage(self) -> None:
        self.reader.on_reachable(False)
        self.reader.on_reachable(True)
        self.reader.on_changed_rows((entry("e1", State="draining"),))
        self.assertEqual({"e2"}, self.usable())


class DirectoryTest(unittest.TestCase):
    def test_pools_contain_only_usable_engines(self) -> None:
        directory = Directory()
        directory.apply_routes(table(route()))
        directory.set_engines(
            [
                engine("e1"),
                engine("e2", leaving=True),
                engine("e3", service="unknown"),
            ]
        )
        current = directory.current()
        self.assertEqual(("e1",), current.pools["rackmind"].backends)
        self.assertEqual({"e1"}, set(current.backends))

    def test_subscribers_see_each_change(self) -> None:
        directory = Directory()
        seen: list[int] = []
        directory.subscribe(lambda cfg: seen.append(cfg.generation))
        directory.apply_routes(table(route(), version=2))
        directory.apply_routes(table(route(), version=1))
        directory.set_engines([engine("e1")])
        self.assertEqual([1, 2], seen)
