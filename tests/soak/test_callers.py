"""Tests of the callers of a soak run."""

from __future__ import annotations

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
import threading
import time
import unittest
from unittest.mock import Mock, patch

from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.caller import CallFailedError, ResultsPage
from mulberrypass.soak.addresses import AddressCache
from mulberrypass.soak.batch_callers import read_page
from mulberrypass.soak.callers import Callers, _KeptCaller
from mulberrypass.soak.records import JobRecord, SoakRecords

ENOUGH_REQUESTS = 5
DEADLINE_S = 10.0


class _Handler(BaseHTTPRequestHandler):
    """Answers each request, closing the connection where told so."""

    protocol_version = "HTTP/1.1"
    connections: set[int]
    closing = False

    def do_POST(self) -> None:
        """Answer."""
        self.rfile.read(int(self.headers["Content-Length"]))
        self.connections.add(self.client_address[1])
        self.send_response(200)
        self.send_header("Content-Length", "0")
        if self.closing:
            self.send_header("Connection", "close")
        self.end_headers()

    def log_message(self, *_args: object) -> None:
        """Log nothing."""


class KeptCallerTest(unittest.TestCase):
    def run_caller(self, closing: bool) -> tuple[int, int, int]:
        """Return requests, connections and choices of an instance."""

        class Handler(_Handler):
            pass

        Handler.connections = set()
        Handler.closing = closing
        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        instance = Mock(number=0)
        instance.front = HostPort("127.0.0.1", server.server_port)
        records = SoakRecords()
        started = Callers([instance], records, 1)
        with patch.object(
            AddressCache, "choose", return_value=instance
        ) as choose:
            kept = _KeptCaller(started, 0)
            thread = threading.Thread(target=kept.run)
            thread.start()
            end = time.monotonic() + DEADLINE_S
            while len(records.attempts) < ENOUGH_REQUESTS:
                self.assertLess(time.monotonic(), end)
                time.sleep(0.01)
            started.stop_online.set()
            thread.join()
        return (
            len(records.attempts),
            len(Handler.connections),
            choose.call_count,
        )

    def test_keeps_to_its_connection_without_asking_for_addresses(
        self,
    ) -> None:
        _, connections, choices = self.run_caller(closing=False)
        self.assertEqual((1, 1), (connections, choices))

    def test_chooses_anew_after_the_connection_was_closed(self) -> None:
        requests, connections, choices = self.run_caller(closing=True)
        self.assertEqual((requests, requests), (connections, choices))


class ReadPageTest(unittest.TestCase):
    def read(
        self, page: ResultsPage | None, settled: bool
    ) -> tuple[list[str], int]:
        """Read a page of a job of two items whose first one was read."""
        job = JobRecord("j1", ("i1", "i2"), accepted_at=0.0)
        job.results[0] = ("i1", "completed", "x")
        caller = Mock(results=Mock(return_value=page))
        self.assertTrue(read_page(caller, job, 0, settled))
        caller.close.assert_called_once_with()
        return job.inconsistencies, len(job.not_found)

    def test_result_that_is_gone_at_the_end(self) -> None:
        found, _ = self.read(ResultsPage(2, ()), settled=True)
        self.assertEqual(
            ["0 results after 0 at the end, 1 were read before"], found
        )

    def test_job_that_is_gone_at_the_end(self) -> None:
        found, _ = self.read(None, settled=True)
        self.assertEqual(["no such job at the end"], found)

    def test_instance_that_lags_behind_during_the_run(self) -> None:
        self.assertEqual(([], 0), self.read(ResultsPage(2, ()), False))
        self.assertEqual(([], 1), self.read(None, False))

    def test_other_result(self) -> None:
        page = ResultsPage(2, (("i1", "completed", "y"),))
        for settled in (False, True):
            with self.subTest(settled=settled):
                found, _ = self.read(page, settled)
                self.assertEqual(["position 0 holds another result"], found)

    def test_no_answer(self) -> None:
        caller = Mock(results=Mock(side_effect=CallFailedError))
        job = JobRecord("j1", ("i1",), accepted_at=0.0)
        self.assertFalse(read_page(caller, job, 0))


if __name__ == "__main__":
    unittest.main()
