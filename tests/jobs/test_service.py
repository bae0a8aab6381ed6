"""Tests of jobs from submission to results over in-process fakes."""

from __future__ import annotations

import io
import json
import threading
import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.caller.jobs import JobRoutes
from mulberrypass.engine.api import EngineFailed
from mulberrypass.jobs.service import JobDependencies, JobService
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.jobs.commands import HolderSettings
from mulberrypass.runtime.http import WsgiApp
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_faults import Faults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.jobs import fakes

if TYPE_CHECKING:
    from collections.abc import Callable

SETTINGS = HolderSettings(
    window=32,
    poll_s=0.05,
    idle_poll_s=0.05,
    takeover_s=0.1,
    effect_takeover_s=0.1,
    settle_s=0.0,
)
WAIT_S = 30.0


class Instance:
    """One instance's batch process, without its HTTP server."""

    def __init__(
        self,
        name: str,
        platform: FakePlatform,
        membership: fakes.FakeMembership,
        backends: fakes.FakeBackends,
    ) -> None:
        cfg = fakes.FixedConfiguration()
        self.member = fakes.member(name)
        self.table = fakes.DisconnectableTable(MemoryTable(platform))
        self.permits = fakes.ImmediatePermits(cfg.current())
        self.metrics = Metrics("batch")
        self.service = JobService(
            self.member,
            JobDependencies(
                self.table,
                MemoryObjects(platform),
                cfg,
                membership,
                self.permits,
                backends,
            ),
            SETTINGS,
            self.metrics,
            lot_items=100,
        )
        routes = JobRoutes(
            cfg,
            self.service.manager,
            self.service.results,
            self.service.cancelled,
            self.metrics,
            time.time,
        )
        self.app = WsgiApp(routes.routes())

    def call(
        self,
        method: str,
        path: str,
        query: str = "",
        body: bytes = b"",
        customer: str = "lakeshore",
        key: str = "",
    ) -> tuple[int, bytes]:
        """Send a request to the callers' interface."""
        status: list[str] = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "HTTP_AUTHORIZATION": f"Bearer {fakes.KEYS[customer]}",
            "HTTP_IDEMPOTENCY_KEY": key,
            "wsgi.input": io.BytesIO(body),
            "CONTENT_LENGTH": str(len(body)),
        }
        chunks = self.app(environ, lambda line, _headers: status.append(line))
        whole = b"".join(chunks)
        return int(status[0].split()[0]), whole

    def submit(self, body: bytes, service: str = "rackmind") -> str:
        """Submit a job, and return its id."""
        status, answer = self.call(
            "POST", "/v1/jobs", f"service={service}", body, key="night-1"
        )
        assert status in {200, 202}, answer
        return str(json.loads(answer)["job_id"])

    def show(self, job: str) -> dict[str, Any]:
        """Return the status of a job."""
        return dict(json.loads(self.call("GET", f"/v1/jobs/{job}")[1]))

    def results(self, job: str, query: str = "") -> list[dict[str, Any]]:
        """Return the results of a job."""
        answer = self.call("GET", f"/v1/jobs/{job}/results", query)[1]
        return [json.loads(line) for line in answer.splitlines()]


def manifest(count: int) -> bytes:
    """Return a manifest of distinct items."""
    lines = [json.dumps({"input": f"crate {n}"}) for n in range(count)]
    return "\n".join(lines).encode() + b"\n"


def wait(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, or fail after ``WAIT_S`` seconds."""
    deadline = time.monotonic() + WAIT_S
    pause = threading.Event()
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("condition not met in time")
        pause.wait(0.01)


class ServiceTestCase(unittest.TestCase):
    """Two instances over one platform."""

    def setUp(self) -> None:
        """Start both instances."""
        self.platform = FakePlatform()
        self.backends = fakes.FakeBackends()
        names = ("a", "b")
        members = [fakes.member(name) for name in names]
        self.membership = fakes.FakeMembership(*members)
        self.a, self.b = (
            Instance(name, self.platform, self.membership, self.backends)
            for name in names
        )
        for instance in (self.a, self.b):
            instance.service.start()
            self.addCleanup(instance.service.stop, 5.0)
        self.addCleanup(self.backends.gate.set)

    def ended(self, instance: Instance, job: str) -> bool:
        """Return whether a job has ended."""
        return instance.show(job)["ended"] is not None


class TestJob(ServiceTestCase):
    """A job is run completely, and any instance can show it."""

    def test_every_item_once(self) -> None:
        job = self.a.submit(manifest(1_000))
        self.assertEqual(job, self.b.submit(manifest(1_000)))
        wait(lambda: self.ended(self.b, job))
        self.assertEqual("done", self.b.show(job)["state"])
        self.assertEqual(1_000, self.b.show(job)["counts"]["done"])
        results = self.b.results(job)
        texts = [line["output"]["text"] for line in results]
        self.assertEqual([f"re: crate {n}" for n in range(1_000)], texts)
        self.assertEqual({1}, set(self.backends.runs.values()))
        part = self.a.results(job, "from=198&limit=4")
        self.assertEqual([198, 199, 200, 201], [x["item"] for x in part])

    def test_takeover_from_a_lost_holder(self) -> None:
        self.backends.gate.clear()
        self.backends.blocked = {f"crate {n}" for n in range(50)}
        job = self.a.submit(manifest(300))
        holders = {self.a.member.name: self.a, self.b.member.name: self.b}
        wait(
            lambda: bool(self.platform.rows.scan("jobs", "held/", "", 9).rows)
        )
        held = self.platform.rows.scan("jobs", "held/", "", 9).rows[0]
        lost = holders.pop(held.row["holder"])
        (other,) = holders.values()
        lost.table.disconnected = True
        self.membership.all.remove(lost.member)
        self.backends.blocked = set()
        wait(lambda: self.ended(other, job))
        counts = other.show(job)["counts"]
        self.assertEqual(300, counts["done"])
        items = [line["item"] for line in other.results(job)]
        self.assertEqual(list(range(300)), items)


class TestFailures(ServiceTestCase):
    """Cancellation, outages, failing items and non-idempotent items."""

    def test_cancel(self) -> None:
        self.backends.gate.clear()
        self.backends.blocked = {f"crate {n}" for n in range(500)}
        job = self.a.submit(manifest(500))
        wait(lambda: sum(self.backends.runs.values()) >= 32)
        status, _ = self.b.call("POST", f"/v1/jobs/{job}/cancel")
        self.assertEqual(200, status)
        wait(lambda: self.ended(self.a, job))
        shown = self.b.show(job)
        self.assertEqual("cancelled", shown["state"])
        self.assertEqual(500, sum(shown["counts"].values()))
        self.assertEqual(0, shown["counts"]["pending"])
        states = [line["state"] for line in self.a.results(job)]
        self.assertEqual(
            shown["counts"]["cancelled"], states.count("cancelled")
        )
        self.assertEqual(200, self.b.call("POST", f"/v1/jobs/{job}/cancel")[0])
        self.assertLess(sum(self.backends.runs.values()), 500)

    def test_outage(self) -> None:
        self.backends.gate.clear()
        self.backends.blocked = {"crate 0"}
        job = self.a.submit(manifest(200))
        wait(lambda: sum(self.backends.runs.values()) >= 32)
        self.platform.set_faults(Faults(outage=True))
        self.backends.gate.set()
        wait(lambda: sum(self.backends.runs.values()) >= 100)
        status, _ = self.a.call(
            "POST", "/v1/jobs", "service=rackmind", manifest(1), key="k2"
        )
        self.assertEqual(503, status)
        self.platform.set_faults(Faults())
        wait(lambda: self.ended(self.b, job))
        self.assertEqual(200, self.b.show(job)["counts"]["done"])

    def test_items_that_always_fail(self) -> None:
        self.backends.failures = {
            "crate 5": EngineFailed("status 500", Ran.MAYBE, status=500),
            "crate 7": EngineFailed("cut", Ran.MAYBE),
        }
        self.backends.failures["crate 3"] = EngineFailed(
            "poisoned", Ran.YES, status=422, permanent=True
        )
        job = self.a.submit(manifest(20))
        wait(lambda: self.ended(self.a, job))
        self.assertEqual(3, self.a.show(job)["counts"]["failed"])
        results = self.a.results(job)
        attempts = [results[n]["attempts"] for n in (3, 5, 7)]
        self.assertEqual([1, 3, 3], attempts)
        runs = [self.backends.runs[f"crate {n}"] for n in (3, 5, 7, 8)]
        self.assertEqual([1, 3, 4, 1], runs)

    def test_non_idempotent(self) -> None:
        self.backends.failures = {
            "crate 1": EngineFailed("cut", Ran.MAYBE),
            "crate 2": EngineFailed("refused", Ran.YES, status=500),
        }
        job = self.a.submit(manifest(250), "booking")
        wait(lambda: self.ended(self.a, job))
        counts = self.a.show(job)["counts"]
        self.assertEqual(
            (248, 1, 1),
            (counts["done"], counts["failed"], counts["indeterminate"]),
        )
        self.assertEqual({1}, set(self.backends.runs.values()))

    def test_lots_are_released_on_stop(self) -> None:
        self.backends.gate.clear()
        self.backends.blocked = {f"crate {n}" for n in range(60)}
        job = self.a.submit(manifest(300), "booking")
        wait(lambda: sum(self.backends.runs.values()) >= 20)
        self.backends.gate.set()
        self.assertTrue(self.a.service.stop(WAIT_S))
        self.membership.all.remove(self.a.member)
        wait(lambda: self.ended(self.b, job))
        self.assertEqual(300, self.b.show(job)["counts"]["done"])
        self.assertEqual({1}, set(self.backends.runs.values()))


class TestRequestErrors(ServiceTestCase):
    """Invalid requests get specific errors."""

    def test_refusals(self) -> None:
        good = manifest(2)
        table = (
            ("service=nosuch", good, "k", 404, "unknown_service"),
            ("service=rackmind", good, "", 400, "bad_header"),
            ("service=rackmind&due=soon", good, "k", 400, "bad_due"),
            ("service=rackmind", b"", "k", 400, "empty_manifest"),
            ("service=rackmind", good + b"{", "k", 400, "bad_item"),
            ("service=rackmind", good + b'{"x":1}', "k", 400, "bad_item"),
            ("service=rackmind", b'{"input":7}', "k", 400, "bad_item"),
            (
                "service=rackmind",
                b'{"input":"a","max_tokens":65}',
                "k",
                400,
                "bad_item",
            ),
        )
        for query, body, key, status, code in table:
            with self.subTest(query=query, body=body, key=key):
                got, answer = self.a.call(
                    "POST", "/v1/jobs", query, body, key=key
                )
                doc = json.loads(answer)
                self.assertEqual((status, code), (got, doc["code"]))
                self.assertEqual(Ran.NO.value, doc["ran"])

    def test_key_taken_and_foreign_job(self) -> None:
        job = self.a.submit(manifest(2))
        got, answer = self.a.call(
            "POST", "/v1/jobs", "service=rackmind", manifest(3), key="night-1"
        )
        self.assertEqual((409, "key_taken"), (got, json.loads(answer)["code"]))
        for method, path in (
            ("GET", f"/v1/jobs/{job}"),
            ("GET", f"/v1/jobs/{job}/results"),
            ("POST", f"/v1/jobs/{job}/cancel"),
        ):
            with self.subTest(path=path):
                status, _ = self.a.call(method, path, customer="padukalaya")
                self.assertEqual(404, status)
        _, answer = self.a.call("GET", "/v1/jobs")
        self.assertEqual({"jobs": [job]}, json.loads(answer))

    def test_store_down(self) -> None:
        self.a.table.disconnected = True
        status, answer = self.a.call(
            "POST", "/v1/jobs", "service=rackmind", manifest(2), key="k"
        )
        doc = json.loads(answer)
        self.assertEqual((503, "no"), (status, doc["ran"]))
        self.assertIn("retry_after_s", doc)
