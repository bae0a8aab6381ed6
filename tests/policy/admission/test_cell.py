"""Tests of admission control in a cell."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
import unittest

from mulberrypass.model.objects import Customer, Quota
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.messages import (
    FirstToken,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
    WorkClass,
)
from tests.policy.admission.cases import (
    ask,
    batch,
    engine,
    granted,
    kinds,
    make_cell,
)

SETTINGS = CellSettings(settle_s=0.0)
DONE = ReleaseOutcome.DONE


class RefusalTest(unittest.TestCase):
    def test_reason(self) -> None:
        quota = Quota("small", 1.0, 1, 8, 8)
        fields: dict[str, Any] = {
            "customers": {"north": Customer("north", (), quota="small")},
            "quotas": {"small": quota},
        }
        cases = {
            "no budget": ([ask("a", budget_s=0.0)], RefusalReason.DEADLINE),
            "all to avoid": (
                [ask("a", avoid=("core-0",))],
                RefusalReason.NO_BACKEND,
            ),
            "version is nowhere": (
                [ask("a", version="r9")],
                RefusalReason.NO_BACKEND,
            ),
            "rate": ([ask("a"), ask("b")], RefusalReason.CUSTOMER_LIMIT),
        }
        for name, (asks, reason) in cases.items():
            with self.subTest(name):
                loaded = {"core-0": frozenset({"r1"})}
                cell = make_cell([engine("core-0")], loaded=loaded, **fields)
                got = [d for a in asks for d in cell.handle(a, 0.0)]
                last = got[-1].message
                assert isinstance(last, Refuse)
                self.assertIs(reason, last.reason)

    def test_deadline_by_estimate_of_wait(self) -> None:
        cell = make_cell([engine("core-0", 1)])
        for index in range(5):
            cell.handle(ask(f"seen-{index}"), 0.0)
            cell.handle(Release(f"seen-{index}", DONE, 1.0, 32), 0.0)
        cell.handle(ask("runs"), 0.0)
        cell.handle(ask("waits"), 0.0)
        cell.handle(ask("waits-2"), 0.0)
        cases = {"late": (2.0, "Refuse"), "in time": (20.0, None)}
        for name, (budget_s, kind) in cases.items():
            with self.subTest(name):
                got = cell.handle(ask(name, budget_s=budget_s), 0.0)
                self.assertEqual(
                    [kind] if kind else [], [k for k, _ in kinds(got)]
                )

    def test_late_asks_are_dropped_at_a_tick(self) -> None:
        cell = make_cell([engine("core-0", 1)])
        cell.handle(ask("runs"), 0.0)
        cell.handle(ask("waits", budget_s=1.0), 0.0)
        self.assertEqual([], cell.tick(0.9))
        self.assertEqual([("Refuse", "waits")], kinds(cell.tick(1.0)))

    def test_full_queue_drops_from_largest_customer(self) -> None:
        settings = replace(SETTINGS, max_queued_online=3)
        cell = make_cell([engine("core-0", 1)], settings)
        cell.handle(ask("runs"), 0.0)
        for index in range(3):
            cell.handle(ask(f"n-{index}", budget_s=9.0 - index), 0.0)
        got = cell.handle(ask("n-3"), 0.0)
        self.assertEqual([("Refuse", "n-3")], kinds(got))
        got = cell.handle(ask("e-0", customer="east"), 0.0)
        self.assertEqual([("Refuse", "n-0")], kinds(got))
        self.assertIn("e-0", cell.queued(WorkClass.ONLINE))


class BatchTest(unittest.TestCase):
    def test_batch_leaves_a_reserve_free(self) -> None:
        for slots, expected in ((1, 1), (4, 3), (8, 6), (64, 52)):
            with self.subTest(slots=slots):
                cell = make_cell([engine("core-0", slots)])
                for index in range(slots + 1):
                    cell.handle(batch(f"b-{index}", prompt_tokens=0), 0.0)
                self.assertEqual(expected, cell.engines["core-0"].running)

    def test_fixed_batch_is_bounded(self) -> None:
        cell = make_cell([engine("core-0", 8)])
        for index in range(8):
            fixed = batch(f"b-{index}", prompt_tokens=0, revocable=False)
            cell.handle(fixed, 0.0)
        self.assertEqual(2, cell.engines["core-0"].running)

    def test_one_batch_prefill_is_pending(self) -> None:
        settings = replace(SETTINGS, quiet_s=99.0)
        cell = make_cell([engine("core-0", 16)], settings)
        self.assertTrue(granted(cell.handle(batch("a", prompt_tokens=900), 0)))
        self.assertFalse(granted(cell.handle(batch("b", prompt_tokens=9), 5)))
        self.assertTrue(granted(cell.handle(FirstToken("a", 0.1), 6.0)))

    def test_batch_avoids_pending_online_prefill(self) -> None:
        cell = make_cell([engine("core-0", 8), engine("core-1", 8)])
        cell.handle(ask("online"), 0.0)
        got = granted(cell.handle(batch("a"), 0.0))
        self.assertEqual([("a", "core-1")], got)
        cell.handle(FirstToken("a", 0.1), 0.1)
        cell.handle(ask("online-2", avoid=("core-0",)), 0.1)
        self.assertEqual([], cell.handle(batch("b"), 9.0))
        got = granted(cell.handle(FirstToken("online", 9.0), 9.1))
        self.assertEqual([("b", "core-0")], got)

    def test_batch_prefill_leaves_engines_to_online(self) -> None:
        cell = make_cell([engine(f"core-{index}", 8) for index in range(5)])
        for index in range(5):
            cell.handle(batch(f"b-{index}"), 0.0)
        pending = [e.batch_prefill_tokens > 0 for e in cell.engines.values()]
        self.assertEqual(3, sum(pending))

    def test_small_items_share_an_engine_up_to_its_pending_prefill(
        self,
    ) -> None:
        limit = SETTINGS.batch_prefill_tokens
        for prompt, each in (
            (limit, 1),
            (limit // 4, 4),
            (limit // 8, 8),
        ):
            with self.subTest(prompt=prompt):
                settings = replace(SETTINGS, quiet_s=99.0)
                engines = [engine(f"core-{n}", 64) for n in range(5)]
                cell = make_cell(engines, settings)
                for index in range(60):
                    now = 0.1 * index
                    cell.handle(batch(f"b-{index}", prompt_tokens=prompt), now)
                    cell.tick(now)
                running = sorted(e.running for e in cell.engines.values())
                self.assertEqual([0, 0, each, each, each], running)

    def test_batch_limits_are_relaxed_without_online_work(self) -> None:
        cell = make_cell([engine(f"core-{index}", 8) for index in range(5)])
        for index in range(5):
            cell.handle(batch(f"b-{index}", prompt_tokens=200), 0.0)
        quiet_s = cell.settings.quiet_s
        self.assertEqual([], granted(cell.tick(quiet_s - 0.1)))
        self.assertEqual(2, len(granted(cell.tick(quiet_s))))
        cell.handle(ask("online"), quiet_s + 0.1)
        late = batch("b-5", prompt_tokens=200)
        self.assertEqual([], cell.handle(late, quiet_s + 0.1))

    def test_batch_waits_after_a_prefill(self) -> None:
        cell = make_cell([engine("core-0", 16)])
        tokens = int(cell.batch_pacer.tokens_per_s)
        cell.handle(batch("a", prompt_tokens=tokens), 0.0)
        cell.handle(FirstToken("a", 0.1), 0.1)
        cell.handle(batch("b"), 0.2)
        self.assertEqual([], granted(cell.tick(0.9)))
        self.assertEqual([("b", "core-0")], granted(cell.tick(1.1)))

    def test_new_cell_grants_batch_after_it_has_settled(self) -> None:
        cell = make_cell([engine("core-0")], CellSettings(settle_s=0.5))
        self.assertEqual([], cell.handle(batch("a"), 0.0))
        self.assertTrue(granted(cell.handle(ask("now"), 0.1)))
        cell.handle(FirstToken("now", 0.1), 0.2)
        self.assertEqual([("a", "core-0")], granted(cell.tick(0.5)))


class RevokeTest(unittest.TestCase):
    def test_youngest_are_revoked_one_per_waiting_ask(self) -> None:
        cell = make_cell(
            [engine("core-0", 4)], replace(SETTINGS, quiet_s=99.0)
        )
        for index in range(3):
            cell.handle(batch(f"b-{index}", prompt_tokens=0), float(index))
        self.assertTrue(granted(cell.handle(ask("reserve"), 3.0)))
        got = cell.handle(ask("first"), 3.0)
        self.assertEqual([("Revoke", "b-2")], kinds(got))
        got = cell.handle(ask("second"), 3.0)
        self.assertEqual([("Revoke", "b-1")], kinds(got))
        cancelled = ReleaseOutcome.CANCELLED
        got = cell.handle(Release("b-2", cancelled), 3.1)
        self.assertEqual([("Grant", "first")], kinds(got))
        self.assertEqual([("Grant", "second")], kinds(cell.tick(5.1)))

    def test_burst_after_a_quiet_period(self) -> None:
        """Prefills are revoked at once, slots as the reserve is used up."""
        cell = make_cell([engine("core-0", 16)])
        for index in range(11):
            cell.handle(batch(f"b-{index}", prompt_tokens=0), 0.0)
        cell.handle(batch("prefill"), 2.5)
        revoked: list[str] = []
        for index in range(5):
            got = cell.handle(ask(f"a-{index}"), 3.0 + index / 10)
            revoked += [n for kind, n in kinds(got) if kind == "Revoke"]
        self.assertEqual(["prefill", "b-10", "b-9"], revoked)

    def test_no_burst_while_online_work_goes_on(self) -> None:
        cell = make_cell([engine("core-0", 16)])
        cell.handle(ask("steady"), 0.0)
        cell.handle(FirstToken("steady", 0.1), 0.1)
        for index in range(14):
            cell.handle(batch(f"b-{index}", prompt_tokens=0), 0.2)
        for index in range(3):
            got = cell.handle(ask(f"a-{index}"), 3.0)
            self.assertEqual([f"a-{index}"], [n for n, _ in granted(got)])
            self.assertEqual(1, len(got))

    def test_fixed_batch_is_never_revoked(self) -> None:
        cell = make_cell([engine("core-0", 1)])
        cell.handle(batch("b", prompt_tokens=0, revocable=False), 0.0)
        self.assertEqual([], cell.handle(ask("waits"), 0.0))


class PermitTest(unittest.TestCase):
    def test_duplicate_ask_gets_the_same_answer(self) -> None:
        cell = make_cell([engine("core-0", 1)])
        first = cell.handle(ask("a"), 0.0)
        self.assertEqual(first, cell.handle(ask("a"), 0.1))
        cell.handle(ask("b"), 0.1)
        self.assertEqual([], cell.handle(ask("b"), 0.2))
        self.assertEqual(1, len(cell.queued(WorkClass.ONLINE)))

    def test_reclaim(self) -> None:
        cases = {"never released": (11.9, 12.0), "holder lost": (2.9, 3.0)}
        for name, (kept, over) in cases.items():
            with self.subTest(name):
                cell = make_cell([engine("core-0", 1)])
                cell.handle(ask("a", budget_s=10.0), 0.0)
                if name == "holder lost":
                    cell.holder_lost("entry@a", 1.0)
                cell.tick(kept)
                self.assertEqual(1, len(cell.permits))
                cell.tick(over)
                self.assertEqual(0, len(cell.permits))

    def test_permits_due_at_once_are_all_reclaimed(self) -> None:
        cell = make_cell([engine("core-0", 4)])
        for index in range(3):
            cell.handle(ask(f"a-{index}", budget_s=10.0), 0.0)
        cell.tick(12.0)
        self.assertEqual(0, len(cell.permits))

    def test_returned_holder_keeps_reported_permits(self) -> None:
        cell = make_cell([engine("core-0", 2)])
        cell.handle(ask("a"), 0.0)
        cell.handle(ask("b"), 0.0)
        cell.holder_lost("entry@a", 1.0)
        cell.handle(ask("a", granted="core-0"), 1.5)
        cell.tick(4.0)
        self.assertEqual(["a"], [p.ask.ask_id for p in cell.permits])

    def test_new_owner_counts_permits_in_use(self) -> None:
        cell = make_cell([engine("core-0", 1)])
        decisions = cell.handle(ask("a", granted="core-0"), 0.0)
        self.assertEqual([], decisions)
        self.assertEqual([], cell.handle(ask("b"), 0.0))
        got = cell.handle(Release("a", DONE, 0.1, 4), 0.1)
        self.assertEqual([("b", "core-0")], granted(got))

    def test_limits_hold_in_each_cell(self) -> None:
        quota = Quota("q", 0.0, 0, online_running=6, batch_running=6)
        customers = {"north": Customer("north", (), quota="q")}
        for cells, expected in ((1, 6), (2, 3), (4, 1)):
            with self.subTest(cells=cells):
                cell = make_cell(
                    [engine("core-0", 16)],
                    customers=customers,
                    quotas={"q": quota},
                    cells=cells,
                )
                for index in range(8):
                    cell.handle(ask(f"a-{index}"), 0.0)
                self.assertEqual(expected, len(cell.permits))


class FairnessTest(unittest.TestCase):
    def test_flood_does_not_delay_others(self) -> None:
        """One of three customers sends 20 times as many asks."""
        cell = make_cell([engine("core-0", 2)])
        for index in range(60):
            cell.handle(ask(f"n-{index}"), 0.0)
        order: list[str] = []
        for index in range(3):
            cell.handle(ask(f"e-{index}", customer="east"), 0.0)
            cell.handle(ask(f"w-{index}", customer="west"), 0.0)
        running = [p.ask.ask_id for p in cell.permits]
        while running:
            got = cell.handle(Release(running.pop(0), DONE, 0.1, 32), 1.0)
            served = [name for name, _ in granted(got)]
            order.extend(served)
            running.extend(served)
        last = max(order.index(f"{name}-2") for name in "ew")
        self.assertLess(last, 11)

    def test_work_over_its_share_leaves_the_reserve_free(self) -> None:
        for others, expected in ((0, 16), (1, 12)):
            with self.subTest(others=others):
                cell = make_cell([engine("core-0", 16)])
                for index in range(others):
                    cell.handle(ask(f"e-{index}", customer="east"), 0.0)
                for index in range(20):
                    flood = ask(f"n-{index}", prompt_tokens=0)
                    cell.handle(flood, 0.0)
                self.assertEqual(expected, len(cell.permits))
        for index in range(4):
            got = cell.handle(ask(f"next-{index}", customer="east"), 0.0)
            self.assertEqual([(f"next-{index}", "core-0")], granted(got))

    def test_work_over_its_share_leaves_prefill_to_others(self) -> None:
        cell = make_cell([engine("core-0", 16)])
        cell.handle(ask("e-0", customer="east"), 0.0)
        for index in range(20):
            cell.handle(ask(f"n-{index}", prompt_tokens=100), 0.0)
        fair = cell.engines["core-0"].backend.slots // 2
        self.assertEqual(1 + fair, len(cell.permits))
        other = cell.handle(ask("e-1", customer="east"), 0.0)
        self.assertEqual([("e-1", "core-0")], granted(other))
        got = granted(cell.handle(FirstToken("n-0", 0.1), 0.1))
        self.assertEqual([], got)

    def test_shares_follow_weights(self) -> None:
        customers = {
            "north": Customer("north", (), weight=3.0),
            "east": Customer("east", (), weight=1.0),
        }
        cell = make_cell([engine("core-0", 1)], customers=customers)
        for index in range(80):
            cell.handle(ask(f"n-{index}"), 0.0)
            cell.handle(ask(f"e-{index}", customer="east"), 0.0)
        running = "n-0"
        north = 0
        for _ in range(80):
            got = cell.handle(Release(running, DONE, 0.1, 32), 0.0)
            running = granted(got)[0][0]
            north += running.startswith("n")
        self.assertAlmostEqual(60, north, delta=1)


class AdoptedWorkTest(unittest.TestCase):
    def test_work_past_its_first_token_is_not_overdue(self) -> None:
        """A new owner adopts permits that are already in use."""
        cell = make_cell([engine("core-0"), engine("core-1")], SETTINGS)
        for number in range(4):
            cell.handle(
                batch(f"b{number}", granted="core-0", prompt_tokens=0), 0.0
            )
        for number in range(4):
            cell.handle(ask(f"a{number}"), 0.1)
            cell.handle(FirstToken(f"a{number}", 0.05), 0.15)
        for tick in range(30):
            cell.tick(0.2 + tick / 10)
        self.assertEqual(4, cell.engines["core-0"].cap)

    def test_work_of_a_lost_holder_is_not_overdue(self) -> None:
        """No first tokens are reported for it until it is reclaimed."""
        cell = make_cell([engine("core-0"), engine("core-1")], SETTINGS)
        for number in range(2):
            lost = ask(f"l{number}", holder="entry@b", granted="core-0")
            cell.handle(lost, 0.0)
        for number in range(4):
            cell.handle(ask(f"a{number}"), 0.1)
            cell.handle(FirstToken(f"a{number}", 0.05), 0.15)
        cell.holder_lost("entry@b", 0.2)
        for tick in range(10):
            cell.tick(0.2 + tick / 10)
        self.assertEqual(4, cell.engines["core-0"].cap)


class SlowEngineFullOfBatchTest(unittest.TestCase):
    """Batch work on an engine found slow must not keep probes out.

    In a bench run, online work waited 4 s beside such an engine.
    """

    def test_batch_work_is_revoked_for_a_probe(self) -> None:
        cell = make_cell([engine("core-0"), engine("core-1")], SETTINGS)
        for number in range(3):
            cell.handle(batch(f"b{number}", granted="core-0"), 0.0)
        for number in range(4):
            cell.handle(ask(f"a{number}", granted="core-1"), 0.0)
        for _ in range(10):
            for _sample in range(3):
                cell.health.record_token_time("core-0", 9.0, 0.05)
                cell.health.record_token_time("core-1", 1.0, 0.05)
            cell.health.evaluate(0.1, {})
        cell.tick(0.15)
        out = cell.handle(ask("waits"), 0.2)
        got = granted(out)
        while out:
            answers = []
            for decision in out:
                if isinstance(decision.message, Revoke):
                    ask_id = decision.message.ask_id
                    release = Release(ask_id, ReleaseOutcome.CANCELLED)
                    answers += cell.handle(release, 0.25)
            got += granted(answers)
            out = answers
        self.assertEqual([("waits", "core-0")], got)
