"""Tests of second runs of items that stall near their due time."""

from __future__ import annotations

from dataclasses import replace
import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.batches.run import Ended, ItemRun, Pause
from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.batch_jobs import ItemOutcome, ItemState
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.batches.order import ItemPace, is_near_due
from mulberrypass.policy.messages import WorkClass
from mulberrypass.policy.online.repeats import RepeatShares
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import HeldPermit, PermitAcquirer
from mulberrypass.relay.repeats import Repeats
from mulberrypass.relay.watch import CallWatch
from tests.batches import cases
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    event,
    request,
    table,
)
from tests.relay.timed_engines import NEVER_S, Timed, TimedEngines

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.relay.api import RelayRequest

SERVICE = "rackmind"
# A stall is found after the least pause, 120 ms. Before it there is no pause,
# which a busy machine could draw out.
STALLED = Timed([(0.0, event(1) + event(2)), (NEVER_S, b"")])
REST = Timed([(0.01, event(3))])
OUTPUT = "1\n2\n3"
CRASH = EngineFailed("cut", Ran.MAYBE, closed=True)


def make_request(
    _head: JobHead, _item: BatchItem, after: int | None
) -> RelayRequest:
    """Return the request of an item."""
    return request(after_event=after)


class StalledItemTest(unittest.TestCase):
    """Items that stalled shortly before they were due waited for 3 s."""

    due_s = 1.5
    share = 1.0

    def setUp(self) -> None:
        self.permits = ScriptedPermits("e1", "e2")
        self.stop = threading.Event()

    def make(self, engines: TimedEngines) -> ItemRun:
        directory = Directory()
        directory.apply_routes(table(cases.route()))
        directory.set_engines([engine("e1"), engine("e2")])
        self.repeats = Repeats(RepeatShares(self.share))
        self.addCleanup(self.repeats.stop)
        for _ in range(50):
            self.repeats.observe_pause(SERVICE, 0.01)
        watch = CallWatch()
        watch.start()
        self.addCleanup(watch.stop)
        deps = RelayDependencies(
            directory,
            PermitAcquirer("entry@a", self.permits, directory),
            engines,
            watch,
            repeats=self.repeats,
        )
        head = replace(cases.head(first_s=time.time()), due_s=self.due_s)
        return ItemRun(
            deps,
            head,
            0,
            cases.item(0),
            make_request,
            self.stop.is_set,
            ItemPace(),
            time.monotonic() + 60.0,
        )

    def attempt(self, run: ItemRun) -> Pause | Ended:
        pending = run.ask()
        assert not isinstance(pending, Pause | Ended)
        permit = run.take(pending)
        assert isinstance(permit, HeldPermit)
        return run.attempt(permit)

    def check_whole(self, found: Pause | Ended) -> None:
        assert isinstance(found, Ended)
        assert isinstance(found.outcome, ItemOutcome)
        self.assertIs(ItemState.COMPLETED, found.outcome.state)
        self.assertEqual(OUTPUT, found.outcome.output)

    def counts(self) -> dict[str, int]:
        found = self.repeats.counts()
        return {str(name): count for (_, name), count in found.items()}

    def test_second_run_goes_on_after_the_last_event(self) -> None:
        engines = TimedEngines(e1=[STALLED], e2=[REST])
        start = time.monotonic()
        self.check_whole(self.attempt(self.make(engines)))
        self.assertLess(time.monotonic() - start, 0.5)
        asked = [(c.engine, c.req.after_event) for c in engines.calls]
        self.assertEqual([("e1", None), ("e2", 2)], asked)
        self.assertIsNotNone(engines.of("e1")[0].closed_at)
        self.assertEqual([["cancelled"], ["done"]], self.permits.outcomes)
        second = self.permits.asks[1]
        self.assertTrue(second.repeat and second.revocable)
        self.assertIs(WorkClass.BATCH, second.work_class)
        self.assertEqual({"started": 1, "won": 1}, self.counts())

    def test_item_that_isn_t_due_soon_gets_none(self) -> None:
        self.due_s = 60.0
        slow = Timed([(0.0, event(1)), (0.4, event(2) + event(3))])
        engines = TimedEngines(e1=[slow], e2=[REST])
        self.check_whole(self.attempt(self.make(engines)))
        self.assertEqual(1, len(engines.calls))

    def test_share_0_starts_none(self) -> None:
        self.share = 0.0
        slow = Timed([(0.0, event(1)), (0.4, event(2) + event(3))])
        engines = TimedEngines(e1=[slow], e2=[REST])
        self.check_whole(self.attempt(self.make(engines)))
        self.assertEqual(1, len(engines.calls))

    def test_first_run_wins(self) -> None:
        slow = Timed([(0.0, event(1)), (0.2, event(2) + event(3))])
        engines = TimedEngines(e1=[slow], e2=[Timed([(NEVER_S, b"")])])
        self.check_whole(self.attempt(self.make(engines)))
        self.assertEqual(2, len(engines.calls))
        until = time.monotonic() + 1.0
        while engines.of("e2")[0].closed_at is None:
            self.assertLess(time.monotonic(), until)
            time.sleep(0.01)

    def test_late_first_event_is_no_stall(self) -> None:
        slow = Timed([(0.4, event(1) + event(2) + event(3))])
        engines = TimedEngines(e1=[slow], e2=[REST])
        self.check_whole(self.attempt(self.make(engines)))
        self.assertEqual(1, len(engines.calls))

    def test_revoked_second_run_is_no_failure(self) -> None:
        slow_rest = Timed([(0.01, event(3)), (NEVER_S, b"")])
        engines = TimedEngines(e1=[STALLED], e2=[slow_rest])
        run = self.make(engines)
        timer = threading.Timer(0.4, lambda: self._revoke())
        timer.start()
        self.addCleanup(timer.cancel)
        found = self.attempt(run)
        self.assertEqual(Pause(0.0), found)
        self.assertEqual([["cancelled"], ["cancelled"]], self.permits.outcomes)

    def _revoke(self) -> None:
        assert self.permits.revoke is not None
        self.permits.revoke()

    def test_item_that_isn_t_needed_ends_both(self) -> None:
        engines = TimedEngines(e1=[STALLED], e2=[Timed([(NEVER_S, b"")])])
        run = self.make(engines)
        timer = threading.Timer(0.25, self.stop.set)
        timer.start()
        self.addCleanup(timer.cancel)
        self.attempt(run)
        self.assertEqual(2, len(engines.calls))
        for call in engines.calls:
            self.assertIsNotNone(call.closed_at)

    def test_none_after_a_connection_has_ended(self) -> None:
        slow = Timed([(0.0, event(1)), (0.4, event(2) + event(3))])
        engines = TimedEngines(e1=[CRASH], e2=[slow])
        run = self.make(engines)
        self.assertIsInstance(self.attempt(run), Pause)
        self.permits.grant_only("e2")
        self.check_whole(self.attempt(run))
        self.assertEqual(["e1", "e2"], [c.engine for c in engines.calls])


class NearDueTest(unittest.TestCase):
    def test_expected_end_within_two_seconds_of_the_due_time(self) -> None:
        cases_ = (
            (1.0, 0.5, True),
            (3.0, 1.0, True),
            (3.1, 1.0, False),
            (0.0, 2.0, True),
            (-1.0, 1.1, False),
            (18.0, 4.0, False),
        )
        for due_in_s, remaining_s, expected in cases_:
            with self.subTest(due_in_s=due_in_s, remaining_s=remaining_s):
                self.assertEqual(expected, is_near_due(due_in_s, remaining_s))
