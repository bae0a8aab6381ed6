"""Tests of the platform stand-in's administration over HTTP."""

from __future__ import annotations

import json
from typing import Any
import unittest

from expression import Ok

from mulberrypass.model.store import Absent, Always, Delete, Put
from mulberrypass.platform.http_client import Endpoint, HttpClient
from mulberrypass.testing.platform_state import FakePlatform
from tests.platform.contract import HOST, serve


class AdminTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = FakePlatform(keep_history=True)
        self.caller = HttpClient(Endpoint(HOST, serve(self, self.platform)))
        self.addCleanup(self.caller.close)

    def call(
        self, method: str, target: str, doc: Any = None
    ) -> tuple[int, Any]:
        body = b"" if doc is None else json.dumps(doc).encode()
        reply = self.caller.call(method, target, body).ok
        return reply.status, json.loads(reply.body)

    def test_faults_are_set_kept_and_reset(self) -> None:
        _, doc = self.call("PUT", "/admin/faults", {"outage": True})
        self.assertTrue(doc["outage"])
        _, doc = self.call("PUT", "/admin/faults", {"latency_s": 0.001})
        self.assertTrue(doc["outage"])
        self.assertEqual(503, self.call("GET", "/instances")[0])
        _, doc = self.call("PUT", "/admin/faults", {"reset": True})
        self.assertFalse(doc["outage"])
        self.assertEqual(200, self.call("GET", "/instances")[0])

    def test_bad_documents_are_refused(self) -> None:
        table: tuple[tuple[str, str, Any], ...] = (
            ("PUT", "/admin/faults", {"nonsense": 1}),
            ("PUT", "/admin/faults", {"next_writes": ["nonsense"]}),
            ("PUT", "/admin/instances", {}),
            ("PUT", "/admin/instances", {"entry": {"name": 1}}),
            ("PUT", "/admin/instances", []),
            ("POST", "/table/transact", {"ops": []}),
            ("POST", "/table/transact", {"ops": [{"op": "put"}]}),
            ("POST", "/table/transact", {"ops": [{}] * 101}),
            ("GET", "/table/row", None),
        )
        for method, target, doc in table:
            with self.subTest(target=target, doc=doc):
                self.assertEqual(400, self.call(method, target, doc)[0])

    def test_list_is_changed_whole_or_by_entry(self) -> None:
        first = {"name": "a", "zone": "z", "address": "127.0.0.1"}
        second = first | {"name": "b"}
        leaving = first | {"state": "leaving"}
        for doc, expected in (
            ({"entries": [first, second]}, [("a", "live"), ("b", "live")]),
            ({"entry": leaving}, [("a", "leaving"), ("b", "live")]),
            ({"remove": "b"}, [("a", "leaving")]),
        ):
            with self.subTest(doc=doc):
                self.call("PUT", "/admin/instances", doc | {"at_once": True})
                entries = self.call("GET", "/instances")[1]["entries"]
                shown = [(e["name"], e["state"]) for e in entries]
                self.assertEqual(expected, shown)

    def test_lost_replies_are_counted_and_history_kept(self) -> None:
        self.call("PUT", "/admin/faults", {"lose_next": 1})
        put = Put("t", "k", {"n": 1}, Absent())
        self.assertTrue(self.platform.transact((put,)).is_error())
        self.assertTrue(self.platform.transact((put,)).is_error())
        delete = Delete("t", "k", Always())
        self.assertTrue(self.platform.transact((delete,)).is_ok())
        _, doc = self.call("GET", "/admin/counters")
        shown = [doc[n] for n in ("writes", "replies_lost", "conflicts")]
        self.assertEqual([2, 1, 1], shown)
        self.assertEqual({"t": 1}, doc["rows_by_table"])
        _, doc = self.call("GET", "/admin/history?table=t&key=k")
        row = {"key": "k", "version": 1, "row": {"n": 1}}
        self.assertEqual([row, None], doc["rows"])
        _, doc = self.call("GET", "/admin/rows?table=t")
        self.assertEqual([], doc["rows"])

    def test_object_is_read_by_range(self) -> None:
        self.assertEqual(Ok(None), self.platform.put_object("o", b"0123456"))
        for header, status, expected in (
            ("bytes=2-4", 206, b"234"),
            ("bytes=5-", 206, b"56"),
            ("bytes=5-99", 206, b"56"),
            ("lines=1", 200, b"0123456"),
        ):
            with self.subTest(header=header):
                headers = {"Range": header}
                reply = self.caller.call(
                    "GET", "/objects?key=o", headers=headers
                ).ok
                self.assertEqual((status, expected), (
                    reply.status, reply.body))  # fmt: skip
        headers = {"Range": "bytes=7-"}
        reply = self.caller.call("GET", "/objects?key=o", headers=headers).ok
        self.assertEqual(416, reply.status)


if __name__ == "__main__":
    unittest.main()
