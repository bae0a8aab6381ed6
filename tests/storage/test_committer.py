"""Tests of the committer's thread and of the platform's rate limits."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
import random
import threading
from typing import TYPE_CHECKING
import unittest

from expression import Error, Ok

from mulberrypass.model.store import (
    Absent,
    Committed,
    Conflict,
    Put,
    Throttled,
)
from mulberrypass.policy.storage.budget import FleetBudget
from mulberrypass.storage.committer import Committer
from mulberrypass.storage.metered import (
    MeteredObjects,
    MeteredTable,
    PlatformBudget,
)
from mulberrypass.storage.retrying_table import RetryingTable
from mulberrypass.testing.platform_faults import CallFault, Faults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.platform.contract import FakeClock, maybe_applied

if TYPE_CHECKING:
    from expression import Result

    from mulberrypass.model.store import Op, TableError


class GatedTable(MemoryTable):
    """A table whose transactions block until its gate is open."""

    def __init__(self, platform: FakePlatform) -> None:
        super().__init__(platform)
        self.gate = threading.Event()
        self.arrived = threading.Event()

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none, once the gate is open."""
        self.arrived.set()
        self.gate.wait()
        return super().transact(ops)


def _put(key: str, value: int = 0) -> Put:
    return Put("t", key, {"value": value}, Absent())


class CommitterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.gated = GatedTable(self.platform)
        retrying = RetryingTable(
            self.gated, "w", random.Random(1), sleep=lambda _s: None
        )
        self.committer = Committer(
            retrying, rng=random.Random(2), send_timeout_s=60.0
        )
        self.committer.start()
        self.addCleanup(self.committer.stop)
        self.addCleanup(self.gated.gate.set)

    def submit_during_flight(
        self, *transactions: tuple[Op, ...]
    ) -> list[Future[Result[Committed, TableError]]]:
        """Submit transactions while another one is in flight."""
        first = self.committer.submit((_put("first"),))
        self.gated.arrived.wait()
        futures = [self.committer.submit(ops) for ops in transactions]
        self.gated.gate.set()
        self.assertTrue(first.result().is_ok())
        return futures

    def test_submissions_during_a_flight_share_one_write(self) -> None:
        futures = self.submit_during_flight(
            *((_put(f"k{n}"),) for n in range(99))
        )
        for fut in futures:
            self.assertTrue(fut.result().is_ok())
        self.assertEqual(2, self.platform.counters().writes)
        state = self.committer.state()
        self.assertEqual((100, 99), (state.committed, state.largest_flight))

    def test_only_the_conflicting_transaction_fails(self) -> None:
        self.platform.transact((_put("b"),))
        futures = self.submit_during_flight(
            (_put("a"),), (_put("x"), _put("b", 1)), (_put("c"),)
        )
        results = [fut.result() for fut in futures]
        stored = self.platform.read("t", "b").ok
        self.assertEqual(Error(Conflict(1, stored)), results[1])
        self.assertTrue(results[0].is_ok() and results[2].is_ok())
        self.assertEqual(Ok(None), self.platform.read("t", "x"))

    def test_lost_replies_are_resolved_for_all(self) -> None:
        self.platform.script_writes(
            [CallFault.PASS, CallFault.LOSE_REPLY, CallFault.LOSE_REQUEST]
        )
        futures = self.submit_during_flight((_put("a"),), (_put("b"),))
        for fut in futures:
            self.assertTrue(fut.result().is_ok())
        self.assertEqual(3, len(self.platform.all_rows("t")))

    def test_outage_ends_in_a_timeout_or_a_late_write(self) -> None:
        self.gated.gate.set()
        self.platform.set_faults(Faults(outage=True))
        pending = self.committer.submit((_put("a"),))
        expired = self.committer.submit((_put("b"),), send_timeout_s=0.0)
        self.assertFalse(maybe_applied(expired.result().error))
        self.platform.set_faults(Faults())
        self.assertTrue(pending.result().is_ok())
        self.assertEqual(Ok(None), self.platform.read("t", "b"))

    def test_stop_writes_waiting_entries_and_rejects_new_ones(self) -> None:
        fut = self.committer.submit((_put("a"),))
        self.gated.gate.set()
        self.committer.stop(60.0)
        self.assertTrue(fut.result().is_ok())
        late = self.committer.submit((_put("b"),)).result()
        self.assertFalse(maybe_applied(late.error))

    def test_a_cancelled_future_does_not_affect_others(self) -> None:
        futures = self.submit_during_flight((_put("a"),), (_put("b"),))
        futures[0].cancel()
        self.assertTrue(futures[1].result().is_ok())
        self.assertTrue(self.committer.transact((_put("c"),)).is_ok())

    def test_many_threads_race_for_the_same_rows(self) -> None:
        self.gated.gate.set()
        self.platform.set_faults(Faults(lose_replies=0.1, lose_requests=0.1))

        def claim(number: int) -> int:
            result = self.committer.transact((_put(f"k{number % 50}"),))
            if result.is_ok():
                return 1
            self.assertIsInstance(result.error, Conflict)
            return 0

        with ThreadPoolExecutor(16) as pool:
            won = sum(pool.map(claim, range(400)))
        self.assertEqual(50, won)
        self.assertEqual(50, len(self.platform.all_rows("t")))


class PlatformBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.platform = FakePlatform(self.clock, self.clock.sleep)
        self.budget = PlatformBudget(
            "control",
            FleetBudget(100.0, 200.0),
            self.clock,
            self.clock.sleep,
            max_wait_s=1.0,
        )

    def test_calls_are_paced_to_the_rate(self) -> None:
        table = MeteredTable(MemoryTable(self.platform), self.budget)
        objects = MeteredObjects(MemoryObjects(self.platform), self.budget)
        began = self.clock.now
        for number in range(50):
            self.assertTrue(table.transact((_put(f"k{number}"),)).is_ok())
            self.assertTrue(objects.put(f"k{number}", b"").is_ok())
        self.assertAlmostEqual(9.0, self.clock.now - began)
        for _ in range(100):
            table.read("t", "k0")
            table.scan("t", "")
            objects.get("k0")
        self.assertAlmostEqual(9.0 + 14.0, self.clock.now - began, places=6)
        state = self.budget.state()
        self.assertEqual((100, 300), (state.writes, state.reads))

    def test_share_shrinks_with_more_processes(self) -> None:
        for live, writes_per_s in ((1, 10.0), (5, 2.0), (10, 1.0)):
            with self.subTest(live=live):
                self.budget.set_live(live)
                state = self.budget.state()
                self.assertAlmostEqual(writes_per_s, state.writes_per_s)
                self.assertAlmostEqual(writes_per_s * 2, state.reads_per_s)

    def test_a_long_wait_is_refused(self) -> None:
        self.budget.set_live(20)
        self.assertIsNone(self.budget.take_write())
        refused = self.budget.take_write()
        assert refused is not None
        self.assertAlmostEqual(2.0, refused.retry_after_s)
        self.assertIsInstance(refused, Throttled)
        self.assertEqual(1, self.budget.state().refused)


if __name__ == "__main__":
    unittest.main()
