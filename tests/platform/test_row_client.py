"""Contract tests of ``RowStore``, in memory and over HTTP."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from expression import Ok

from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.platform.http_client import HttpClient, HttpReply
from mulberrypass.platform.row_client import (
    FEED_MARGIN_S,
    MAX_FEED_WAIT_S,
    HttpRowStore,
)
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.store import StoreApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.storage.follow import FEED_WAIT_S, RETRY_S
from mulberrypass.storage.rows import (
    Expected,
    Lagged,
    RowKey,
    RowsConflict,
    Transaction,
)
from mulberrypass.testing.row_state import RowState
from tests.platform.odd_values import NESTED, UNREADABLE, replaced

if TYPE_CHECKING:
    from mulberrypass.storage.rows import RowStore

HOST = "127.0.20.1"
# ContactMs of the users' sites: time limits apply again this long after a
# fault.
CONTACT_S = 3.0


def key(name: str, part: str = "p", table: str = "t") -> RowKey:
    """Return a key."""
    return RowKey(table, part, name)


def put(*names: str, part: str = "p") -> Transaction:
    """Return a transaction that writes rows."""
    return Transaction(puts=tuple((key(n, part), n.encode()) for n in names))


class SilentStoreTest(unittest.TestCase):
    """A stalled store once delayed a configuration version by 4.1 s.

    Calls that get no answer must time out and be retried within ContactMs.
    """

    def test_unanswered_feed_is_retried_within_contact_time(self) -> None:
        longest_s = MAX_FEED_WAIT_S + FEED_MARGIN_S + RETRY_S
        self.assertLess(longest_s, CONTACT_S)
        self.assertLessEqual(FEED_WAIT_S, MAX_FEED_WAIT_S)

    def test_feed_of_a_silent_store_fails(self) -> None:
        with socket.create_server((HOST, 0)) as silent:
            port = silent.getsockname()[1]
            rows = HttpRowStore(HostPort(HOST, port))
            self.addCleanup(rows.close)
            fed = rows.feed("op", 0, FEED_WAIT_S)
        self.assertIsInstance(fed.error, Unavailable)


class RowStoreContractTest(unittest.TestCase):
    """Contract of ``RowStore``, here on the one in memory."""

    def setUp(self) -> None:
        self.state = RowState()
        self.rows: RowStore = self.state

    def test_scan_returns_written_rows(self) -> None:
        version = self.rows.transact(put("b", "a")).ok
        page = self.rows.scan("t", "p").ok
        self.assertEqual(["a", "b"], [row.at.key for row in page.rows])
        self.assertEqual([b"a", b"b"], [row.value for row in page.rows])
        self.assertEqual({version}, {row.version for row in page.rows})
        self.assertFalse(page.more)

    def test_scan_range_excludes_its_end(self) -> None:
        self.rows.transact(put("a", "b", "c"))
        page = self.rows.scan("t", "p", "b", "c").ok
        self.assertEqual(["b"], [row.at.key for row in page.rows])

    def test_pages(self) -> None:
        for start in range(0, 520, 90):
            names = [f"{n:04d}" for n in range(start, min(520, start + 90))]
            self.rows.transact(put(*names))
        first = self.rows.scan("t", "p").ok
        self.assertTrue(first.more)
        rest = self.rows.scan("t", "p", first.rows[-1].at.key + "\0").ok
        self.assertEqual(520, len(first.rows) + len(rest.rows))

    def test_conditions(self) -> None:
        version = self.rows.transact(put("a")).ok
        cases = {
            "right version": (("a", version), True),
            "wrong version": (("a", version + 9), False),
            "no row": (("z", 0), True),
            "row is there": (("a", 0), False),
        }
        for name, ((row, expected), holds) in cases.items():
            with self.subTest(name):
                change = Transaction(
                    (Expected(key(row), expected),),
                    ((key("other"), b"x"),),
                )
                result = self.rows.transact(change)
                self.assertEqual(holds, result.is_ok())

    def test_conflict_returns_current_rows(self) -> None:
        version = self.rows.transact(put("a")).ok
        change = Transaction((Expected(key("a"), 0),), ((key("a"), b"x"),))
        error = self.rows.transact(change).error
        assert isinstance(error, RowsConflict)
        self.assertEqual(
            [("a", b"a", version)],
            [(r.at.key, r.value, r.version) for r in error.found],
        )

    def test_feed_returns_later_changes(self) -> None:
        first = self.rows.transact(put("a")).ok
        self.rows.transact(put("b"))
        self.rows.transact(Transaction(removes=(key("a"),)))
        page = self.rows.feed("t", first, 0.0).ok
        self.assertEqual(
            [("b", False), ("a", True)],
            [(row.at.key, row.removed) for row in page.rows],
        )
        self.assertEqual((), self.rows.feed("t", page.version, 0.0).ok.rows)

    def test_feed_without_history(self) -> None:
        version = self.rows.transact(put("a")).ok
        self.rows.transact(put("b"))
        self.state.forget_history()
        self.assertEqual(Lagged(), self.rows.feed("t", version, 0.0).error)

    def test_parts(self) -> None:
        self.rows.transact(put("a", part="x"))
        self.rows.transact(put("a", part="y"))
        self.assertEqual(("x", "y"), self.rows.parts("t").ok)
        self.assertEqual((), self.rows.parts("none").ok)

    def test_failures(self) -> None:
        self.state.faults.down = True
        refused = self.rows.transact(put("a")).error
        assert isinstance(refused, Unavailable)
        self.assertFalse(refused.maybe_applied)
        read = self.rows.scan("t", "p").error
        self.assertIsInstance(read, Unavailable)
        self.state.faults.down = False
        self.state.faults.lose = 1
        lost = self.rows.transact(put("a")).error
        assert isinstance(lost, Unavailable)
        self.assertTrue(lost.maybe_applied)
        self.assertEqual(1, len(self.rows.scan("t", "p").ok.rows))
        self.state.faults.throttle = 1
        throttled = self.rows.scan("t", "p").error
        self.assertIsInstance(throttled, Throttled)


class HttpRowStoreTest(RowStoreContractTest):
    """The contract on the HTTP client."""

    def setUp(self) -> None:
        self.state = RowState()
        server = HttpServer(StoreApp(self.state), HOST, 0, 4, 2_000_000)
        server.start()
        self.addCleanup(server.stop, 0.0)
        client = HttpRowStore(HostPort(HOST, server.port))
        self.addCleanup(client.close)
        self.rows = client

    def test_platform_tables_are_read_only(self) -> None:
        change = Transaction(puts=((RowKey("op", "", "config"), b"x"),))
        error = self.rows.transact(change).error
        assert isinstance(error, Unavailable)
        self.assertFalse(error.maybe_applied)

    def test_refused_connection(self) -> None:
        client = HttpRowStore(HostPort(HOST, 9))
        error = client.transact(put("a")).error
        assert isinstance(error, Unavailable)
        self.assertFalse(error.maybe_applied)


PAGE = {"Rows": [], "parts": [], "SchemaVersion": 1}
ODD_VERSIONS = ("1e400", "NaN", "Infinity", "null", "[]", '"x"', NESTED)


class OddAnswerTest(unittest.TestCase):
    """An answer that can't be decoded is a failure of the store.

    One that was nested too deeply once raised out of every call, and ended
    the thread that registers an instance.
    """

    def check(self, body: bytes, parts: bool = True) -> None:
        """Check that no call takes an answer.

        :param parts: whether it can't be taken for a list of parts either
        """
        rows = HttpRowStore(HostPort(HOST, 1))
        reply = Ok(HttpReply(200, body))
        with patch.object(HttpClient, "call", return_value=reply):
            self.assertIsInstance(rows.scan("t", "").error, Unavailable)
            self.assertIsInstance(rows.feed("t", 0, 0.1).error, Unavailable)
            if parts:
                self.assertIsInstance(rows.parts("t").error, Unavailable)

    def test_unreadable_answer(self) -> None:
        for what, body in UNREADABLE.items():
            with self.subTest(what):
                self.check(body)

    def test_unreadable_answer_to_a_change(self) -> None:
        rows = HttpRowStore(HostPort(HOST, 1))
        odd = [replaced(PAGE, "SchemaVersion", v) for v in ODD_VERSIONS]
        for body in (*UNREADABLE.values(), *odd):
            reply = Ok(HttpReply(200, body))
            with self.subTest(body[:80][-20:]):
                with patch.object(HttpClient, "call", return_value=reply):
                    changed = rows.transact(put("a"))
                error = changed.error
                assert isinstance(error, Unavailable)
                self.assertTrue(error.maybe_applied)

    def test_odd_version(self) -> None:
        for text in ODD_VERSIONS:
            with self.subTest(text[:20]):
                body = replaced(PAGE, "SchemaVersion", text)
                self.check(body, parts=False)

    def test_odd_row(self) -> None:
        row = {"Table": "t", "part": "", "Key": "k", "Value": ""}
        odd = [
            replaced(row, "SchemaVersion", text).decode()
            for text in ("1e400", "Infinity", "NaN", '"x"', NESTED)
        ]
        for text in ("null", '"x"', "1", "[]", "{}", NESTED, *odd):
            with self.subTest(text[-20:]):
                body = replaced(PAGE, "Rows", f"[{text}]")
                self.check(body, parts=False)
