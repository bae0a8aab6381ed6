"""Sessions of callers compared with golden files.

MULBERRY_GOLDEN=write rewrites the files.
"""

from __future__ import annotations

import http.client
import os
from pathlib import Path
import re
from typing import TYPE_CHECKING
import unittest

from mulberrypass.caller.online_body import MAX_BODY_BYTES
from mulberrypass.engine.api import Finished, Tokens
from mulberrypass.policy.messages import RefusalReason, Refuse
from mulberrypass.runtime.http import HttpRoute, WsgiApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.testing.platform_faults import Faults
from tests.caller.harness import OnlineHarness
from tests.online.fakes import BROKEN, CUT, ScriptedEngine

if TYPE_CHECKING:
    from tests.online.fakes import Script

GOLDEN = Path(__file__).parents[1] / "golden" / "callers"
RECORDED_HEADERS = ("content-type", "request-id", "retry-after", "location")
RANDOM_ID = re.compile(r"r-[0-9a-f]{32}")


class Session:
    """A caller that records its requests and the answers."""

    def __init__(self, harness: OnlineHarness) -> None:
        app = WsgiApp(
            (
                HttpRoute(
                    "POST",
                    "/v1/services/{service}/requests",
                    harness.post_handler,
                ),
                HttpRoute(
                    "GET", "/v1/requests/{request_id}", harness.calls.get
                ),
            )
        )
        self.server = HttpServer(app, "127.0.0.1", 0, 2, MAX_BODY_BYTES)
        self.server.start()
        self.lines: list[str] = []
        self._ids: dict[str, str] = {}

    def note(self, text: str) -> None:
        self.lines.append(f"# {text}")

    def call(
        self, method: str, path: str, body: str = "", **headers: str
    ) -> http.client.HTTPResponse:
        conn = http.client.HTTPConnection("127.0.0.1", self.server.port)
        sent = {"Authorization": "Bearer key-a"}
        sent |= {k.replace("_", "-"): v for k, v in headers.items()}
        conn.request(method, path, body or None, sent)
        resp = conn.getresponse()
        answer = resp.read().decode()
        conn.close()
        sent_headers = [f"> {n}: {v}" for n, v in sorted(headers.items())]
        received_headers = [
            f"< {name}: {value}"
            for name in RECORDED_HEADERS
            if (value := resp.getheader(name))
        ]
        self.lines += [f"> {method} {path}", *sent_headers]
        self.lines += [f"> {body}"] if body else []
        self.lines += [f"< {resp.status} {resp.reason}", *received_headers]
        self.lines += [f"< {line}".rstrip() for line in answer.splitlines()]
        return resp

    def text(self) -> str:
        """Return the transcript, with random ids numbered."""
        return RANDOM_ID.sub(self._stable_id, "\n".join(self.lines)) + "\n"

    def _stable_id(self, match: re.Match[str]) -> str:
        number = len(self._ids) + 1
        return self._ids.setdefault(match[0], f"r-{number}")


class GoldenSessionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = OnlineHarness()
        self.addCleanup(self.harness.executor.shutdown)
        self.session = Session(self.harness)
        self.addCleanup(self.session.server.stop, 5.0)

    def engine(self, *scripts: Script, resumes: list[Script]) -> None:
        engine = ScriptedEngine(list(scripts), resumes)
        self.harness.backends.engines["e-1"] = engine

    def check(self, name: str) -> None:
        path = GOLDEN / f"{name}.txt"
        text = self.session.text()
        if os.environ.get("MULBERRY_GOLDEN") == "write":
            path.write_text(text, encoding="utf-8")
        self.assertEqual(path.read_text(encoding="utf-8"), text)

    def test_online(self) -> None:
        session = self.session
        path = "/v1/services/dock/requests"
        stream = '{"input": "box 2", "stream": true}'
        session.note("a plain answer")
        session.call("POST", path, '{"input": "box 1"}')
        session.note("a streamed answer")
        session.call("POST", path, stream)
        session.note("a stream that the engine cut, resumed")
        self.engine(
            [Tokens(0, ("a",)), CUT],
            resumes=[[Tokens(1, ("b",)), Finished("stop", 2)]],
        )
        session.call("POST", path, stream)
        session.note("a stream that broke for good after it was shown")
        self.engine([Tokens(0, ("a",)), BROKEN], resumes=[])
        session.call("POST", path, stream)
        session.note("refused for the customer's quota")
        self.harness.permits.answers = [
            Refuse("", RefusalReason.CUSTOMER_LIMIT, 1.2)
        ]
        session.call("POST", path, stream)
        session.note("refused for its form")
        session.call("POST", path, '{"inputs": "box 1"}')
        self.check("online")

    def test_recorded(self) -> None:
        session = self.session
        path = "/v1/services/slip/requests"
        slip = '{"input": "core 9"}'
        session.note("a recorded request")
        session.call("POST", path, slip, idempotency_key="k1")
        session.note("the same again, and another under its key")
        session.call("POST", path, slip, idempotency_key="k1")
        changed = '{"input": "core 8"}'
        session.call("POST", path, changed, idempotency_key="k1")
        session.note("answered later")
        resp = session.call(
            "POST", path, slip, idempotency_key="k2", prefer="respond-async"
        )
        self.harness.runners.shutdown()
        session.call("GET", resp.getheader("Location") or "")
        session.note("the store is down")
        self.harness.platform.set_faults(Faults(outage=True))
        session.call("POST", path, slip, idempotency_key="k3")
        self.check("recorded")
