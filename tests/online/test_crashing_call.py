"""Tests of an online request that crashes each engine that runs it."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import unittest

from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.outcome import Ran
from mulberrypass.online.execution import (
    OnlineDependencies,
    RequestExecution,
    new_ask_numbers,
)
from mulberrypass.online.shared import SharedPolicy
from mulberrypass.runtime.metrics import Metrics
from tests.known_red import known_red
from tests.online.fakes import (
    FakeBackends,
    FixedConfiguration,
    ScriptedEngine,
    ScriptedPermits,
    make_call,
)

CLOSED = EngineFailed("no answer", Ran.MAYBE, closed=True)
# Of the users' pages: crashes before a request counts as known, and requests
# with it that may reach engines afterwards.
MAX_REACHED = 3 + 3


class CrashingCallTest(unittest.TestCase):
    @known_red(33)
    def test_call_that_crashes_engines_is_repeated_without_a_bound(
        self,
    ) -> None:
        """Only the retry budget of all requests bounds the repeats."""
        executor = ThreadPoolExecutor(8)
        self.addCleanup(executor.shutdown)
        backends = FakeBackends()
        engine = ScriptedEngine([[CLOSED] for _ in range(100)])
        backends.engines["e-1"] = engine
        deps = OnlineDependencies(
            member="entry@i-1",
            permits=ScriptedPermits(),
            backends=backends,  # type: ignore[arg-type]
            configuration=FixedConfiguration(),
            executor=executor,
            metrics=Metrics("test"),
            policy=SharedPolicy(),
            ask_numbers=new_ask_numbers(),
        )
        for _ in range(3):
            call = make_call()
            execution = RequestExecution(
                call, deps, lambda _backend: None, lambda: False
            )
            list(execution.events())
        self.assertLessEqual(len(engine.started), MAX_REACHED)


if __name__ == "__main__":
    unittest.main()
