"""Tests that lost replies are resolved, with scripted and random faults."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
import unittest

from expression import Error, Ok

from mulberrypass.model.store import (
    MAX_SCAN_ROWS,
    MAX_TRANSACTION_OPS,
    Absent,
    Always,
    Check,
    Committed,
    Conflict,
    Delete,
    Exists,
    Missing,
    Put,
    Row,
    Table,
    Unavailable,
    VersionIs,
)
from mulberrypass.storage.retrying_objects import RetryingObjects
from mulberrypass.storage.retrying_table import RECEIPT_TABLE, RetryingTable
from mulberrypass.testing.platform_faults import CallFault, Faults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.platform.contract import FakeClock, maybe_applied

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from mulberrypass.model.store import (
        Op,
        Page,
        ReadError,
        TableError,
    )

PASS = CallFault.PASS
LOSE_REPLY = CallFault.LOSE_REPLY
LOSE_REQUEST = CallFault.LOSE_REQUEST
REFUSE = CallFault.REFUSE


class InterleavedTable(Table):
    """A table whose calls may arrive late, with writes of others in between.

    :param before_call: called before each transaction
    """

    def __init__(self, platform: FakePlatform) -> None:
        self.inner = MemoryTable(platform)
        self.before_call: Callable[[], None] = lambda: None
        self.delay_next = 0
        self.delayed: list[tuple[Op, ...]] = []

    def transact(self, ops: tuple[Op, ...]) -> Result[Committed, TableError]:
        """Apply all operations or none, or delay the call."""
        self.before_call()
        if self.delay_next:
            self.delay_next -= 1
            self.delayed.append(ops)
            return Error(Unavailable("timeout", maybe_applied=True))
        return self.inner.transact(ops)

    def deliver_delayed(self) -> None:
        """Apply the oldest delayed call if its conditions still hold."""
        if self.delayed:
            self.inner.transact(self.delayed.pop(0))

    def read(self, table: str, key: str) -> Result[Row | None, ReadError]:
        """Read the latest committed row."""
        return self.inner.read(table, key)

    def scan(
        self,
        table: str,
        prefix: str,
        after: str = "",
        limit: int = MAX_SCAN_ROWS,
    ) -> Result[Page, ReadError]:
        """Read rows."""
        return self.inner.scan(table, prefix, after, limit)


class RetryingTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reset()

    def reset(self, seed: int = 0) -> None:
        self.clock = FakeClock()
        self.platform = FakePlatform(
            self.clock, self.clock.sleep, seed, keep_history=True
        )
        self.inner = InterleavedTable(self.platform)
        self.table = self.make_table("w")

    def make_table(self, writer: str) -> RetryingTable:
        return RetryingTable(
            self.inner,
            writer,
            random.Random(writer),
            self.clock.sleep,
            max_in_flight=1,
        )

    def put(self, key: str, value: int = 0) -> Put:
        return Put("t", key, {"value": value}, Absent())

    def test_scripted_faults(self) -> None:
        many = [LOSE_REQUEST] * 8
        for name, script, outcome, applied in (
            ("no fault", [], "ok", True),
            ("lost reply", [LOSE_REPLY], "ok", True),
            ("lost request", [LOSE_REQUEST], "ok", True),
            ("both", [LOSE_REQUEST, LOSE_REPLY], "ok", True),
            ("lost, then refused", [LOSE_REPLY, REFUSE], "ok", True),
            ("refused at once", [REFUSE], False, False),
            ("all requests lost", many, True, False),
            ("applied, all replies lost", [LOSE_REPLY, *many[1:]], True,
             True),
        ):  # fmt: skip
            with self.subTest(name):
                self.reset()
                self.platform.script_writes(script)
                result = self.table.transact((self.put("k"),))
                if outcome == "ok":
                    self.assertTrue(result.is_ok(), result)
                    stored = self.inner.read("t", "k").ok
                    assert stored is not None
                    self.assertEqual((stored.version,), result.ok.versions)
                else:
                    self.assertEqual(outcome, maybe_applied(result.error))
                history = self.platform.rows.history("t", "k")
                self.assertEqual(applied, len(history) == 1)

    def test_a_lost_write_is_recognized_after_an_overwrite(self) -> None:
        self.platform.script_writes([LOSE_REPLY])
        overwrite = Put("t", "k", {"by": "other"}, Always())
        self.inner.before_call = lambda: self.apply_after_first_write(
            overwrite
        )
        result = self.table.transact((self.put("k"),))
        self.assertEqual(Ok(Committed((0,))), result)

    def apply_after_first_write(self, op: Op) -> None:
        if self.platform.counters().writes:
            self.inner.inner.transact((op,))

    def test_a_conflict_is_final_for_a_delayed_attempt(
        self,
    ) -> None:
        other = Put("t", "k", {"by": "other"}, Always())
        self.inner.delay_next = 1
        self.inner.before_call = lambda: self.apply_when_delayed(other)
        result = self.table.transact((self.put("k"), self.put("l")))
        self.assertIsInstance(result.error, Conflict)
        remove = Delete("t", "k", Always())
        self.assertTrue(self.inner.inner.transact((remove,)).is_ok())
        self.inner.deliver_delayed()
        self.assertEqual(Ok(None), self.inner.read("t", "l"))

    def apply_when_delayed(self, op: Op) -> None:
        if self.inner.delayed:
            self.inner.inner.transact((op,))

    def test_an_attempt_that_arrives_before_the_fence_is_a_commit(
        self,
    ) -> None:
        block = Put("t", "k", {"by": "other"}, Always())
        unblock = Delete("t", "k", Always())
        steps = iter(
            (
                lambda: None,
                lambda: self.inner.inner.transact((block,)),
                lambda: self.inner.inner.transact((unblock,)),
            )
        )

        def step() -> None:
            next(steps)()
            if not self.inner.read("t", "k").ok:
                self.inner.deliver_delayed()

        self.inner.delay_next = 1
        self.inner.before_call = step
        result = self.table.transact((self.put("k"),))
        self.assertTrue(result.is_ok(), result)

    def test_a_lost_reply_to_the_fence_is_not_taken_for_a_commit(self) -> None:
        stored = self.inner.inner.transact((self.put("k"),)).is_ok()
        self.assertTrue(stored)
        self.platform.script_writes([LOSE_REQUEST, PASS, LOSE_REPLY, PASS])
        result = self.table.transact((self.put("l"), self.put("k", 1)))
        self.assertIsInstance(result.error, Conflict)
        self.assertEqual(1, result.error.index)  # type: ignore[union-attr]
        self.assertEqual(Ok(None), self.inner.read("t", "l"))

    def test_a_new_process_adopts_the_receipts(self) -> None:
        self.assertTrue(self.table.transact((self.put("a"),)).is_ok())
        again = self.make_table("w")
        self.assertTrue(again.transact((self.put("b"),)).is_ok())
        self.platform.script_writes([LOSE_REPLY])
        self.assertTrue(again.transact((self.put("c"),)).is_ok())
        again.remove_receipts()
        self.assertEqual((), self.platform.all_rows(RECEIPT_TABLE))

    def test_versions_after_a_lost_reply(self) -> None:
        first = self.table.transact((self.put("a"), self.put("b")))
        version = first.ok.versions[0]
        self.platform.script_writes([LOSE_REPLY])
        ops: tuple[Op, ...] = (
            Check("t", "a", VersionIs(version)),
            Delete("t", "b", Always()),
            self.put("c"),
        )
        result = self.table.transact(ops)
        row = self.inner.read("t", "c").ok
        assert row is not None
        self.assertEqual((version, 0, row.version), result.ok.versions)

    def test_a_full_transaction_is_sent_without_a_receipt(self) -> None:
        ops = tuple(self.put(f"{n}") for n in range(MAX_TRANSACTION_OPS))
        self.platform.script_writes([LOSE_REPLY])
        result = self.table.transact(ops)
        self.assertTrue(maybe_applied(result.error))
        self.assertEqual((), self.platform.all_rows(RECEIPT_TABLE))

    def test_random_faults_never_give_a_wrong_outcome(self) -> None:
        for seed in range(400):
            with self.subTest(seed=seed):
                self.run_random(seed)

    def run_random(self, seed: int) -> None:
        self.reset(seed)
        rng = random.Random(seed)
        self.platform.set_faults(Faults(lose_replies=0.3, lose_requests=0.2))
        self.inner.before_call = lambda: self.interfere(rng)
        outcomes = {}
        for number in range(1, 13):
            ops = tuple(
                Put("t", key, {"value": number}, self.condition(rng, key))
                for key in rng.sample("abc", rng.randint(1, 2))
            )
            outcomes[number] = ops, self.table.transact(ops)
        while self.inner.delayed:
            self.inner.deliver_delayed()
        for number, (ops, result) in outcomes.items():
            applied = {self.times_applied(op.key, number) for op in ops}
            self.assertEqual(1, len(applied), "applied in part")
            times_applied = applied.pop()
            if result.is_ok():
                self.assertEqual(1, times_applied, result)
            elif isinstance(result.error, Unavailable):
                most = int(result.error.maybe_applied)
                self.assertLessEqual(times_applied, most, result)
            else:
                self.assertEqual(0, times_applied, result)

    def times_applied(self, key: str, number: int) -> int:
        rows = self.platform.rows.history("t", key)
        return sum(
            row is not None and row.row["value"] == number for row in rows
        )

    def interfere(self, rng: random.Random) -> None:
        match rng.randrange(8):
            case 0:
                self.inner.delay_next = 1
            case 1:
                self.inner.deliver_delayed()
            case 2:
                key = rng.choice("abc")
                op = Put("t", key, {"value": -1}, Always())
                self.inner.inner.transact((op,))
            case 3:
                key = rng.choice("abc")
                self.inner.inner.transact((Delete("t", key, Always()),))

    def condition(
        self, rng: random.Random, key: str
    ) -> Absent | Always | VersionIs:
        row = self.inner.read("t", key).ok
        if rng.random() < 0.2:
            return Always()
        return VersionIs(row.version) if row else Absent()


class RetryingObjectsTest(unittest.TestCase):
    def test_scripted_faults(self) -> None:
        ambiguous = Unavailable("not settled", maybe_applied=True)
        for name, stored, script, result, content in (
            ("lost reply", None, [LOSE_REPLY], Ok(None), b"own"),
            ("lost request", None, [LOSE_REQUEST], Ok(None), b"own"),
            ("twice", None, [LOSE_REPLY] * 2, Ok(None), b"own"),
            ("stands", b"own", [], Error(Exists("k")), b"own"),
            ("another's", b"other", [LOSE_REQUEST], Error(Exists("k")),
             b"other"),
            ("never", None, [LOSE_REQUEST] * 8, Error(ambiguous), None),
            ("refused", None, [REFUSE], Error(Unavailable("refused", False)),
             None),
        ):  # fmt: skip
            with self.subTest(name):
                clock = FakeClock()
                platform = FakePlatform(clock, clock.sleep)
                plain = MemoryObjects(platform)
                if stored is not None:
                    plain.put("k", stored)
                platform.script_writes(script)
                objects = RetryingObjects(plain, random.Random(1), clock.sleep)
                self.assertEqual(result, objects.put("k", b"own"))
                found = plain.get("k")
                self.assertEqual(content, found.ok if found.is_ok() else None)

    def test_a_lost_delete_is_repeated(self) -> None:
        for script, result in (
            ([LOSE_REPLY], Ok(None)),
            ([LOSE_REQUEST], Ok(None)),
            ([], Ok(None)),
        ):
            with self.subTest(script=script):
                clock = FakeClock()
                platform = FakePlatform(clock, clock.sleep)
                plain = MemoryObjects(platform)
                plain.put("k", b"")
                platform.script_writes(script)
                objects = RetryingObjects(plain, random.Random(1), clock.sleep)
                self.assertEqual(result, objects.delete("k"))
                missing = Error(Missing("k"))
                self.assertEqual(missing, objects.delete("k"))


if __name__ == "__main__":
    unittest.main()
