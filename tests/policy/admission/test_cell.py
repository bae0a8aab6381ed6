"""Tests of admission to a cell, message by message."""

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
    cell,
    engine,
    granted,
    kinds,
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
                made = cell([engine("core-0")], loaded=loaded, **fields)
                got = [d for a in asks for d in made.handle(a, 0.0)]
                last = got[-1].message
                assert isinstance(last, Refuse)
                self.assertIs(reason, last.reason)

    def test_deadline_by_estimate_of_wait(self) -> None:
        made = cell([engine("core-0", 1)])
        for index in range(5):
            made.handle(ask(f"seen-{index}"), 0.0)
            made.handle(Release(f"seen-{index}", DONE, 1.0, 32), 0.0)
        made.handle(ask("runs"), 0.0)
        made.handle(ask("waits"), 0.0)
        made.handle(ask("waits-2"), 0.0)
        cases = {"late": (2.0, "Refuse"), "in time": (20.0, None)}
        for name, (budget_s, kind) in cases.items():
            with self.subTest(name):
                got = made.handle(ask(name, budget_s=budget_s), 0.0)
                self.assertEqual(
                    [kind] if kind else [], [k for k, _ in kinds(got)]
                )

    def test_late_asks_are_dropped_at_a_tick(self) -> None:
        made = cell([engine("core-0", 1)])
        made.handle(ask("runs"), 0.0)
        made.handle(ask("waits", budget_s=1.0), 0.0)
        self.assertEqual([], made.tick(0.9))
        self.assertEqual([("Refuse", "waits")], kinds(made.tick(1.0)))

    def test_full_queue_drops_of_who_has_most(self) -> None:
        settings = replace(SETTINGS, max_queued_online=3)
        made = cell([engine("core-0", 1)], settings)
        made.handle(ask("runs"), 0.0)
        for index in range(3):
            made.handle(ask(f"n-{index}", budget_s=9.0 - index), 0.0)
        got = made.handle(ask("n-3"), 0.0)
        self.assertEqual([("Refuse", "n-3")], kinds(got))
        got = made.handle(ask("e-0", customer="east"), 0.0)
        self.assertEqual([("Refuse", "n-0")], kinds(got))
        self.assertIn("e-0", made.queued(WorkClass.ONLINE))


class BatchTest(unittest.TestCase):
    def test_batch_leaves_a_reserve(self) -> None:
        for slots, most in ((1, 1), (4, 3), (8, 6), (64, 52)):
            with self.subTest(slots=slots):
                made = cell([engine("core-0", slots)])
                for index in range(slots + 1):
                    made.handle(batch(f"b-{index}", prompt_tokens=0), 0.0)
                self.assertEqual(most, made.engines["core-0"].running)

    def test_fixed_batch_is_bounded(self) -> None:
        made = cell([engine("core-0", 8)])
        for index in range(8):
            fixed = batch(f"b-{index}", prompt_tokens=0, revocable=False)
            made.handle(fixed, 0.0)
        self.assertEqual(2, made.engines["core-0"].running)

    def test_one_batch_prefill_is_pending(self) -> None:
        settings = replace(SETTINGS, quiet_s=99.0)
        made = cell([engine("core-0", 16)], settings)
        self.assertTrue(granted(made.handle(batch("a", prompt_tokens=900), 0)))
        self.assertFalse(granted(made.handle(batch("b", prompt_tokens=9), 5)))
        self.assertTrue(granted(made.handle(FirstToken("a", 0.1), 6.0)))

    def test_batch_avoids_pending_online_prefill(self) -> None:
        made = cell([engine("core-0", 8), engine("core-1", 8)])
        made.handle(ask("online"), 0.0)
        got = granted(made.handle(batch("a"), 0.0))
        self.assertEqual([("a", "core-1")], got)
        made.handle(FirstToken("a", 0.1), 0.1)
        made.handle(ask("online-2", avoid=("core-0",)), 0.1)
        self.assertEqual([], made.handle(batch("b"), 9.0))
        got = granted(made.handle(FirstToken("online", 9.0), 9.1))
        self.assertEqual([("b", "core-0")], got)

    def test_batch_prefill_leaves_engines_to_online(self) -> None:
        made = cell([engine(f"core-{index}", 8) for index in range(5)])
        for index in range(5):
            made.handle(batch(f"b-{index}"), 0.0)
        pending = [e.batch_prefill_tokens > 0 for e in made.engines.values()]
        self.assertEqual(3, sum(pending))

    def test_small_items_share_an_engine_up_to_its_pending_prefill(
        self,
    ) -> None:
        most = SETTINGS.batch_prefill_tokens
        for prompt, each in ((most, 1), (most // 4, 4), (most // 8, 8)):
            with self.subTest(prompt=prompt):
                settings = replace(SETTINGS, quiet_s=99.0)
                engines = [engine(f"core-{n}", 64) for n in range(5)]
                made = cell(engines, settings)
                for index in range(60):
                    now = 0.1 * index
                    made.handle(batch(f"b-{index}", prompt_tokens=prompt), now)
                    made.tick(now)
                running = sorted(e.running for e in made.engines.values())
                self.assertEqual([0, 0, each, each, each], running)

    def test_batch_has_more_room_without_online_work(self) -> None:
        made = cell([engine(f"core-{index}", 8) for index in range(5)])
        for index in range(5):
            made.handle(batch(f"b-{index}", prompt_tokens=200), 0.0)
        quiet_s = made.settings.quiet_s
        self.assertEqual([], granted(made.tick(quiet_s - 0.1)))
        self.assertEqual(2, len(granted(made.tick(quiet_s))))
        made.handle(ask("online"), quiet_s + 0.1)
        late = batch("b-5", prompt_tokens=200)
        self.assertEqual([], made.handle(late, quiet_s + 0.1))

    def test_batch_rests_after_a_prefill(self) -> None:
        made = cell([engine("core-0", 16)])
        tokens = int(made.batch_pacer.tokens_per_s)
        made.handle(batch("a", prompt_tokens=tokens), 0.0)
        made.handle(FirstToken("a", 0.1), 0.1)
        made.handle(batch("b"), 0.2)
        self.assertEqual([], granted(made.tick(0.9)))
        self.assertEqual([("b", "core-0")], granted(made.tick(1.1)))

    def test_new_cell_grants_batch_after_it_has_settled(self) -> None:
        made = cell([engine("core-0")], CellSettings(settle_s=0.5))
        self.assertEqual([], made.handle(batch("a"), 0.0))
        self.assertTrue(granted(made.handle(ask("now"), 0.1)))
        made.handle(FirstToken("now", 0.1), 0.2)
        self.assertEqual([("a", "core-0")], granted(made.tick(0.5)))


class RevokeTest(unittest.TestCase):
    def test_youngest_go_first_and_as_many_as_wait(self) -> None:
        made = cell([engine("core-0", 4)], replace(SETTINGS, quiet_s=99.0))
        for index in range(3):
            made.handle(batch(f"b-{index}", prompt_tokens=0), float(index))
        self.assertTrue(granted(made.handle(ask("reserve"), 3.0)))
        got = made.handle(ask("first"), 3.0)
        self.assertEqual([("Revoke", "b-2")], kinds(got))
        got = made.handle(ask("second"), 3.0)
        self.assertEqual([("Revoke", "b-1")], kinds(got))
        cancelled = ReleaseOutcome.CANCELLED
        got = made.handle(Release("b-2", cancelled), 3.1)
        self.assertEqual([("Grant", "first")], kinds(got))
        self.assertEqual([("Grant", "second")], kinds(made.tick(5.1)))

    def test_burst_after_a_quiet_time(self) -> None:
        """Pending prefill goes at once, slots as the reserve is used."""
        made = cell([engine("core-0", 16)])
        for index in range(11):
            made.handle(batch(f"b-{index}", prompt_tokens=0), 0.0)
        made.handle(batch("prefill"), 2.5)
        revoked: list[str] = []
        for index in range(5):
            got = made.handle(ask(f"a-{index}"), 3.0 + index / 10)
            revoked += [n for kind, n in kinds(got) if kind == "Revoke"]
        self.assertEqual(["prefill", "b-10", "b-9"], revoked)

    def test_no_burst_while_online_work_goes_on(self) -> None:
        made = cell([engine("core-0", 16)])
        made.handle(ask("steady"), 0.0)
        made.handle(FirstToken("steady", 0.1), 0.1)
        for index in range(14):
            made.handle(batch(f"b-{index}", prompt_tokens=0), 0.2)
        for index in range(3):
            got = made.handle(ask(f"a-{index}"), 3.0)
            self.assertEqual([f"a-{index}"], [n for n, _ in granted(got)])
            self.assertEqual(1, len(got))

    def test_fixed_batch_is_never_revoked(self) -> None:
        made = cell([engine("core-0", 1)])
        made.handle(batch("b", prompt_tokens=0, revocable=False), 0.0)
        self.assertEqual([], made.handle(ask("waits"), 0.0))


class PermitTest(unittest.TestCase):
    def test_duplicate_ask_gets_the_same_answer(self) -> None:
        made = cell([engine("core-0", 1)])
        first = made.handle(ask("a"), 0.0)
        self.assertEqual(first, made.handle(ask("a"), 0.1))
        made.handle(ask("b"), 0.1)
        self.assertEqual([], made.handle(ask("b"), 0.2))
        self.assertEqual(1, len(made.queued(WorkClass.ONLINE)))

    def test_reclaim(self) -> None:
        cases = {"never released": (11.9, 12.0), "holder lost": (2.9, 3.0)}
        for name, (kept, over) in cases.items():
            with self.subTest(name):
                made = cell([engine("core-0", 1)])
                made.handle(ask("a", budget_s=10.0), 0.0)
                if name == "holder lost":
                    made.holder_gone("entry@a", 1.0)
                made.tick(kept)
                self.assertEqual(1, len(made.permits))
                made.tick(over)
                self.assertEqual(0, len(made.permits))

    def test_permits_due_at_once_are_all_reclaimed(self) -> None:
        made = cell([engine("core-0", 4)])
        for index in range(3):
            made.handle(ask(f"a-{index}", budget_s=10.0), 0.0)
        made.tick(12.0)
        self.assertEqual(0, len(made.permits))

    def test_holder_that_returns_keeps_what_it_tells_of(self) -> None:
        made = cell([engine("core-0", 2)])
        made.handle(ask("a"), 0.0)
        made.handle(ask("b"), 0.0)
        made.holder_gone("entry@a", 1.0)
        made.handle(ask("a", granted="core-0"), 1.5)
        made.tick(4.0)
        self.assertEqual(["a"], [p.ask.ask_id for p in made.permits])

    def test_new_owner_counts_permits_in_use(self) -> None:
        made = cell([engine("core-0", 1)])
        told = made.handle(ask("a", granted="core-0"), 0.0)
        self.assertEqual([], told)
        self.assertEqual([], made.handle(ask("b"), 0.0))
        got = made.handle(Release("a", DONE, 0.1, 4), 0.1)
        self.assertEqual([("b", "core-0")], granted(got))

    def test_limits_hold_in_each_cell(self) -> None:
        quota = Quota("q", 0.0, 0, online_running=6, batch_running=6)
        customers = {"north": Customer("north", (), quota="q")}
        for cells, most in ((1, 6), (2, 3), (4, 1)):
            with self.subTest(cells=cells):
                made = cell(
                    [engine("core-0", 16)],
                    customers=customers,
                    quotas={"q": quota},
                    cells=cells,
                )
                for index in range(8):
                    made.handle(ask(f"a-{index}"), 0.0)
                self.assertEqual(most, len(made.permits))


class FairnessTest(unittest.TestCase):
    def test_flood_does_not_delay_others(self) -> None:
        """One of three customers asks for 20 times as much."""
        made = cell([engine("core-0", 2)])
        for index in range(60):
            made.handle(ask(f"n-{index}"), 0.0)
        order: list[str] = []
        for index in range(3):
            made.handle(ask(f"e-{index}", customer="east"), 0.0)
            made.handle(ask(f"w-{index}", customer="west"), 0.0)
        running = [p.ask.ask_id for p in made.permits]
        while running:
            got = made.handle(Release(running.pop(0), DONE, 0.1, 32), 1.0)
            served = [name for name, _ in granted(got)]
            order.extend(served)
            running.extend(served)
        last = max(order.index(f"{name}-2") for name in "ew")
        self.assertLess(last, 11)

    def test_work_over_its_share_leaves_the_reserve(self) -> None:
        for others, most in ((0, 16), (1, 12)):
            with self.subTest(others=others):
                made = cell([engine("core-0", 16)])
                for index in range(others):
                    made.handle(ask(f"e-{index}", customer="east"), 0.0)
                for index in range(20):
                    flood = ask(f"n-{index}", prompt_tokens=0)
                    made.handle(flood, 0.0)
                self.assertEqual(most, len(made.permits))
        for index in range(4):
            got = made.handle(ask(f"next-{index}", customer="east"), 0.0)
            self.assertEqual([(f"next-{index}", "core-0")], granted(got))

    def test_work_over_its_share_leaves_prefill_to_others(self) -> None:
        made = cell([engine("core-0", 16)])
        made.handle(ask("e-0", customer="east"), 0.0)
        for index in range(20):
            made.handle(ask(f"n-{index}", prompt_tokens=100), 0.0)
        fair = made.engines["core-0"].backend.slots // 2
        self.assertEqual(1 + fair, len(made.permits))
        other = made.handle(ask("e-1", customer="east"), 0.0)
        self.assertEqual([("e-1", "core-0")], granted(other))
        got = granted(made.handle(FirstToken("n-0", 0.1), 0.1))
        self.assertEqual([], got)

    def test_shares_follow_weights(self) -> None:
        customers = {
            "north": Customer("north", (), weight=3.0),
            "east": Customer("east", (), weight=1.0),
        }
        made = cell([engine("core-0", 1)], customers=customers)
        for index in range(80):
            made.handle(ask(f"n-{index}"), 0.0)
            made.handle(ask(f"e-{index}", customer="east"), 0.0)
        running = "n-0"
        north = 0
        for _ in range(80):
            got = made.handle(Release(running, DONE, 0.1, 32), 0.0)
            running = granted(got)[0][0]
            north += running.startswith("n")
        self.assertAlmostEqual(60, north, delta=1)


class AdoptedWorkTest(unittest.TestCase):
    def test_work_past_its_first_token_is_not_overdue(self) -> None:
        """A new owner takes in permits that are in use already."""
        made = cell([engine("core-0"), engine("core-1")], SETTINGS)
        for number in range(4):
            made.handle(
                batch(f"b{number}", granted="core-0", prompt_tokens=0), 0.0
            )
        for number in range(4):
            made.handle(ask(f"a{number}"), 0.1)
            made.handle(FirstToken(f"a{number}", 0.05), 0.15)
        for tick in range(30):
            made.tick(0.2 + tick / 10)
        self.assertEqual(4, made.engines["core-0"].cap)

    def test_work_of_a_lost_holder_is_not_overdue(self) -> None:
        """Nobody tells of its first tokens until it is reclaimed."""
        made = cell([engine("core-0"), engine("core-1")], SETTINGS)
        for number in range(2):
            lost = ask(f"l{number}", holder="entry@b", granted="core-0")
            made.handle(lost, 0.0)
        for number in range(4):
            made.handle(ask(f"a{number}"), 0.1)
            made.handle(FirstToken(f"a{number}", 0.05), 0.15)
        made.holder_gone("entry@b", 0.2)
        for tick in range(10):
            made.tick(0.2 + tick / 10)
        self.assertEqual(4, made.engines["core-0"].cap)


class SlowEngineHeldByBatchTest(unittest.TestCase):
    """Seen on the bench: 4 s in which online work waited beside it."""

    def test_online_work_gets_its_trial_there(self) -> None:
        made = cell([engine("core-0"), engine("core-1")], SETTINGS)
        for number in range(3):
            made.handle(batch(f"b{number}", granted="core-0"), 0.0)
        for number in range(4):
            made.handle(ask(f"a{number}", granted="core-1"), 0.0)
        for _ in range(10):
            for _sample in range(3):
                made.health.record_token_time("core-0", 9.0, 0.05)
                made.health.record_token_time("core-1", 1.0, 0.05)
            made.health.evaluate(0.1, {})
        made.tick(0.15)
        out = made.handle(ask("waits"), 0.2)
        got = granted(out)
        while out:
            answers = []
            for decision in out:
                if isinstance(decision.message, Revoke):
                    ask_id = decision.message.ask_id
                    gone = Release(ask_id, ReleaseOutcome.CANCELLED)
                    answers += made.handle(gone, 0.25)
            got += granted(answers)
            out = answers
        self.assertEqual([("waits", "core-0")], got)
