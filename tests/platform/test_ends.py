"""Tests of replies of the platform that end early, or are another's."""

from __future__ import annotations

import json
import unittest

from mulberrypass.model.store import Unavailable
from mulberrypass.platform.client import PlatformClients, open_platform
from mulberrypass.platform.http_client import Endpoint
from mulberrypass.platform.row_client import HttpRowStore
from mulberrypass.platform.site import HostPort
from mulberrypass.storage.rows import (
    Expected,
    RowKey,
    RowsConflict,
    Transaction,
)
from tests.engine.endless import AnsweringServer
from tests.platform.contract import maybe_applied

HEAD = b"HTTP/1.1 200 OK\r\n"
UNFRAMED = HEAD + b"\r\n"
PAGE = b'{"Rows": [], "HasMore": false, "SchemaVersion": 7}'


def framed(body: bytes) -> bytes:
    """Return a reply with a length."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


class EndsCase(unittest.TestCase):
    """Calls a server that sends the same bytes after each request."""

    def answering(self, reply: bytes) -> HostPort:
        server = AnsweringServer(self, reply, close=True)
        host, _, port = server.address.rpartition(":")
        return HostPort(host, int(port))

    def clients(self, reply: bytes) -> PlatformClients:
        at = self.answering(reply)
        clients = open_platform(Endpoint(at.host, at.port))
        self.addCleanup(clients.close)
        return clients

    def rows(self, reply: bytes) -> HttpRowStore:
        rows = HttpRowStore(self.answering(reply))
        self.addCleanup(rows.close)
        return rows


class UnframedObjectTest(EndsCase):
    """The first bytes of an object passed for the object."""

    def test_object_without_a_length_is_no_object(self) -> None:
        for body in (b"", b"first line\n", b"[]"):
            with self.subTest(body):
                got = self.clients(UNFRAMED + body).objects.get("k")
                self.assertIsInstance(got.error, Unavailable)
                got = self.clients(framed(body)).objects.get("k")
                self.assertEqual(body, got.ok)


class UnreadableFramingTest(EndsCase):
    """A reply whose head can't be read seemed to end with its connection."""

    def test_unreadable_framing_is_no_reply(self) -> None:
        for line in (
            b"Content-Length: abc\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"garbled\r\nContent-Length: 99\r\n",
        ):
            with self.subTest(line):
                reply = HEAD + line + b"\r\n" + PAGE
                got = self.rows(reply).scan("t", "")
                self.assertIsInstance(got.error, Unavailable)


class AnotherReplyTest(EndsCase):
    """A reply bears no id, and any rows passed for those asked for."""

    def page(self, **of_row: str) -> bytes:
        """Return a reply with one row."""
        row = {"Table": "t", "part": "p", "Key": "k", "SchemaVersion": 3}
        doc = {"Rows": [row | of_row], "SchemaVersion": 7}
        return framed(json.dumps(doc).encode())

    def conflict(self, **of_row: str) -> bytes:
        """Return the same row as a conflict."""
        status = b"412 Precondition Failed"
        return self.page(**of_row).replace(b"200 OK", status)

    def test_rows_that_were_not_asked_for(self) -> None:
        whole = self.rows(self.page()).scan("t", "p", "k", "l")
        self.assertEqual("k", whole.ok.rows[0].at.key)
        for of_row in (
            {"Table": "u"},
            {"part": "q"},
            {"Key": "j"},
            {"Key": "l"},
        ):
            with self.subTest(of_row):
                rows = self.rows(self.page(**of_row))
                got = rows.scan("t", "p", "k", "l")
                self.assertIsInstance(got.error, Unavailable)

    def test_changes_of_another_table(self) -> None:
        self.assertTrue(self.rows(self.page()).feed("t", 1, 0.0).is_ok())
        fed = self.rows(self.page(Table="u")).feed("t", 1, 0.0)
        self.assertIsInstance(fed.error, Unavailable)

    def test_conflict_of_another_change(self) -> None:
        change = Transaction((Expected(RowKey("t", "p", "k"), 2),))
        error = self.rows(self.conflict()).transact(change).error
        self.assertIsInstance(error, RowsConflict)
        error = self.rows(self.conflict(Key="l")).transact(change).error
        self.assertTrue(maybe_applied(error))


class CutDocumentTest(EndsCase):
    """A document shows where it ends, whatever ends its reply."""

    def test_document_cut_short_is_no_answer(self) -> None:
        self.assertTrue(self.rows(UNFRAMED + PAGE).scan("t", "").is_ok())
        for size in range(len(PAGE)):
            got = self.rows(UNFRAMED + PAGE[:size]).scan("t", "")
            self.assertIsInstance(got.error, Unavailable)

    def test_document_that_is_no_object_is_no_answer(self) -> None:
        for body in (b"", b"[]", b"7", b'""', b"null", PAGE + PAGE):
            with self.subTest(body):
                rows = self.rows(UNFRAMED + body)
                self.assertIsInstance(rows.scan("t", "").error, Unavailable)
                fed = rows.feed("t", 1, 0.0)
                self.assertIsInstance(fed.error, Unavailable)
                self.assertIsInstance(rows.parts("t").error, Unavailable)


if __name__ == "__main__":
    unittest.main()
