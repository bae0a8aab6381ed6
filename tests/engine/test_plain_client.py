"""Contract of the HTTP plain service, against the stand-in."""

from __future__ import annotations

import http.client
import json
import logging
from typing import Any
import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.clients import BackendClients
from mulberrypass.engine.plain_client import HttpPlainService
from mulberrypass.model.objects import Backend, BackendKind, Configuration
from mulberrypass.model.outcome import Ran
from mulberrypass.testing.engine_tokens import expected_result
from mulberrypass.testing.plain_http import FakePlainService, PlainOptions

HOST = "127.0.20.2"
DEADLINE_S = 20.0


class PlainServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self.fake = FakePlainService(PlainOptions(service_s=0.0, threads=4))
        self.server = self.fake.serve(HOST, 0)
        self.addCleanup(self.server.stop, 1.0)
        self.service = HttpPlainService(f"{HOST}:{self.server.port}")
        self.addCleanup(self.service.close)

    def fault(self, faults: dict[str, Any]) -> None:
        conn = http.client.HTTPConnection(HOST, self.server.port, timeout=20)
        self.addCleanup(conn.close)
        conn.request("PUT", "/admin/faults", json.dumps(faults))
        self.assertEqual(200, conn.getresponse().status)

    def test_answers_and_failures(self) -> None:
        payload = {"slot": 4}
        table: tuple[tuple[dict[str, Any], Any, object], ...] = (
            ({}, payload, expected_result(payload)),
            ({"refuse": 1}, payload, Ran.NO),
            ({"cut_streams": 1}, payload, Ran.MAYBE),
            ({"crossed": 1}, payload, Ran.MAYBE),
            ({}, {"slot": "poison"}, Ran.YES),
        )
        for faults, sent, expected in table:
            with self.subTest(faults=faults, sent=sent):
                self.fault(faults)
                result = self.service.call("r1", sent, DEADLINE_S)
                if isinstance(expected, Ran):
                    self.assertEqual(expected, result.error.ran)
                else:
                    self.assertEqual(expected, result.ok)

    def test_failed_calls_are_not_sent_again(self) -> None:
        self.service.call("warm", {}, DEADLINE_S)
        self.fault({"cut_streams": 1})
        self.assertTrue(self.service.call("r1", {}, DEADLINE_S).is_error())
        self.assertEqual(1, self.fake.counts["r1"]["started"])

    def test_late_answer_is_not_waited_for(self) -> None:
        self.fault({"late_s": 0.5})
        failed = self.service.call("r1", {}, 0.05).error
        self.assertEqual(EngineFailed("deadline", Ran.MAYBE, True), failed)


class BackendsTest(unittest.TestCase):
    def test_clients_live_as_long_as_their_backend_is_named(self) -> None:
        backends = BackendClients()
        kept = Backend("a", BackendKind.ENGINE, "z", "127.0.20.3:1", 4)
        gone = Backend("b", BackendKind.PLAIN, "z", "127.0.20.4:1", 4)
        engine = backends.engine(kept)
        plain = backends.plain(gone)
        self.assertIs(plain, backends.plain(gone))
        backends.apply(Configuration(1, backends={"a": kept}))
        self.assertIs(engine, backends.engine(kept))
        self.assertIsNot(plain, backends.plain(gone))
