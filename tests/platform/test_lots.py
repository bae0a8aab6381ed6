"""Tests of the HTTP API of batch jobs."""

from __future__ import annotations

from dataclasses import replace
import json
from typing import Any
import unittest

from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.manager import BatchJobManager
from mulberrypass.batches.store import BatchStore
from mulberrypass.platform.headers import read_request
from mulberrypass.platform.lots import BatchJobApi, item_request
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, head, item, outcome, route
from tests.platform.odd_values import HUGE_NUMBERS, NESTED, replaced
from tests.relay.fakes import (
    ScriptedEngines,
    ScriptedPermits,
    make_dependencies,
)

ITEM = {
    "Id": "i1",
    "Path": "/crates/1",
    "Headers": {"X-Mulberrypass-Model": "m"},
    "Body": "q83v",
    "Tokens": 100,
}
ME = "entry@a"
# Of the users' pages.
MAX_RESULTS_BYTES = 1_000_000


class BatchJobApiTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.rows = RowState()
        self.store = BatchStore(self.rows, sleep=lambda _s: None)
        deps = make_dependencies(
            ScriptedEngines(),
            ScriptedPermits("e1"),
            route(quota_tokens=500),
        )
        live = frozenset({ME})
        holder = JobHolder(
            ME, self.store, deps, lambda: Members(live, live), item_request
        )
        manager = BatchJobManager(ME, self.store, holder, deps.directory)
        self.api = BatchJobApi(manager, deps.directory)

    def call(
        self,
        method: str,
        target: str,
        doc: Any = None,
        request_id: str = "lot-1",
    ) -> tuple[int, Any]:
        """Make a call and return the status and the decoded body."""
        body = doc if isinstance(doc, bytes) else json.dumps(doc).encode()
        headers = {"host": HOST, "x-mulberrypass-request-id": request_id}
        req = read_request(method, target, headers, body)
        reply = self.api.handle(req)
        if reply is None:
            return 0, None
        try:
            return reply.status, json.loads(reply.body)
        except ValueError:
            return reply.status, reply.body


class SubmitTest(BatchJobApiTestCase):
    def test_submitting_again_is_accepted(self) -> None:
        doc = {"Items": [ITEM]}
        for _ in range(2):
            status, _ = self.call("POST", "/crates/a", doc)
            self.assertEqual(202, status)
        items = self.store.items(HOST, "lot-1").ok
        self.assertEqual(b"\xab\xcd\xef", items[0].body)
        self.assertEqual((("X-Mulberrypass-Model", "m"),), items[0].headers)

    def test_invalid_jobs(self) -> None:
        cases: dict[str, tuple[Any, str]] = {
            "not JSON": (b"\xff", "lot-1"),
            "no items": ({}, "lot-1"),
            "item without id": ({"Items": [{"Path": "/a"}]}, "lot-1"),
            "body not base64": ({"Items": [ITEM | {"Body": "%"}]}, "lot-1"),
            "same id twice": ({"Items": [ITEM, ITEM]}, "lot-1"),
            "too many": ({"Items": [ITEM] * 201}, "lot-1"),
            "no request id": ({"Items": [ITEM]}, ""),
            "slash in the id": ({"Items": [ITEM]}, "a/b"),
            "negative tokens": ({"Items": [ITEM | {"Tokens": -1}]}, "lot-1"),
            "nested": (NESTED.encode(), "lot-1"),
        }
        for text in HUGE_NUMBERS:
            odd = b'{"Items":[' + replaced(ITEM, "Tokens", text) + b"]}"
            cases[f"tokens {text[:20]}"] = (odd, "lot-1")
        for item_id in ("", " a", "a\r\nb", "\u2014"):
            lot = {"Items": [ITEM | {"Id": item_id}]}
            cases[f"id {item_id!r}"] = (lot, "lot-1")
        for path in ("", "/a b", "/a\r\nb", "/\u00e9", "/a\0"):
            lot = {"Items": [ITEM | {"Path": path}]}
            cases[f"path {path!r}"] = (lot, "lot-1")
        for header in (
            ("a b", ""),
            ("", "b"),
            ("a", "b\r\nc: d"),
            ("a", "\u2014"),
        ):
            lot = {"Items": [ITEM | {"Headers": dict([header])}]}
            cases[f"header {header!r}"] = (lot, "lot-1")
        for name, (doc, request_id) in cases.items():
            with self.subTest(name):
                status, answer = self.call(
                    "POST", "/crates/a", doc, request_id
                )
                self.assertEqual(400, status)
                self.assertTrue(answer["reason"])
        self.assertEqual({}, self.rows.rows)

    def test_quota(self) -> None:
        large = {"Items": [ITEM | {"Tokens": 501}]}
        status, answer = self.call("POST", "/crates/a", large)
        self.assertEqual(429, status)
        self.assertEqual("quota", answer["reason"])

    def test_store_failures(self) -> None:
        cases = {"down": 503, "late": 502}
        for fault, expected in cases.items():
            with self.subTest(fault):
                self.rows.faults.down = fault == "down"
                self.rows.faults.late = 99 if fault == "late" else 0
                status, _ = self.call(
                    "POST", "/crates/a", {"Items": [ITEM]}, fault
                )
                self.assertEqual(expected, status)

    def test_other_requests_are_not_handled(self) -> None:
        self.assertEqual((0, None), self.call("POST", "/elsewhere/1"))
        self.assertEqual((0, None), self.call("POST", "/lots/x"))
        self.assertEqual(405, self.call("PUT", "/crates/a")[0])


class JobRequestTest(BatchJobApiTestCase):
    def setUp(self) -> None:
        super().setUp()
        second = ITEM | {"Id": "i2"}
        self.call("POST", "/crates/a", {"Items": [ITEM, second]})

    def test_results(self) -> None:
        status, page = self.call("GET", "/lots/lot-1?After=0")
        self.assertEqual((200, 2, 0), (status, page["Total"], page["Next"]))
        done = outcome(1)
        self.store.record_outcomes(None, HOST, "lot-1", (done,))
        _, page = self.call("GET", "/lots/lot-1?After=0")
        self.assertEqual(
            [{"Id": "item-1", "State": "completed", "Output": "text-1"}],
            page["Results"],
        )
        self.assertEqual(1, page["Next"])
        _, page = self.call("GET", "/lots/lot-1?After=1")
        self.assertEqual(([], 1), (page["Results"], page["Next"]))

    def test_job_of_another_host_is_unknown(self) -> None:
        target = "/lots/lot-1?After=0"
        other = read_request("GET", target, {"host": "other.example"}, b"")
        reply = self.api.handle(other)
        assert reply is not None
        self.assertEqual(404, reply.status)

    def test_item_bodies(self) -> None:
        status, body = self.call("GET", "/items/lot-1?Id=i1")
        self.assertEqual((200, b"\xab\xcd\xef"), (status, body))
        self.assertEqual(404, self.call("GET", "/items/lot-1?Id=zz")[0])
        self.assertEqual(404, self.call("GET", "/items/none?Id=i1")[0])
        self.call("DELETE", "/lots/lot-1")
        self.assertEqual(404, self.call("GET", "/items/lot-1?Id=i1")[0])

    def test_cancel(self) -> None:
        for _ in range(2):
            self.assertEqual(200, self.call("DELETE", "/lots/lot-1")[0])
        self.assertEqual(404, self.call("DELETE", "/lots/none")[0])

    def test_unavailable_store_is_503(self) -> None:
        self.rows.faults.down = True
        for method, target in (
            ("GET", "/lots/lot-1?After=0"),
            ("GET", "/lots/none?After=0"),
            ("GET", "/items/lot-1?Id=i1"),
            ("DELETE", "/lots/lot-1"),
        ):
            with self.subTest(f"{method} {target}"):
                self.assertEqual(503, self.call(method, target)[0])

    def test_invalid_position(self) -> None:
        for after in ("x", "-1", "1.5", "%C2%B2", "9" * 5_000):
            with self.subTest(after[:20]):
                status, _ = self.call("GET", f"/lots/lot-1?After={after}")
                self.assertEqual(400, status)


class LargePageTest(BatchJobApiTestCase):
    """A page of results was larger than callers read."""

    def test_page_of_outputs_that_grow_when_encoded(self) -> None:
        count = 12
        items = [ITEM | {"Id": f"i{n}", "Tokens": 1} for n in range(count)]
        self.call("POST", "/crates/a", {"Items": items})
        texts = {
            "quotes": '{"a":"b"}\n' * 9_000,
            "other letters": "\u0416" * 90_000,
        }
        for index in range(count):
            text = texts["quotes" if index % 2 else "other letters"]
            done = replace(outcome(index), output=text)
            self.store.record_outcomes(None, HOST, "lot-1", (done,))
        after = 0
        while after < count:
            target = f"/lots/lot-1?After={after}"
            req = read_request("GET", target, {"host": HOST}, b"")
            reply = self.api.handle(req)
            assert reply is not None
            self.assertLessEqual(len(reply.body), MAX_RESULTS_BYTES)
            after = json.loads(reply.body)["Next"]
        self.assertEqual(count, after)


class ItemRequestTest(unittest.TestCase):
    def test_request_of_an_item(self) -> None:
        req = item_request(head(), item(0), 7)
        self.assertEqual(("POST", "/crates/0"), (req.method, req.target))
        self.assertEqual("item-0", req.request_id)
        self.assertEqual(HOST, req.host)
        self.assertEqual(7, req.after_event)
        self.assertEqual(b"\x00body", req.body)
