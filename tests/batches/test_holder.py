"""Tests of the member that runs a job's items."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.run import SILENT_S
from mulberrypass.batches.store import BatchStore
from mulberrypass.engine.api import EngineFailed
from mulberrypass.platform.lots import item_request
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, job, route
from tests.relay.fakes import (
    CUT,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    event,
    tools,
)

if TYPE_CHECKING:
    from collections.abc import Callable

A, B = "entry@a", "entry@b"
PATIENCE_S = 5.0


def until(holds: Callable[[], bool]) -> bool:
    """Wait until something holds; whether it did in time."""
    end = time.monotonic() + PATIENCE_S
    while not holds():
        if time.monotonic() > end:
            return False
        time.sleep(0.01)
    return True


class HolderCase(unittest.TestCase):
    """One holder over a table in memory and scripted engines."""

    def setUp(self) -> None:
        self.rows = RowState()
        self.store = BatchStore(self.rows, sleep=lambda _s: None)
        self.live = {A, B}
        self.known = {A, B}

    def holder(self, *scripts: Script | EngineFailed) -> JobHolder:
        """Start a holder."""
        self.engines = ScriptedEngines(*scripts)
        self.permits = ScriptedPermits("e1", "e2")
        used = tools(self.engines, self.permits, route())
        holder = JobHolder(
            A,
            self.store,
            used,
            lambda: Members(frozenset(self.live), frozenset(self.known)),
            item_request,
        )
        holder.start()
        self.addCleanup(holder.stop)
        return holder

    def accept(self, holder: JobHolder, items: int = 1) -> None:
        """Accept a job at the holder."""
        made = job(items=items)
        taken = self.store.accept(made, route(), A).ok
        assert taken.head is not None
        holder.accepted(taken.head, made.items)

    def results(self) -> list[tuple[str, str]]:
        """Give state and output of what is listed."""
        page = self.store.results(HOST, "job-1", 0, None).ok
        return [(o.state.value, o.output) for o in page.outcomes]


class RunTest(HolderCase):
    def test_outcomes(self) -> None:
        well = Script(parts=[event(1), event(2)])
        refused = Script(503, not_run=True)
        error = Script(500)
        never = Script(422)
        done = [("completed", "1\n2")]
        cases: dict[str, tuple[list[Script | EngineFailed], object]] = {
            "well": ([well], done),
            "refused first": ([refused, well], done),
            "cut, goes on": (
                [Script(parts=[event(1), CUT]), Script(parts=[event(2)])],
                done,
            ),
            "wrong event, goes on": (
                [
                    Script(parts=[event(1), event(3)]),
                    Script(parts=[event(2)]),
                ],
                done,
            ),
            "no answer": ([CUT, well], done),
            "can't be done": ([never], [("abandoned", "")]),
            "fails at each run": (
                [error, error, error],
                [("abandoned", "")],
            ),
            "fails twice": ([error, error, well], done),
        }
        for name, (scripts, wanted) in cases.items():
            with self.subTest(name):
                self.setUp()
                holder = self.holder(*scripts)
                self.accept(holder)
                self.assertTrue(until(lambda: bool(self.results())))
                self.assertEqual(wanted, self.results())
                self.assertEqual(len(scripts), len(self.engines.sent))

    def test_no_engine_is_waited_for_long_in_silence(self) -> None:
        """Found by the soak: an item that waited 120 s for its next event."""
        holder = self.holder(Script(parts=[event(1), event(2)]))
        self.accept(holder)
        self.assertTrue(until(lambda: bool(self.results())))
        latest = time.monotonic() + SILENT_S
        self.assertEqual(
            [], [d for d in self.engines.patience if d.at > latest]
        )

    def test_a_revoked_item_keeps_its_text(self) -> None:
        def revoke() -> None:
            assert self.permits.revoke is not None
            self.permits.revoke()

        cut = Script(parts=[event(1), CUT], before=revoke)
        holder = self.holder(cut, Script(parts=[event(2)]))
        self.accept(holder)
        self.assertTrue(until(lambda: bool(self.results())))
        self.assertEqual([("completed", "1\n2")], self.results())
        self.assertEqual(1, self.engines.sent[1][1].after_event)
        self.assertEqual("cancelled", self.permits.released[0])

    def test_an_ended_job_runs_no_more(self) -> None:
        holder = self.holder()
        made = job()
        taken = self.store.accept(made, route(), A).ok
        ended = self.store.end(HOST, "job-1").ok
        holder.see(ended)
        assert taken.head is not None
        holder.accepted(taken.head, made.items)
        time.sleep(0.3)
        self.assertEqual([], self.engines.sent)

    def test_outcomes_wait_for_the_store(self) -> None:
        holder = self.holder(
            Script(
                parts=[event(1)],
                before=lambda: setattr(self.rows.faults, "down", True),
            )
        )
        self.accept(holder)
        self.assertTrue(until(lambda: holder.busy))
        self.assertTrue(until(lambda: self.engines.log == ["finish"]))
        self.rows.faults.down = False
        self.assertTrue(until(lambda: bool(self.results())))


class LeaveTest(HolderCase):
    def test_jobs_go_to_another_member(self) -> None:
        holder = self.holder()
        self.permits.silent = True
        self.accept(holder, items=2)
        self.live.discard(A)
        holder.leave(8.0)
        self.assertTrue(until(lambda: self._holder_of() == B))

    def test_a_job_that_comes_later_goes_on_too(self) -> None:
        """Seen on the bench: mix, seed 719080042388, of lcrc-shelf."""
        holder = self.holder()
        self.permits.silent = True
        self.live.discard(A)
        holder.leave(8.0)
        self.accept(holder, items=2)
        self.assertTrue(until(lambda: self._holder_of() == B))

    def _holder_of(self) -> str:
        return str(self.store.read(HOST, "job-1").ok.head.holder)


class TakeOverTest(HolderCase):
    def test_a_job_of_a_lost_member(self) -> None:
        self.store.accept(job(items=1), route(), "entry@lost")
        self.live = self.known = {A}
        holder = self.holder(Script(parts=[event(1)]))
        holder._started_at -= 60.0
        holder.on_all_rows(tuple(self.rows.rows.values()))
        self.assertTrue(until(lambda: bool(self.results())))
        self.assertEqual([("completed", "1")], self.results())
