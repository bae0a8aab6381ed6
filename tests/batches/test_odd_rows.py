"""Tests of odd rows among those of batch jobs."""

from __future__ import annotations

import json
from typing import Any
from unittest.mock import Mock

from mulberrypass.batches import codec
from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.store import BatchStore
from mulberrypass.storage.rows import StoredRow
from mulberrypass.testing.row_state import RowState
from tests.batches import cases
from tests.platform.odd_values import OddRowTest, odd_documents

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
