"""Rows and values that other writers may leave, and that can't be used."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.storage.follow import TableFollower
from mulberrypass.storage.rows import RowKey, Transaction
from mulberrypass.testing.row_state import RowState
from tests.quiet import captured_logs, quiet_logs

if TYPE_CHECKING:
    from collections.abc import Iterator, MutableMapping

    from mulberrypass.storage.follow import TableReader

DEPTH = 100_000
NESTED = "[" * DEPTH + "]" * DEPTH
# In JSON, and in Python's dialect of it.
HUGE_NUMBERS = (
    "1e400",
    "-1e400",
    "1" + "0" * 400,
    "-1" + "0" * 400,
    "1" + "0" * 5_000,
    "NaN",
    "Infinity",
    "-Infinity",
)
ODD_NUMBERS = (*HUGE_NUMBERS, "4.5", "-1", '"x"', "null", "[]", "{}", "true")
UNREADABLE = {
    "no bytes": b"",
    "no text": b"\xff\xfe\x00",
    "cut off": b'{"Service": ',
    "null": b"null",
    "a number": b"1e400",
    "a list": b"[]",
    "deeply nested": NESTED.encode(),
    "nested without an end": b"[" * DEPTH,
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
}


def replaced(doc: dict[str, Any], field: str, text: str) -> bytes:
    """Return a document with a field replaced by a JSON text."""
    marked = json.dumps(doc | {field: "@@"})
    return marked.replace('"@@"', text).encode()


def odd_documents(
    good: dict[str, Any], numbers: tuple[str, ...]
) -> Iterator[tuple[str, bytes]]:
    """Yield what can't be read as a document like the good one.

    :param numbers: fields of the good document that are numbers
    """
    yield from UNREADABLE.items()
    yield "a nested field", replaced(good, "odd", NESTED)
    for field in numbers:
        yield f"{field} nested", replaced(good, field, NESTED)
        for text in HUGE_NUMBERS:
            yield f"{field} {text[:20]}", replaced(good, field, text)


class OddRowTest(unittest.TestCase):
    """Follows a table that another writer has left an odd row in.

    :ivar logged: log lines since ``follow``
    """

    table = ""
    part = ""

    def setUp(self) -> None:
        quiet_logs()
        self.logged: list[MutableMapping[str, Any]] = []

    def row(self, name: str, value: bytes) -> Transaction:
        """Return a change that writes a row."""
        key = RowKey(self.table, self.part, name)
        return Transaction(puts=((key, value),))

    def follow(
        self,
        reader: TableReader,
        before: tuple[Transaction, ...],
        later: tuple[Transaction, ...] = (),
    ) -> None:
        """Read a whole table, then follow changes, as a follower does."""
        state = RowState()
        for change in before:
            state.transact(change)
        follower = TableFollower(
            state, self.table, reader, all_parts=bool(self.part)
        )
        with captured_logs() as self.logged:
            self.assertTrue(follower._step())
            for change in later:
                state.transact(change)
                self.assertTrue(follower._step())
        self.assertEqual(state.version, follower.state.version)

    def lines_about(self, name: str) -> int:
        """Return how many warnings and errors name a row.

        Threads that other tests have left may log as well.
        """
        return sum(
            any(name in str(value) for value in line.values())
            for line in self.logged
            if line["log_level"] in ("warning", "error")
        )


__all__ = [
    "HUGE_NUMBERS",
    "NESTED",
    "ODD_NUMBERS",
    "OddRowTest",
    "UNREADABLE",
    "odd_documents",
    "replaced",
]
