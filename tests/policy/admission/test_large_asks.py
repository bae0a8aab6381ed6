"""Tests of KV memory as capacity, for large and small asks."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.policy.messages import (
    FirstToken,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
)
from mulberrypass.programs.site_settings import CELLS
from tests.known_red import known_red
from tests.policy.admission.cases import (
    ask,
    batch,
    engine,
    granted,
    make_cell,
)
from tests.policy.admission.loads import (
    ENGINE_KV_TOKENS,
    LARGE,
    Excess,
    Load,
    Replay,
    Request,
    percentile,
    share_in_time,
)

if TYPE_CHECKING:
    from mulberrypass.model.objects import Backend
    from mulberrypass.policy.messages import Ask

SETTINGS = replace(CELLS, settle_s=0.0)
LARGE_TOKENS = 17_000
SMALL_TOKENS = 450


BASE = Load(seconds=26.0, large_prompts=0.3)


def _engines(count: int) -> list[Backend]:
    return [
        engine(f"core-{i}", slots=8, kv_tokens=ENGINE_KV_TOKENS)
        for i in range(count)
    ]


def _large(ask_id: str, **fields: Any) -> Ask:
    values: dict[str, Any] = {
        "prompt_tokens": LARGE_TOKENS,
        "budget_s": 5.0,
        "start_within_s": 0.24,
    }
    return ask(ask_id, **(values | fields))


def _small(ask_id: str, **fields: Any) -> Ask:
    return _large(ask_id, prompt_tokens=SMALL_TOKENS, **fields)


def _done(ask_id: str) -> Release:
    return Release(ask_id, ReleaseOutcome.DONE, 0.5, 32)


class PassedOverTest(unittest.TestCase):
    """Small asks take each piece of memory that a large one waits for."""

    def setUp(self) -> None:
        self.cell = make_cell(_engines(2), SETTINGS)
        for number in range(8):
            got = self.cell.handle(_large(f"first-{number}"), 0.0)
            self.assertEqual(1, len(granted(got)))
        self.backends = {
            permit.ask.ask_id: permit.backend for permit in self.cell.permits
        }
        self.assertEqual([], self.cell.handle(_large("large"), 0.1))

    def small(self, number: int, now: float) -> list[str]:
        got = self.cell.handle(_small(f"small-{number}", customer="east"), now)
        return [backend for _, backend in granted(got)]

    def test_small_asks_are_granted_while_it_waits(self) -> None:
        self.assertEqual(1, len(self.small(0, 0.11)))

    def test_an_engine_is_kept_after_a_quarter_of_its_time(self) -> None:
        self.cell.tick(0.17)
        used = {b for n in range(6) for b in self.small(n, 0.18)}
        self.assertEqual(1, len(used))
        kept = ({"core-0", "core-1"} - used).pop()
        first = [n for n, b in self.backends.items() if b == kept]
        got = self.cell.handle(_done(first[0]), 0.2)
        self.assertEqual(("large", kept), granted(got)[0])

    def test_one_engine_is_kept_at_a_time(self) -> None:
        self.cell.handle(_large("other", customer="east"), 0.1)
        self.cell.tick(0.17)
        self.cell.tick(0.2)
        self.assertEqual(1, len(self.small(0, 0.21)))

    def test_small_asks_of_its_own_customer_go_on(self) -> None:
        self.assertEqual(1, len(granted(self.cell.handle(_small("s"), 0.11))))

    def test_engine_is_free_again_when_it_leaves(self) -> None:
        self.cell.tick(0.17)
        self.cell.tick(5.2)
        used = {b for n in range(4) for b in self.small(n, 5.3)}
        self.assertEqual({"core-0", "core-1"}, used)


class HugeAskTest(unittest.TestCase):
    """An ask above all memory waits for an engine that is never idle."""

    def test_idle_engine_takes_it(self) -> None:
        cell = make_cell(_engines(1), SETTINGS)
        cell.handle(_small("runs"), 0.0)
        huge = _large("huge", prompt_tokens=80_000)
        self.assertEqual([], granted(cell.handle(huge, 0.0)))
        cell.tick(0.1)
        self.assertEqual([], granted(cell.handle(_small("late"), 0.11)))
        got = granted(cell.handle(_done("runs"), 0.12))
        self.assertEqual(("huge", "core-0"), got[0])


class BatchMemoryTest(unittest.TestCase):
    """Batch items hold the memory that online work needs."""

    def test_items_of_one_engine_are_revoked(self) -> None:
        cell = make_cell(_engines(3), SETTINGS)
        now = 2.5
        for number in range(40):
            cell.handle(batch(f"b-{number}", prompt_tokens=16_000), now)
            now += 0.1
            cell.tick(now)
            for permit in cell.permits:
                cell.handle(FirstToken(permit.ask.ask_id, 0.3), now)
        self.assertEqual(12, len(cell.permits))
        got = cell.handle(_large("large"), now)
        revoked = [
            d.message.ask_id for d in got if isinstance(d.message, Revoke)
        ]
        self.assertEqual([], granted(got))
        self.assertEqual(1, len(revoked))
        self.assertEqual([], cell.tick(now + 0.001))
        ended = Release(revoked[0], ReleaseOutcome.CANCELLED)
        got = cell.handle(ended, now + 0.005)
        self.assertEqual("large", granted(got)[0][0])


class MixedSizesTest(unittest.TestCase):
    """Large prompts beside short ones, on the booking site's engines."""

    def test_no_engine_is_overfilled_and_none_waits_for_ever(self) -> None:
        excess = Excess(LARGE, 5.0, 15.6, 20.6)
        for seed in (1, 2):
            with self.subTest(seed=seed):
                load = replace(BASE, excess=excess)
                replay = Replay(load, seed).run()
                self.assertEqual(0, replay.kv_exceeded)
                waits = [r.granted_at - r.asked_at for r in replay.grants]
                self.assertLessEqual(max(waits), SETTINGS.patience_s)

    def test_large_batch_items_dont_delay_permits(self) -> None:
        waits = [r.granted_at - r.asked_at for r in self.beside(True)]
        self.assertLessEqual(percentile(waits, 0.99), 0.01)

    def test_small_batch_items_dont_delay_online_work(self) -> None:
        self.check_share(large_batch=False)

    @known_red(issue=48)
    def test_large_batch_items_dont_delay_online_work(self) -> None:
        self.check_share(large_batch=True)

    def check_share(self, *, large_batch: bool) -> None:
        alone = share_in_time(Replay(BASE, 1).run().online(without=[LARGE]))
        beside = share_in_time(self.beside(large_batch))
        self.assertGreaterEqual(beside, alone - 0.01)

    def beside(self, large_batch: bool) -> list[Request]:
        """Return the online requests beside batch items of two customers.

        Without the large customer, whose growth is limited.
        """
        items = {"customer-01": 400, "customer-02": 40}
        load = replace(BASE, batch=items, large_batch=large_batch)
        return Replay(load, 1).run().online(without=[LARGE])


class RefusalTest(unittest.TestCase):
    def test_waiting_for_memory_ends_at_the_patience(self) -> None:
        cell = make_cell(_engines(1), SETTINGS)
        for number in range(4):
            cell.handle(_large(f"first-{number}"), 0.0)
        cell.handle(_large("large"), 0.0)
        got = cell.tick(1.6)
        refused = [d.message for d in got if isinstance(d.message, Refuse)]
        self.assertEqual(["large"], [r.ask_id for r in refused])
