"""Tests of the HTTP administration of the platform stand-in."""

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
        self.http = HttpClient(Endpoint(HOST, serve(self, self.platform)))
        self.addCleanup(self.http.close)

    def call(
        self, method: str, target: str, doc: Any = None
    ) -> tuple[int, Any]:
        body = b"" if doc is None else json.dumps(doc).encode()
        reply = self.http.call(method, target, body).ok
        return reply.status, json.loads(reply.body)

    def test_faults_are_set_merged_and_reset(self) -> None:
        _, doc = self.call("PUT", "/admin/faults", {"outage": True})
        self.assertTrue(doc["outage"])
        _, doc = self.call("PUT", "/admin/faults", {"latency_s": 0.001})
        self.assertTrue(doc["outage"])
        self.assertEqual(503, self.call("GET", "/instances")[0])
        _, doc = self.call("PUT", "/admin/faults", {"reset": True})
        self.assertFalse(doc["outage"])
        self.assertEqual(200, self.call("GET", "/instances")[0])

    def test_bad_documents_are_refused(self) -> None:
        cases: tuple[tuple[str, str, Any], ...] = (
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
        for method, target, doc in cases:
            with self.subTest(target=target, doc=doc):
                self.assertEqual(400, self.call(method, target, doc)[0])

    def test_list_is_replaced_or_changed_by_entry(self) -> None:
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
                listed = [(e["name"], e["state"]) for e in entries]
                self.assertEqual(expected, listed)

    def test_lost_replies_and_history(self) -> None:
        self.call("PUT", "/admin/faults", {"lose_next": 1})
        put = Put("t", "k", {"n": 1}, Absent())
        self.assertTrue(self.platform.transact((put,)).is_error())
        self.assertTrue(self.platform.transact((put,)).is_error())
        delete = Delete("t", "k", Always())
        self.assertTrue(self.platform.transact((delete,)).is_ok())
        _, doc = self.call("GET", "/admin/counters")
        counters = [doc[n] for n in ("writes", "replies_lost", "conflicts")]
        self.assertEqual([2, 1, 1], counters)
        self.assertEqual({"t": 1}, doc["rows_by_table"])
        _, doc = self.call("GET", "/admin/history?table=t&key=k")
        row = {"key": "k", "version": 1, "row": {"n": 1}}
        self.assertEqual([row, None], doc["rows"])
        _, doc = self.call("GET", "/admin/rows?table=t")
        self.assertEqual([], doc["rows"])

    def test_object_range_reads(self) -> None:
        self.assertEqual(Ok(None), self.platform.put_object("o", b"0123456"))
        for header, status, expected in (
            ("bytes=2-4", 206, b"234"),
            ("bytes=5-", 206, b"56"),
            ("bytes=5-99", 206, b"56"),
            ("lines=1", 200, b"0123456"),
        ):
            with self.subTest(header=header):
                headers = {"Range": header}
                reply = self.http.call(
                    "GET", "/objects?key=o", headers=headers
                ).ok
                self.assertEqual((status, expected), (
                    reply.status, reply.body))  # fmt: skip
        headers = {"Range": "bytes=7-"}
        reply = self.http.call("GET", "/objects?key=o", headers=headers).ok
        self.assertEqual(416, reply.status)


if __name__ == "__main__":
    unittest.main()
