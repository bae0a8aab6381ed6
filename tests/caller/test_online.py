"""Tests of online requests at the HTTP border."""

from __future__ import annotations

import http.client
import json
import socket
import threading
from typing import TYPE_CHECKING, Any
import unittest

from expression import Ok

from mulberrypass.caller.online_body import MAX_BODY_BYTES
from mulberrypass.engine.api import Finished, Tokens
from mulberrypass.policy.messages import RefusalReason, Refuse
from mulberrypass.runtime.http import Answer, Problem, Route, Streamed, WsgiApp
from mulberrypass.runtime.http_server import HttpServer
from tests.caller.border import GOOD, Border
from tests.online.fakes import BROKEN, ScriptedEngine

if TYPE_CHECKING:
    from mulberrypass.runtime.http import Reply
    from tests.online.fakes import Script


def document(reply: Reply) -> dict[str, Any]:
    if isinstance(reply, Problem):
        return reply.document()
    assert isinstance(reply, Answer)
    value: dict[str, Any] = json.loads(reply.body)
    return value


def sse(reply: Reply) -> list[tuple[str, dict[str, Any]]]:
    assert isinstance(reply, Streamed)
    text = b"".join(reply.chunks).decode()
    blocks = [block.split("\n") for block in text.strip().split("\n\n")]
    return [(b[0][7:], json.loads(b[1][6:])) for b in blocks]


class OnlineCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.border = Border()
        self.addCleanup(self.border.executor.shutdown)

    def test_bad_requests_have_errors_of_their_own(self) -> None:
        rows: tuple[tuple[int, str, dict[str, Any]], ...] = (
            (400, "not_json", {"body": b"{"}),
            (400, "not_json", {"body": b"\xff\xfe"}),
            (400, "not_json", {"body": b"[" * 100_000}),
            (400, "bad_field", {"body": b"[1]"}),
            (400, "bad_field", {"body": b"{}"}),
            (400, "bad_field", {"body": b'{"input": 7}'}),
            (400, "bad_field", {"body": b'{"input": " "}'}),
            (400, "bad_field", {"body": b'{"input": "a", "more": 1}'}),
            (400, "bad_field", {"body": b'{"input":"a","max_tokens":"9"}'}),
            (400, "bad_field", {"body": b'{"input":"a","max_tokens":0}'}),
            (400, "bad_field", {"body": b'{"input":"a","max_tokens":9}'}),
            (400, "cut_body", {"length": 99}),
            (400, "bad_header", {"request_timeout_ms": "soon"}),
            (400, "bad_header", {"request_timeout_ms": "0"}),
            (400, "bad_header", {"idempotency_key": "a b"}),
            (400, "bad_header", {"idempotency_key": "x" * 201}),
            (401, "unknown_key", {"key": "key-c"}),
            (401, "unknown_key", {"key": "key-old"}),
            (404, "no_such_service", {"service": "none"}),
            (404, "no_such_service", {"service": "private"}),
            (
                400,
                "bad_field",
                {"service": "booking", "body": b'{"input":1,"stream":true}'},
            ),
            (
                400,
                "bad_field",
                {"service": "slip", "body": b'{"input":"a","stream":true}'},
            ),
        )
        for status, code, given in rows:
            with self.subTest(code=code, given=str(given)[:60]):
                reply = self.border.post(**given)
                assert isinstance(reply, Problem)
                self.assertEqual((status, code), (reply.status, reply.code))
                self.assertEqual("no", reply.document()["ran"])
        self.assertEqual([], self.border.permits.asks)
        self.assertEqual({}, self.border.shares.state())

    def test_plain_answer(self) -> None:
        answer = document(self.border.post())
        self.assertEqual("a b", answer["output"])
        self.assertEqual(2, answer["tokens"])

    def test_stream_is_whole_and_gives_its_thread_back(self) -> None:
        reply = self.border.post(b'{"input": "a", "stream": true}')
        self.assertEqual({"firm-a": 1}, self.border.shares.state())
        events = sse(reply)
        self.assertEqual(["tokens", "done"], [name for name, _ in events])
        self.assertEqual(["a", "b"], events[0][1]["tokens"])
        assert isinstance(reply, Streamed)
        reply.chunks.close()  # type: ignore[attr-defined]
        self.assertEqual({}, self.border.shares.state())

    def test_stream_that_breaks_ends_with_an_error(self) -> None:
        script: Script = [Tokens(0, ("a",)), BROKEN]
        self.border.backends.engines["e-1"] = ScriptedEngine([script])
        events = sse(self.border.post(b'{"input": "a", "stream": true}'))
        self.assertEqual(["tokens", "error"], [name for name, _ in events])
        self.assertEqual("maybe", events[1][1]["ran"])

    def test_refused_stream_is_an_ordinary_problem(self) -> None:
        refuse = Refuse("", RefusalReason.CUSTOMER_LIMIT, 0.3)
        self.border.permits.answers = [refuse]
        reply = self.border.post(b'{"input": "a", "stream": true}')
        assert isinstance(reply, Problem)
        self.assertEqual(429, reply.status)
        self.assertEqual("no", reply.document()["ran"])
        self.assertEqual({}, self.border.shares.state())

    def test_one_customer_cannot_hold_all_threads(self) -> None:
        border = Border(threads=4)
        self.addCleanup(border.executor.shutdown)
        stream = b'{"input": "a", "stream": true}'
        first = [border.post(stream) for _ in range(3)]
        self.assertIsInstance(first[0], Streamed)
        refused = first[2]
        assert isinstance(refused, Problem)
        self.assertEqual("instance_busy", refused.code)
        self.assertIsInstance(border.post(key="key-b"), Answer)

    def test_recorded_result_is_for_its_own_customer(self) -> None:
        reply = self.border.post(service="slip", idempotency_key="k1")
        request_id = document(reply)["request_id"]
        own = document(self.border.get(request_id, "key-a"))
        self.assertEqual(("done", "a b"), (own["state"], own["output"]))
        for key, status in (("key-b", 404), ("none", 401)):
            rival = self.border.get(request_id, key)
            assert isinstance(rival, Problem)
            self.assertEqual(status, rival.status)

    def test_same_key_of_two_customers_is_two_requests(self) -> None:
        ids = {
            document(
                self.border.post(service="slip", key=key, idempotency_key="k1")
            )["request_id"]
            for key in ("key-a", "key-b")
        }
        self.assertEqual(2, len(ids))

    def test_asynchronous_request_is_accepted_and_ends(self) -> None:
        reply = self.border.post(service="slip", prefer="respond-async")
        assert isinstance(reply, Answer)
        self.assertEqual(202, reply.status)
        request_id = document(reply)["request_id"]
        self.border.runners.shutdown()
        own = document(self.border.get(request_id, "key-a"))
        self.assertEqual("done", own["state"])


class SlowSenderTest(unittest.TestCase):
    """Callers that send slowly, cut off or leave harm nobody else."""

    def setUp(self) -> None:
        self.border = Border()
        self.addCleanup(self.border.executor.shutdown)
        path = "/v1/services/{service}/requests"
        app = WsgiApp((Route("POST", path, self.border.post_handler),))
        self.server = HttpServer(app, "127.0.0.1", 0, 1, MAX_BODY_BYTES)
        self.server.start()
        self.addCleanup(self.server.stop, 5.0)

    def ask(self) -> int:
        conn = http.client.HTTPConnection("127.0.0.1", self.server.port)
        self.addCleanup(conn.close)
        headers = {"Authorization": "Bearer key-a"}
        conn.request("POST", "/v1/services/dock/requests", GOOD, headers)
        return conn.getresponse().status

    def test_slow_senders_hold_no_thread(self) -> None:
        head = b"POST /v1/services/dock/requests HTTP/1.1\r\n"
        part = head + b"Content-Length: 100\r\n\r\n{"
        for sent in (b"", head, part):
            sock = socket.create_connection(("127.0.0.1", self.server.port))
            self.addCleanup(sock.close)
            sock.sendall(sent)
        self.assertEqual(200, self.ask())

    def test_caller_that_leaves_cancels_its_stream(self) -> None:
        going = threading.Event()

        class Endless(ScriptedEngine):
            def generate(self, req: Any, deadline_s: float) -> Any:
                offset = 0
                while not self.cancelled:
                    yield Ok(Tokens(offset, ("a",)))
                    offset += 1
                    going.wait(0.001)
                yield Ok(Finished("cancelled", offset))

        engine = Endless()
        self.border.backends.engines["e-1"] = engine
        conn = http.client.HTTPConnection("127.0.0.1", self.server.port)
        headers = {"Authorization": "Bearer key-a"}
        body = b'{"input": "a", "stream": true}'
        conn.request("POST", "/v1/services/dock/requests", body, headers)
        resp = conn.getresponse()
        resp.read(1)
        resp.close()
        conn.close()
        self.border.backends.engines["e-1"] = ScriptedEngine()
        self.assertEqual(200, self.ask())
        self.border.executor.shutdown()
        self.assertEqual(1, len(engine.cancelled))
