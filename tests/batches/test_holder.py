"""Tests of the job holder, which runs the items of jobs."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
import threading
import time
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.item_attempt import READ_TIMEOUT_S
from mulberrypass.batches.store import BatchStore
from mulberrypass.engine.api import EngineFailed
from mulberrypass.platform.lots import item_request
from mulberrypass.policy.batches.heads import claim, hand_over
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, job, route
from tests.relay.fakes import (
    CUT,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    event,
    make_dependencies,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.batch_jobs import JobHead, VersionedHead

A, B = "entry@a", "entry@b"
OTHER_HOST = "other.example"
WAIT_TIMEOUT_S = 5.0


def wait_until(condition: Callable[[], bool]) -> bool:
    """Wait for a condition; return whether it held in time."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.01)
    return True


class HolderCase(unittest.TestCase):
    """A holder on an in-memory table and scripted engines."""

    def setUp(self) -> None:
        self.rows = RowState()
        self.store = BatchStore(self.rows, sleep=lambda _s: None)
        self.live = {A, B}
        self.known = {A, B}

    def holder(self, *scripts: Script | EngineFailed) -> JobHolder:
        """Return a started holder."""
        self.engines = ScriptedEngines(*scripts)
        self.permits = ScriptedPermits("e1", "e2")
        dependencies = make_dependencies(self.engines, self.permits, route())
        holder = JobHolder(
            A,
            self.store,
            dependencies,
            lambda: Members(frozenset(self.live), frozenset(self.known)),
            item_request,
        )
        holder.start()
        self.addCleanup(holder.stop)
        return holder

    def accept(self, holder: JobHolder, items: int = 1) -> None:
        """Accept a job on the holder's member."""
        new_job = job(items=items)
        accepted_job = self.store.accept(new_job, route(), A).ok
        assert accepted_job.head is not None
        holder.add_accepted(accepted_job.head, new_job.items)

    def results(self) -> list[tuple[str, str]]:
        """Return state and output of each stored result."""
        page = self.store.results(HOST, "job-1", 0, None).ok
        return [(o.state.value, o.output) for o in page.outcomes]


class ClockStepTest(HolderCase):
    def test_wrong_clock_of_the_acceptor_gives_up_no_item(self) -> None:
        self.store = BatchStore(
            self.rows, sleep=lambda _s: None, clock=lambda: 0.0
        )
        holder = self.holder(Script(parts=[event(1), event(2)]))
        self.accept(holder)
        self.assertTrue(wait_until(lambda: bool(self.results())))
        self.assertEqual([("completed", "1\n2")], self.results())

    def test_wrong_clock_of_a_leaver_leaves_no_item_lying(self) -> None:
        with patch("time.time", return_value=time.time() + 3_600):
            left = self.leave_one_item(0.3)
        holder = self.holder(Script(parts=[event(1)]))
        holder.update_head(left)
        self.assertTrue(wait_until(lambda: bool(self.results())))

    def test_restart_after_a_hand_over_waits_for_the_leaver_once(
        self,
    ) -> None:
        """The time since the hand-over isn't counted from zero again."""
        left = self.leave_one_item(2.0)
        time.sleep(2.5)
        holder = self.holder(Script(parts=[event(1)]))
        restarted_at = time.monotonic()
        holder.update_head(left)
        self.assertTrue(wait_until(lambda: bool(self.results())))
        self.assertLess(time.monotonic() - restarted_at, 1.0)

    def leave_one_item(self, grace_s: float) -> VersionedHead:
        """Hand a job with a running item over to this member."""
        released = threading.Event()
        self.addCleanup(released.set)
        engines = ScriptedEngines(Script(before=released.wait))
        leaver = JobHolder(
            B,
            self.store,
            make_dependencies(engines, ScriptedPermits("e1"), route()),
            lambda: Members(frozenset({A}), frozenset({A, B})),
            item_request,
        )
        new_job = job(items=1)
        head = self.store.accept(new_job, route(), B).ok.head
        assert head is not None
        leaver.add_accepted(head, new_job.items)
        leaver.start()
        self.addCleanup(leaver.stop)
        self.assertTrue(wait_until(lambda: leaver.busy))
        leaver.leave(grace_s)
        self.assertTrue(wait_until(lambda: self.head().holder == A))
        self.assertEqual(frozenset({0}), self.head().busy)
        return self.store.read(HOST, "job-1").ok

    def head(self) -> JobHead:
        """Return the stored head."""
        return self.store.read(HOST, "job-1").ok.head


class SameIdTest(HolderCase):
    """Jobs of two hosts with the same id were taken for one job.

    The result of one could be listed as that of the other.
    """

    def test_each_job_gets_its_own_result(self) -> None:
        accepted = threading.Event()

        def wait_for_both() -> None:
            accepted.wait(WAIT_TIMEOUT_S)

        scripts = [
            Script(parts=[event(1)], before=wait_for_both) for _ in range(2)
        ]
        self.engines = ScriptedEngines(*scripts)
        dependencies = make_dependencies(
            self.engines,
            ScriptedPermits("e1", "e2"),
            *(route(host=host) for host in (HOST, OTHER_HOST)),
        )
        live = Members(frozenset(self.live), frozenset(self.known))
        holder = JobHolder(
            A, self.store, dependencies, lambda: live, item_request
        )
        holder.start()
        self.addCleanup(holder.stop)
        for host in (HOST, OTHER_HOST):
            new_job = replace(job(items=1), host=host)
            head = self.store.accept(new_job, route(host=host), A).ok.head
            assert head is not None
            holder.add_accepted(head, new_job.items)
            self.assertTrue(wait_until(lambda: holder.busy))
        accepted.set()
        for host in (HOST, OTHER_HOST):
            with self.subTest(host):
                self.assertTrue(wait_until(partial(self.listed, host)))
        self.assertEqual(
            {HOST, OTHER_HOST}, {req.host for _, req in self.engines.sent}
        )

    def listed(self, host: str) -> bool:
        """Return whether a host's job has a result."""
        return bool(self.store.results(host, "job-1", 0, None).ok.outcomes)


class RunTest(HolderCase):
    def test_outcomes(self) -> None:
        complete = Script(parts=[event(1), event(2)])
        refused = Script(503, not_run=True)
        error = Script(500)
        unprocessable = Script(422)
        completed = [("completed", "1\n2")]
        cases: dict[str, tuple[list[Script | EngineFailed], object]] = {
            "completes": ([complete], completed),
            "refused first": ([refused, complete], completed),
            "cut off, resumed": (
                [Script(parts=[event(1), CUT]), Script(parts=[event(2)])],
                completed,
            ),
            "wrong event, resumed": (
                [
                    Script(parts=[event(1), event(3)]),
                    Script(parts=[event(2)]),
                ],
                completed,
            ),
            "no answer": ([CUT, complete], completed),
            "unprocessable": ([unprocessable], [("abandoned", "")]),
            "fails at each attempt": (
                [error, error, error],
                [("abandoned", "")],
            ),
            "fails twice": ([error, error, complete], completed),
        }
        for name, (scripts, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                holder = self.holder(*scripts)
                self.accept(holder)
                self.assertTrue(wait_until(lambda: bool(self.results())))
                self.assertEqual(expected, self.results())
                self.assertEqual(len(scripts), len(self.engines.sent))

    def test_reads_time_out_on_silent_engines(self) -> None:
        """Each read has a short timeout.

        Without one, an item waited 120 s for its next event (soak run).
        """
        holder = self.holder(Script(parts=[event(1), event(2)]))
        self.accept(holder)
        self.assertTrue(wait_until(lambda: bool(self.results())))
        latest = time.monotonic() + READ_TIMEOUT_S
        self.assertEqual(
            [], [d for d in self.engines.deadlines if d.at > latest]
        )

    def test_revoked_item_keeps_its_output(self) -> None:
        def revoke() -> None:
            assert self.permits.revoke is not None
            self.permits.revoke()

        cut = Script(parts=[event(1), CUT], before=revoke)
        holder = self.holder(cut, Script(parts=[event(2)]))
        self.accept(holder)
        self.assertTrue(wait_until(lambda: bool(self.results())))
        self.assertEqual([("completed", "1\n2")], self.results())
        self.assertEqual(1, self.engines.sent[1][1].after_event)
        self.assertEqual("cancelled", self.permits.released[0])

    def test_ended_job_is_not_run(self) -> None:
        holder = self.holder()
        new_job = job()
        accepted_job = self.store.accept(new_job, route(), A).ok
        ended = self.store.end(HOST, "job-1").ok
        holder.update_head(ended)
        assert accepted_job.head is not None
        holder.add_accepted(accepted_job.head, new_job.items)
        time.sleep(0.3)
        self.assertEqual([], self.engines.sent)

    def test_outcomes_are_kept_while_the_store_is_down(self) -> None:
        holder = self.holder(
            Script(
                parts=[event(1)],
                before=lambda: setattr(self.rows.faults, "down", True),
            )
        )
        self.accept(holder)
        self.assertTrue(wait_until(lambda: holder.busy))
        self.assertTrue(wait_until(lambda: self.engines.log == ["finish"]))
        self.rows.faults.down = False
        self.assertTrue(wait_until(lambda: bool(self.results())))


class LeaveTest(HolderCase):
    def test_jobs_are_handed_over(self) -> None:
        holder = self.holder()
        self.permits.silent = True
        self.accept(holder, items=2)
        self.live.discard(A)
        holder.leave(8.0)
        self.assertTrue(wait_until(lambda: self._current_holder() == B))

    def test_job_accepted_while_leaving_is_handed_over(self) -> None:
        """Jobs accepted after the holder began to leave are handed over too.

        The mix benchmark of lcrc-shelf failed with seed 719080042388.
        """
        holder = self.holder()
        self.permits.silent = True
        self.live.discard(A)
        holder.leave(8.0)
        self.accept(holder, items=2)
        self.assertTrue(wait_until(lambda: self._current_holder() == B))

    def _current_holder(self) -> str:
        return str(self.store.read(HOST, "job-1").ok.head.holder)


class TakeOverTest(HolderCase):
    def test_job_of_a_failed_member(self) -> None:
        self.store.accept(job(items=1), route(), "entry@lost")
        self.live = self.known = {A}
        holder = self.holder(Script(parts=[event(1)]))
        holder._takeover._started_at -= 60.0
        holder.on_all_rows(tuple(self.rows.rows.values()))
        self.assertTrue(wait_until(lambda: bool(self.results())))
        self.assertEqual([("completed", "1")], self.results())

    def test_holder_and_heir_are_lost_in_quick_succession(self) -> None:
        """A job whose heir is lost too, before it ran an item, goes on."""
        lost, heir = "entry@lost", "entry@heir"
        self.store.accept(job(items=1), route(), lost)
        self.live = {A, heir}
        self.known = {A, heir, lost}
        holder = self.holder(Script(parts=[event(1)]))
        holder._takeover._started_at -= 60.0
        holder.on_all_rows(tuple(self.rows.rows.values()))
        self.known.discard(lost)
        claimed = self.store.replace_head(
            HOST, "job-1", lambda head: claim(head, heir)
        )
        holder.update_head(claimed.ok)
        self.assertFalse(self.results())
        self.live.discard(heir)
        self.known.discard(heir)
        self.assertTrue(wait_until(lambda: bool(self.results())))
        self.assertEqual(A, self.store.read(HOST, "job-1").ok.head.holder)

    def test_member_returns_under_its_name_without_its_memory(self) -> None:
        """A restarted holder runs its jobs at once, taking nothing over.

        Items that it ran for another holder when it lost power run too.
        """
        self.store.accept(job(items=2), route(), B)
        self.store.replace_head(
            HOST,
            "job-1",
            lambda head: hand_over(
                head, frozenset({0}), B, {A}, 0.5, time.time()
            ),
        )
        script = Script(parts=[event(1)])
        holder = self.holder(script, script)
        holder.on_all_rows(tuple(self.rows.rows.values()))
        self.assertTrue(wait_until(lambda: len(self.results()) == 2))
