"""Cost of a job's items, by the size of the job.

Run as ``python -m mulberrypass.bench.slopes.jobs``. The job service runs in
this process on the in-memory platform stand-in, and all permits are granted
immediately. The engine stand-ins run in a separate process. The cost of
permits is measured by ``mulberrypass.bench.slopes.permits``.
"""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import asdict
import io
import json
from pathlib import Path
import resource
import socket
import sys
import threading
import time
from typing import TYPE_CHECKING, Any

import fire

from mulberrypass.bench.processes.launcher import Launcher
from mulberrypass.caller.auth import key_digest
from mulberrypass.caller.jobs import JobRoutes
from mulberrypass.engine.clients import BackendClients
from mulberrypass.jobs.service import JobDependencies, JobService
from mulberrypass.model.member import Member
from mulberrypass.model.objects import (
    Backend,
    BackendKind,
    Configuration,
    Customer,
    KeyDigest,
    Pool,
    Route,
    Service,
    ServiceKind,
)
from mulberrypass.model.source import ConfigurationSource
from mulberrypass.model.value_class import value_class
from mulberrypass.peer.api import Membership, PermitClient
from mulberrypass.policy.jobs.commands import HolderSettings
from mulberrypass.policy.messages import Grant
from mulberrypass.runtime.http import WsgiApp
from mulberrypass.runtime.logs import configure
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mulberrypass.policy.messages import (
        Ask,
        PermitMessage,
        Refuse,
    )

DEFAULT_OUT = "bench/results/slope-jobs.json"
DEFAULT_SIZES = (4_000, 8_000, 16_000)
ENGINES = ("127.0.42.1:8000", "127.0.42.2:8000")
KEY = "bench-key"
JOB_TIMEOUT_S = 600.0
START_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
WORDS_PER_ITEM = 24


@value_class
class JobCost:
    """Measured cost of one job.

    :param submit_cpu_ms: processor time of the submission for each item
    :param cpu_ms: processor time of this process for each item afterwards
    :param writes: platform writes for 1,000 items, submission included
    :param reads: platform reads for 1,000 items
    :param result_bytes: stored bytes for each item's outcome
    """

    items: int
    seconds: float
    submit_s: float
    submit_cpu_ms: float
    cpu_ms: float
    writes: float
    reads: float
    result_bytes: float
    peak_rss_mb: float


class _StaticConfiguration(ConfigurationSource):
    def __init__(self, digest: str) -> None:
        backends = {
            f"engine-{n}": Backend(
                f"engine-{n}", BackendKind.ENGINE, "z", address, 64
            )
            for n, address in enumerate(ENGINES)
        }
        service = Service(
            "manifest",
            ServiceKind.MODEL,
            "engines",
            model="rackmind",
            routes=(Route("r1"),),
        )
        self._configuration = Configuration(
            generation=1,
            services={"manifest": service},
            pools={"engines": Pool("engines", tuple(backends))},
            backends=backends,
            customers={"firm": Customer("firm", (KeyDigest(digest),))},
        )

    def current(self) -> Configuration:
        return self._configuration

    def subscribe(self, changed: Callable[[Configuration], None]) -> None:
        pass


class _SingleMember(Membership):
    def __init__(self, me: Member) -> None:
        self._me = me

    def members(self, program: str) -> tuple[Member, ...]:
        return (self._me,)

    def live(self, program: str) -> tuple[Member, ...]:
        return (self._me,)

    def leaving_backends(self) -> frozenset[str]:
        return frozenset()

    def report_leaving_backend(self, backend: str) -> None:
        pass

    def subscribe(self, changed: Callable[[], None]) -> None:
        pass


class _GrantAll(PermitClient):
    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._asked = 0

    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        with self._lock:
            self._asked += 1
            engine = self._asked % len(ENGINES)
        fut: Future[Grant | Refuse] = Future()
        fut.set_result(Grant(ask.ask_id, f"engine-{engine}"))
        return fut

    def tell(self, message: PermitMessage) -> None:
        pass


class _JobBench:
    def __init__(self, window: int, flush_outcomes: int) -> None:
        self.platform = FakePlatform()
        self.backends = BackendClients()
        me = Member("batch@bench", "batch", "z", "127.0.42.10", 1)
        cfg = _StaticConfiguration(key_digest(KEY))
        metrics = Metrics("batch")
        self.jobs = JobService(
            me,
            JobDependencies(
                MemoryTable(self.platform),
                MemoryObjects(self.platform),
                cfg,
                _SingleMember(me),
                _GrantAll(),
                self.backends,
            ),
            HolderSettings(window=window, flush_outcomes=flush_outcomes),
            metrics,
        )
        routes = JobRoutes(
            cfg,
            self.jobs.manager,
            self.jobs.results,
            self.jobs.cancelled,
            metrics,
            time.time,
        )
        self.app = WsgiApp(routes.routes())
        self.jobs.start()

    def call(self, method: str, path: str, body: bytes = b"") -> Any:
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": "service=manifest",
            "HTTP_AUTHORIZATION": f"Bearer {KEY}",
            "HTTP_IDEMPOTENCY_KEY": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            "CONTENT_LENGTH": str(len(body)),
        }
        return json.loads(b"".join(self.app(environ, lambda *_args: None)))

    def measure(self, items: int, tokens: int) -> JobCost:
        body = _manifest(items, tokens)
        before = self.platform.counters()
        started, cpu_started = time.monotonic(), time.process_time()
        job = self.call("POST", "/v1/jobs", body)["job_id"]
        submitted, cpu_submitted = time.monotonic(), time.process_time()
        self._wait_for(job)
        seconds = time.monotonic() - started
        cpu_s = time.process_time() - cpu_submitted
        after = self.platform.counters()
        thousand_items = items / 1_000
        return JobCost(
            items=items,
            seconds=round(seconds, 2),
            submit_s=round(submitted - started, 3),
            submit_cpu_ms=round(
                (cpu_submitted - cpu_started) / items * 1_000, 4
            ),
            cpu_ms=round(cpu_s / items * 1_000, 3),
            writes=round((after.writes - before.writes) / thousand_items, 3),
            reads=round((after.reads - before.reads) / thousand_items, 3),
            result_bytes=round(self._result_bytes(job) / items, 1),
            peak_rss_mb=round(_peak_rss_mb(), 1),
        )

    def _wait_for(self, job: str) -> None:
        pause = threading.Event()
        deadline = time.monotonic() + JOB_TIMEOUT_S
        while time.monotonic() < deadline:
            row = self.platform.rows.read("jobs", f"job/{job}")
            if row is not None and row.row["ended"] is not None:
                return
            pause.wait(POLL_INTERVAL_S)
        raise TimeoutError(f"job {job} did not end")

    def _result_bytes(self, job: str) -> int:
        keys = {
            chunk["key"]
            for row in self.platform.all_rows("jobs")
            if row.key.startswith(f"lot/{job}/")
            for chunk in row.row["chunks"]
        }
        return sum(len(self.platform.get_object(key).ok) for key in keys)

    def close(self) -> None:
        self.jobs.stop(JOB_TIMEOUT_S)
        self.backends.close()


def _manifest(items: int, tokens: int) -> bytes:
    words = " ".join(f"w{n}" for n in range(WORDS_PER_ITEM))
    lines = (
        json.dumps({"input": f"crate {n} {words}", "max_tokens": tokens})
        for n in range(items)
    )
    return "\n".join(lines).encode()


def _peak_rss_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024


def _wait_for_engines() -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    for address in ENGINES:
        host, port = address.rsplit(":", 1)
        while True:
            try:
                socket.create_connection((host, int(port)), 1.0).close()
                break
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(POLL_INTERVAL_S)


def measure(
    sizes: Sequence[int] = DEFAULT_SIZES,
    window: int = 192,
    flush_outcomes: int = 2_000,
    tokens: int = 32,
    out: str = DEFAULT_OUT,
) -> None:
    """Measure jobs of several sizes and write the results as JSON."""
    configure("mulberry-bench", "bench", "json", "error")
    launcher = Launcher({})
    launcher.start(
        "engines",
        "mulberry-fake-engine",
        *("--addresses", ",".join(ENGINES)),
        *("--time-scale", "0.05"),
    )
    try:
        _wait_for_engines()
        bench = _JobBench(window, flush_outcomes)
        figures = [bench.measure(size, tokens) for size in sizes]
        bench.close()
    finally:
        launcher.stop_all()
    doc = {
        "command": "python -m mulberrypass.bench.slopes.jobs",
        "window": window,
        "flush_outcomes": flush_outcomes,
        "tokens": tokens,
        "sizes": [asdict(figure) for figure in figures],
    }
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(doc, indent=1) + "\n")
    sys.stdout.write(json.dumps(doc, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(measure)


__all__ = ["JobCost", "measure"]
