"""Tests of odd rows among those of batch jobs."""

from __future__ import annotations

import json
from typing import Any
import unittest
from unittest.mock import Mock
import zlib

from mulberrypass.batches import codec
from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.store import BatchStore
from mulberrypass.model.batch_jobs import StoreUnavailable, VersionedHead
from mulberrypass.storage.rows import RowKey, StoredRow, Transaction
from mulberrypass.testing.row_state import RowState
from tests.batches import cases
from tests.batches.test_holder import A, HolderCase, wait_until
from tests.platform.odd_values import (
    NESTED,
    UNREADABLE,
    OddRowTest,
    odd_documents,
    replaced,
)
from tests.relay.fakes import Script, event

NOBODY = Members(frozenset(), frozenset())
HEAD: dict[str, Any] = json.loads(codec.encode_head(cases.head()))
HEAD_NUMBERS = (
    "first_s",
    "due_s",
    "retention_s",
    "results",
    "busy_for_s",
    "busy_until",
)
HEAD_LISTS = ("tokens", "done", "busy")
HUGE_LISTS = ("[1e400]", "[1" + "0" * 400 + "]", "[NaN]", "[-1]", "[4.5]")


def odd_heads() -> dict[str, bytes]:
    """Return what can't be a head, by what is odd about it."""
    odd = dict(odd_documents(HEAD, HEAD_NUMBERS))
    for field in HEAD_LISTS:
        odd |= odd_documents(HEAD, (field,))
        for text in HUGE_LISTS:
            odd[f"{field} {text[:20]}"] = replaced_list(field, text)
    odd["done without an item"] = replaced_list("done", "[3]")
    return odd


def replaced_list(field: str, text: str) -> bytes:
    """Return a head with one list replaced."""
    marked = json.dumps(HEAD | {field: "@"})
    return marked.replace('"@"', text).encode()


class OddHeadTest(OddRowTest):
    """An odd head once ended the first read of all heads, again and again."""

    table = codec.HEADS
    part = cases.HOST

    def test_other_heads_are_followed(self) -> None:
        good = codec.encode_head(cases.head())
        others = tuple(self.row(f"job-{n}", good) for n in range(2))
        for what, value in odd_heads().items():
            odd = self.row("odd-1", value)
            for before, later in (
                ((odd,), others),
                ((others[0], odd, others[1]), ()),
                (others[:1], (odd, others[1])),
            ):
                with self.subTest(what, before=len(before)):
                    holder = JobHolder(
                        "entry@a",
                        BatchStore(RowState()),
                        Mock(),
                        lambda: NOBODY,
                        Mock(),
                    )
                    self.follow(holder, before, later)
                    self.assertEqual({"job-0", "job-1"}, set(holder.state()))
                    self.assertEqual(1, self.lines_about("odd-1"))

    def test_odd_head_is_corrupt(self) -> None:
        key = codec.head_key(cases.HOST, "odd-1")
        for what, value in odd_heads().items():
            with self.subTest(what):
                with self.assertRaisesRegex(codec.CorruptRowError, "odd-1"):
                    codec.decode_head(StoredRow(key, value, 1))

    def test_head_is_read_as_it_was_written(self) -> None:
        head = cases.head(done=frozenset({2}), results=1, busy_by="entry@b")
        key = codec.head_key(cases.HOST, head.job_id)
        row = StoredRow(key, codec.encode_head(head), 1)
        self.assertEqual(head, codec.decode_head(row))


class OddPieceTest(unittest.TestCase):
    """Odd rows of manifests and results are corrupt, and nothing else."""

    def pieces(self, table: str, name: str, value: bytes) -> list[StoredRow]:
        """Return a document in one row."""
        key = RowKey(table, cases.HOST, name)
        return [StoredRow(key, zlib.compress(value), 1)]

    def test_odd_manifest_is_corrupt(self) -> None:
        item = {
            "id": "item-1",
            "path": "/crates/1",
            "headers": [["x-a", "b"]],
            "body": "cQ==",
            "tokens": 1,
        }
        odd = {f"all {what}": value for what, value in UNREADABLE.items()}
        del odd["all a list"]
        for what, value in odd_documents(item, ("tokens",)):
            odd[what] = b"[" + value + b"]"
        for field, text in (
            ("tokens", "-1"),
            ("tokens", "4.5"),
            ("headers", '[["a"]]'),
            ("headers", "[[1, 2]]"),
            ("body", '"%"'),
            ("body", '"\\u00e9"'),
            ("body", "1"),
        ):
            odd[f"{field} {text}"] = b"[" + replaced(item, field, text) + b"]"
        del odd["no bytes"]
        for what, value in odd.items():
            rows = self.pieces(codec.ITEMS, "odd-1/000-001", value)
            with self.subTest(what):
                with self.assertRaises(codec.CorruptRowError):
                    codec.decode_items(rows)

    def test_odd_result_is_corrupt(self) -> None:
        doc = {"index": 0, "id": "i", "state": "completed", "output": "o"}
        for what, value in odd_documents(doc, ("index",)):
            rows = self.pieces(codec.RESULTS, "odd-1/00000.000-001", value)
            with self.subTest(what):
                with self.assertRaisesRegex(codec.CorruptRowError, "odd-1"):
                    codec.decode_results(rows, 0)

    def test_odd_key_hides_no_result(self) -> None:
        good = [
            StoredRow(key, value, 1)
            for key, value in codec.result_rows(
                cases.HOST, "job-1", 0, cases.outcome(0)
            )
        ]
        for name in ("job-1/odd", "job-1/" + "1" * 5_000, "job-1/\u00b2.1-1"):
            odd = StoredRow(RowKey(codec.RESULTS, cases.HOST, name), b"", 1)
            with self.subTest(name[:20]):
                found = codec.decode_results((odd, *good), 0)
                self.assertEqual([cases.outcome(0)], found)

    def test_document_that_inflates_without_end_is_corrupt(self) -> None:
        value = b" " * (codec.MAX_DOCUMENT_BYTES + 1)
        rows = self.pieces(codec.ITEMS, "odd-1/000-001", value)
        with self.assertRaises(codec.CorruptRowError):
            codec.decode_items(rows)

    def test_pieces_of_another_number_are_corrupt(self) -> None:
        for name in (
            "odd-1/000-x",
            "odd-1/000-002",
            "odd-1/000-" + "1" * 5_000,
        ):
            with self.subTest(name[:20]):
                with self.assertRaises(codec.CorruptRowError):
                    codec.decode_items(self.pieces(codec.ITEMS, name, b"[]"))


class OddRowInStoreTest(HolderCase):
    """One odd row once refused or stopped all jobs of a host."""

    def put(self, table: str, name: str) -> None:
        """Write a row that can't be read."""
        key = RowKey(table, cases.HOST, name)
        self.rows.apply(Transaction(puts=((key, NESTED.encode()),)))

    def test_odd_head_refuses_no_other_job(self) -> None:
        self.put(codec.HEADS, "odd-1")
        accepted = self.store.accept(cases.job(), cases.route(), "entry@a")
        self.assertTrue(accepted.is_ok())

    def test_job_whose_head_is_odd_is_not_accepted(self) -> None:
        self.put(codec.HEADS, "job-1")
        accepted = self.store.accept(cases.job(), cases.route(), "entry@a")
        self.assertIsInstance(accepted.error, StoreUnavailable)

    def test_odd_rows_are_an_error_of_the_store(self) -> None:
        self.put(codec.HEADS, "odd-1")
        self.put(codec.ITEMS, "odd-1/000-001")
        self.put(codec.RESULTS, "odd-1/00000.000-001")
        for read in (
            self.store.read(cases.HOST, "odd-1"),
            self.store.items(cases.HOST, "odd-1"),
            self.store.results(cases.HOST, "odd-1", 0, 1),
            self.store.end(cases.HOST, "odd-1"),
        ):
            self.assertIsInstance(read.error, StoreUnavailable)

    def test_job_with_an_odd_manifest_stops_no_other(self) -> None:
        holder = self.holder(Script(parts=[event(1)]))
        odd = cases.head(job_id="odd-1", first_s=0.0, holder=A)
        self.put(codec.ITEMS, "odd-1/000-001")
        holder.update_head(VersionedHead(odd, 1))
        self.accept(holder)
        self.assertTrue(wait_until(lambda: bool(self.results())))
