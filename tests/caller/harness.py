"""A test harness for the online requests of one process."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
import io
from typing import TYPE_CHECKING

from mulberrypass.caller.auth import key_digest
from mulberrypass.caller.online import OnlineCalls, PortShares
from mulberrypass.model.objects import (
    Configuration,
    Customer,
    KeyDigest,
    RecordMode,
)
from mulberrypass.online.execution import OnlineDependencies, new_ask_numbers
from mulberrypass.online.recorded import RecordedRuns
from mulberrypass.online.records import Records
from mulberrypass.online.shared import SharedPolicy
from mulberrypass.policy.online.shares import ThreadShareSettings
from mulberrypass.runtime.http import Request
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_memory import MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.online.fakes import (
    BACKENDS,
    BOOKING,
    DOCK,
    FakeBackends,
    FixedConfiguration,
    ScriptedPermits,
)

if TYPE_CHECKING:
    from mulberrypass.runtime.http import Reply

FIRM_A = Customer("firm-a", (KeyDigest(key_digest("key-a")),))
FIRM_B = Customer("firm-b", (KeyDigest(key_digest("key-b")),))
EXPIRED = Customer("old", (KeyDigest(key_digest("key-old"), not_after=1.0),))
CFG = Configuration(
    generation=1,
    backends=BACKENDS,
    services={
        "dock": replace(DOCK, streams=True, max_output_tokens=8),
        "slip": replace(DOCK, name="slip", record=RecordMode.ACCEPTED),
        "booking": BOOKING,
        "private": replace(DOCK, name="private", customers=("firm-b",)),
    },
    customers={c.name: c for c in (FIRM_A, FIRM_B, EXPIRED)},
)
VALID_BODY = b'{"input": "where is box 1"}'


class OnlineHarness:
    """The handlers of online requests on fakes, called without a socket."""

    def __init__(self, threads: int = 10) -> None:
        self.permits = ScriptedPermits()
        self.backends = FakeBackends()
        self.executor = ThreadPoolExecutor(8)
        configuration = FixedConfiguration(CFG)
        deps = OnlineDependencies(
            member="entry@1",
            permits=self.permits,
            backends=self.backends,  # type: ignore[arg-type]
            configuration=configuration,
            executor=self.executor,
            metrics=Metrics("test"),
            policy=SharedPolicy(),
            ask_numbers=new_ask_numbers(),
        )
        self.platform = FakePlatform(sleep=lambda _s: None)
        records = Records(MemoryTable(self.platform), "entry@1", 1)
        self.runners = ThreadPoolExecutor(4)
        runs = RecordedRuns(deps, records, self.runners, 4)
        self.calls = OnlineCalls(configuration, deps, records, runs)
        self.shares = PortShares(ThreadShareSettings(threads))
        self.post_handler = self.calls.handler(self.shares)

    def post(
        self,
        body: bytes = VALID_BODY,
        service: str = "dock",
        key: str = "key-a",
        length: int | None = None,
        **headers: str,
    ) -> Reply:
        names = {k.replace("_", "-"): v for k, v in headers.items()}
        req = Request(
            method="POST",
            path="/",
            params={"service": service},
            query={},
            headers={"authorization": f"Bearer {key}", **names},
            body=io.BytesIO(body),
            body_bytes=len(body) if length is None else length,
            disconnected=lambda: False,
        )
        return self.post_handler(req)

    def get(self, request_id: str, key: str) -> Reply:
        req = Request(
            method="GET",
            path="/",
            params={"request_id": request_id},
            query={},
            headers={"authorization": f"Bearer {key}"},
            body=io.BytesIO(),
            body_bytes=0,
            disconnected=lambda: False,
        )
        return self.calls.get(req)
