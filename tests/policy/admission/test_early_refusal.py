"""Tests of early refusal, with a replay of bursts on a cell."""

from __future__ import annotations

from dataclasses import replace
import heapq
import random
from typing import TYPE_CHECKING
import unittest

from mulberrypass.policy.admission.early_refusal import (
    EarlyRefusal,
    EarlyRefusalSettings,
)
from mulberrypass.policy.admission.settings import CellSettings
from mulberrypass.policy.messages import (
    Ask,
    Grant,
    RefusalReason,
    Refuse,
    Release,
    ReleaseOutcome,
    Withdraw,
    WorkClass,
)
from tests.policy.admission.cases import ask, engine, make_cell

if TYPE_CHECKING:
    from mulberrypass.policy.admission.cell import Cell, CellDecision

SETTINGS = EarlyRefusalSettings()
START_LIMIT_S = 0.23
CELL_SETTINGS = CellSettings(
    settle_s=0.0,
    reserve_share=0.0,
    service_margin=0.0,
    wait_margin=1.0,
    patience_s=1.5,
)


class EarlyRefusalTest(unittest.TestCase):
    def test_refusal(self) -> None:
        cases = {
            "no limit": (0.0, 9.0, False),
            "in time": (0.2, 0.1, False),
            "late": (0.2, 0.25, True),
            "near the limit": (0.2, 0.18, True),
        }
        for name, (within, wait, refused) in cases.items():
            with self.subTest(name):
                early_refusal = EarlyRefusal(SETTINGS)
                early_refusal.count_arrival(0.0)
                request = ask("a", start_within_s=within, subject=7)
                retry_after_s = early_refusal.retry_after_s(
                    request, wait, 10.0, 0.0
                )
                self.assertEqual(refused, retry_after_s is not None)

    def test_retry_may_wait_longer(self) -> None:
        early_refusal = EarlyRefusal(SETTINGS)
        early_refusal.count_arrival(0.0)
        first = ask("a", start_within_s=0.2, subject=7)
        self.assertIsNotNone(
            early_refusal.retry_after_s(first, 0.19, 10.0, 0.0)
        )
        retry = replace(first, ask_id="b")
        self.assertIsNone(early_refusal.retry_after_s(retry, 0.19, 10.0, 1.5))
        other = replace(first, ask_id="c", subject=8)
        self.assertIsNotNone(
            early_refusal.retry_after_s(other, 0.19, 10.0, 1.5)
        )

    def test_customer_over_its_share_may_wait_less(self) -> None:
        """Its queued work would become late as the others' demand grows."""
        early_refusal = EarlyRefusal(SETTINGS)
        request = ask("a", start_within_s=0.2, subject=7)
        for over_share, refused in ((False, False), (True, True)):
            with self.subTest(over_share=over_share):
                retry_after_s = early_refusal.retry_after_s(
                    request, 0.1, 10.0, 0.0, over_share=over_share
                )
                self.assertEqual(refused, retry_after_s is not None)
        again = replace(request, ask_id="b")
        self.assertIsNone(
            early_refusal.retry_after_s(again, 0.1, 10.0, 1.0, over_share=True)
        )

    def test_retries_in_a_burst_are_late_and_spread(self) -> None:
        early_refusal = EarlyRefusal(SETTINGS)
        for number in range(50):
            early_refusal.count_arrival(number / 100)
        times = set()
        for number in range(20):
            request = ask(f"a{number}", start_within_s=0.2, budget_s=4.8)
            retry_after_s = early_refusal.retry_after_s(
                request, 0.3, 40.0, 0.5
            )
            assert retry_after_s is not None
            self.assertLessEqual(retry_after_s, 1.6)
            self.assertGreaterEqual(retry_after_s, 1.2)
            times.add(round(retry_after_s, 3))
        self.assertGreater(len(times), 10)

    def test_retries_without_overload_come_after_the_wait(self) -> None:
        early_refusal = EarlyRefusal(SETTINGS)
        early_refusal.count_arrival(0.0)
        request = ask("a", start_within_s=0.2, budget_s=4.8)
        retry_after_s = early_refusal.retry_after_s(request, 0.4, 40.0, 0.0)
        assert retry_after_s is not None
        self.assertLessEqual(retry_after_s, 0.4)


class LateWorkTest(unittest.TestCase):
    def test_late_work_waits_behind_work_in_time(self) -> None:
        cell = make_cell([engine("core-0", slots=1)], CELL_SETTINGS)
        cell.handle(ask("runs"), 0.0)
        cell.handle(ask("late", start_within_s=0.1, budget_s=5.0), 0.0)
        cell.handle(ask("fresh", start_within_s=0.2, budget_s=5.0), 0.15)
        cell.tick(0.16)
        done = Release("runs", ReleaseOutcome.DONE, 0.1, 5)
        got = cell.handle(done, 0.2)
        names = [d.message.ask_id for d in got]
        self.assertEqual(["fresh"], names)

    def test_returning_work_goes_first_among_its_customers(self) -> None:
        """A caller that was refused would wait behind later requests."""
        cell = make_cell([engine("core-0", slots=1)], CELL_SETTINGS)
        now = 0.0
        for number in range(6):
            cell.handle(ask(f"old-{number}"), now)
            now += 0.1
            done = Release(f"old-{number}", ReleaseOutcome.DONE, 0.1, 5)
            cell.handle(done, now)
        limits = {"start_within_s": 0.24, "budget_s": 5.0}
        cell.handle(ask("runs"), now)
        for number in range(9):
            request = ask(f"busy-{number}", subject=number + 1, **limits)
            for decision in cell.handle(request, now):
                if isinstance(decision.message, Refuse):
                    refused = request
        for queued in cell.queued(WorkClass.ONLINE):
            cell.handle(Withdraw(queued.ask.ask_id), now)
        cell.handle(ask("fresh", subject=90, **limits), now + 0.01)
        again = replace(refused, ask_id="again")
        cell.handle(again, now + 0.02)
        done = Release("runs", ReleaseOutcome.DONE, 0.1, 5)
        got = cell.handle(done, now + 0.1)
        self.assertEqual(["again"], [d.message.ask_id for d in got])

    def test_work_out_of_patience_is_refused(self) -> None:
        cell = make_cell([engine("core-0", slots=1)], CELL_SETTINGS)
        cell.handle(ask("runs"), 0.0)
        cell.handle(ask("late", start_within_s=0.1, budget_s=5.0), 0.0)
        self.assertEqual([], cell.tick(1.4))
        got = cell.tick(1.6)
        refusals = [d.message for d in got if isinstance(d.message, Refuse)]
        self.assertEqual(["late"], [r.ask_id for r in refusals])
        self.assertIs(RefusalReason.DEADLINE, refusals[0].reason)


class BurstReplay:
    """Replays bursts of online work on a cell, with callers that retry.

    The rate is 1.85 times the mean for two seconds, then 0.38 times for
    three, as observed at the sites.

    :param limited: whether asks have a start limit
    """

    def __init__(self, seed: int, limited: bool, engines: int) -> None:
        self._rng = random.Random(seed)
        self._limited = limited
        self._cell: Cell = make_cell(
            [engine(f"core-{i}", slots=8) for i in range(engines)],
            CELL_SETTINGS,
        )
        self._events: list[tuple[float, int, Ask | Release]] = []
        self._number = 0
        self._asked: dict[str, tuple[int, float]] = {}
        self._attempts: dict[int, int] = {}
        self.arrivals = 0
        self.in_time = 0
        self.late = 0

    def run(self, seconds: float, per_s: float) -> None:
        """Replay arrivals for some seconds."""
        now = 0.0
        while now < seconds:
            rate = per_s * (1.85 if now % 5.2 >= 3.0 else 0.378)
            now += self._rng.expovariate(rate)
            self.arrivals += 1
            self._push_ask(now, self.arrivals)
        while self._events:
            at, _, message = heapq.heappop(self._events)
            if isinstance(message, Ask):
                self._asked[message.ask_id] = (message.subject, at)
            self._handle_decisions(self._cell.handle(message, at), at)
            self._handle_decisions(self._cell.tick(at), at)

    def _push_ask(self, at: float, subject: int) -> None:
        self._number += 1
        attempts = self._attempts[subject] = self._attempts.get(subject, 0) + 1
        request = ask(
            f"ask-{self._number}",
            subject=subject,
            budget_s=5.0 if attempts == 1 else 3.3,
            start_within_s=START_LIMIT_S if self._limited else 0.0,
            output_tokens=186,
        )
        heapq.heappush(self._events, (at, self._number, request))

    def _handle_decisions(
        self, decisions: list[CellDecision], now: float
    ) -> None:
        for decision in decisions:
            match decision.message:
                case Grant(ask_id=ask_id):
                    self._grant(ask_id, now)
                case Refuse(ask_id=ask_id, retry_after_s=after_s):
                    subject, _ = self._asked[ask_id]
                    if self._attempts[subject] == 1:
                        self._push_ask(now + after_s, subject)

    def _grant(self, ask_id: str, now: float) -> None:
        _, asked_at = self._asked[ask_id]
        in_time = now - asked_at <= START_LIMIT_S
        self.in_time += in_time
        self.late += not in_time
        self._number += 1
        service_s = max(0.1, self._rng.gauss(0.73, 0.3))
        done = Release(ask_id, ReleaseOutcome.DONE, service_s, 31)
        heapq.heappush(self._events, (now + service_s, self._number, done))


class BurstTest(unittest.TestCase):
    """Bursts that exceed the capacity of the engines."""

    def test_more_start_in_time_than_in_order_of_arrival(self) -> None:
        for engines in (2, 3):
            for seed in range(8):
                with self.subTest(engines=engines, seed=seed):
                    shares = []
                    for limited in (False, True):
                        replay = BurstReplay(seed, limited, engines)
                        replay.run(26.0, per_s=25.0)
                        shares.append(replay.in_time / replay.arrivals)
                    self.assertGreater(shares[1], shares[0])

    def test_nothing_is_refused_with_enough_engines(self) -> None:
        replay = BurstReplay(1, True, engines=9)
        replay.run(26.0, per_s=25.0)
        self.assertEqual(replay.arrivals, replay.in_time)
