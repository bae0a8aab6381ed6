"""Tests of the plain service client against the fake service."""

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

    def set_faults(self, faults: dict[str, Any]) -> None:
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
                self.set_faults(faults)
                result = self.service.call("r1", sent, DEADLINE_S)
                if isinstance(expected, Ran):
                    self.assertEqual(expected, result.error.ran)
                else:
                    self.assertEqual(expected, result.ok)

    def test_failed_calls_are_not_retried(self) -> None:
        self.service.call("warm", {}, DEADLINE_S)
        self.set_faults({"cut_streams": 1})
        self.assertTrue(self.service.call("r1", {}, DEADLINE_S).is_error())
        self.assertEqual(1, self.fake.counts["r1"]["started"])

    def test_deadline_limits_the_wait(self) -> None:
        self.set_faults({"late_s": 0.5})
        failed = self.service.call("r1", {}, 0.05).error
        self.assertEqual(EngineFailed("deadline", Ran.MAYBE, True), failed)


class BackendClientsTest(unittest.TestCase):
    def test_only_clients_of_configured_backends_are_kept(self) -> None:
        clients = BackendClients()
        kept = Backend("a", BackendKind.ENGINE, "z", "127.0.20.3:1", 4)
        removed = Backend("b", BackendKind.PLAIN, "z", "127.0.20.4:1", 4)
        engine = clients.engine(kept)
        plain = clients.plain(removed)
        self.assertIs(plain, clients.plain(removed))
        clients.apply(Configuration(1, backends={"a": kept}))
        self.assertIs(engine, clients.engine(kept))
        self.assertIsNot(plain, clients.plain(removed))
