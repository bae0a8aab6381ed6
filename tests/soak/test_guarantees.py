"""Tests that the checks report a violation of each guarantee."""

from __future__ import annotations

from dataclasses import replace
import signal
from typing import Any
import unittest

from mulberrypass.platform.stand_in.engine import EngineLog, event, output
from mulberrypass.soak.guarantees import (
    CANCEL_GRACE_S,
    DRAIN_GRACE_S,
    Observations,
    Violation,
    check,
    check_ends,
)
from mulberrypass.soak.records import (
    MOVE,
    RELOAD,
    STOP,
    AttemptRecord,
    Departure,
    Disturbance,
    DrainPeriod,
    Halt,
    JobRecord,
    ReloadRecord,
    SoakRecords,
)

EVENTS = 3


def complete_body(name: str) -> bytes:
    """Return the body of a complete answer."""
    return b"".join(event(name, n) for n in range(1, EVENTS + 1))


def attempt(
    name: str = "r1", status: int = 200, **fields: Any
) -> AttemptRecord:
    """Return a successful attempt, changed by the given fields."""
    made = AttemptRecord(
        name, 0, 10.0, 10.5, status, complete_body(name), True
    )
    return replace(made, **fields)


def job(**fields: object) -> JobRecord:
    """Return a job with all items completed, changed by the fields."""
    made = JobRecord("j1", ("i1", "i2"), [202], accepted_at=1.0)
    for position, item in enumerate(made.items):
        made.results[position] = (item, "completed", output(item, EVENTS))
    for name, value in fields.items():
        setattr(made, name, value)
    return made


class CheckTest(unittest.TestCase):
    def check(
        self,
        attempts: tuple[AttemptRecord, ...] = (),
        jobs: tuple[JobRecord, ...] = (),
        began: tuple[tuple[float, str], ...] = (),
        disturbances: tuple[Disturbance, ...] = (),
        drains: tuple[DrainPeriod, ...] = (),
    ) -> list[str]:
        """Return the guarantees that are reported as violated."""
        log = EngineLog()
        for at, name in began:
            log.runs[name] += 1
            log.began.append((at, name))
        records = SoakRecords(list(attempts), list(jobs))
        observed = Observations(
            records, {"0": log}, disturbances, drains, EVENTS
        )
        found: tuple[Violation, ...] = check(observed)
        return [violation.guarantee for violation in found]

    def test_no_violations(self) -> None:
        self.assertEqual(
            [],
            self.check(
                (attempt(), attempt("r2", 503, body=b"", stamped=False)),
                (job(),),
                ((10.1, "r1"),),
            ),
        )

    def test_requests(self) -> None:
        guarantee = "whole answer to one's own request"
        cases: dict[str, tuple[AttemptRecord, int, list[str]]] = {
            "part of an answer": (
                attempt(body=event("r1", 1)),
                1,
                [guarantee],
            ),
            "another's": (attempt(body=complete_body("r2")), 1, [guarantee]),
            "no stamp": (attempt(stamped=False), 1, [guarantee]),
            "refused, and ran": (
                attempt(status=503),
                1,
                ["not run is true"],
            ),
            "ran twice": (attempt(), 2, ["at most once"]),
            "may run twice": (attempt(resumable=True), 2, []),
            "failed, and ran": (attempt(status=502), 1, []),
        }
        for name, (sent, runs, expected) in cases.items():
            with self.subTest(name):
                began = ((10.1, "r1"),) * runs
                self.assertEqual(expected, self.check((sent,), began=began))

    def test_jobs(self) -> None:
        first = ("i1", "completed", output("i1", EVENTS))
        cases: dict[str, tuple[JobRecord, list[str]]] = {
            "one missing": (job(results={0: first}), ["each item completes"]),
            "one twice": (job(results={0: first, 1: first}), ["exactly once"]),
            "not its own": (
                job(results={0: first, 1: ("i2", "completed", "x")}),
                ["exactly once"],
            ),
            "given up": (
                job(results={0: first, 1: ("i2", "dead_lettered", "")}),
                ["each item completes"],
            ),
            "another result": (
                job(inconsistencies=["position 0"]),
                ["results stay"],
            ),
            "gone": (job(not_found=[(5.0, "gone")]), ["results stay"]),
        }
        for name, (made, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, self.check(jobs=(made,)))

    def test_rejected_job_that_ran(self) -> None:
        for statuses, expected in (
            ([503, 429], ["not run is true"]),
            ([503, 0], []),
        ):
            with self.subTest(statuses=statuses):
                rejected = job(statuses=statuses, accepted_at=None, results={})
                found = self.check(jobs=(rejected,), began=((2.0, "i1"),))
                self.assertEqual(expected, found)

    def test_cancelled_job_that_keeps_running(self) -> None:
        for after_s, expected in (
            (CANCEL_GRACE_S - 0.1, []),
            (CANCEL_GRACE_S + 0.1, ["a cancelled job stops"]),
        ):
            with self.subTest(after_s=after_s):
                cancelled = job(cancelled_at=20.0, results={})
                found = self.check(
                    jobs=(cancelled,), began=((20.0 + after_s, "i1"),)
                )
                self.assertEqual(expected, found)

    def test_draining_engine_that_gets_new_work(self) -> None:
        drains = (DrainPeriod("0", 20.0, 40.0),)
        for after_s, expected in (
            (DRAIN_GRACE_S - 0.1, []),
            (DRAIN_GRACE_S + 0.1, ["a leaving engine gets nothing"]),
        ):
            with self.subTest(after_s=after_s):
                found = self.check(
                    began=((20.0 + after_s, "x"),), drains=drains
                )
                self.assertEqual(expected, found)

    def test_engine_that_says_it_leaves_and_gets_new_work(self) -> None:
        """An instance is told at 10.5 s; the engine has another id at 20 s."""
        guarantee = "an engine that says it leaves gets nothing"
        disturbed = Disturbance("store silent", 9.0, 30.0, False)
        for name, fields, halts, expected in (
            ("sent later", {"began": 10.6}, (), [guarantee]),
            ("sent before", {"began": 10.4}, (), []),
            ("other instance", {"began": 10.6, "instance": 1}, (), []),
            ("restarted", {"began": 10.6}, (Halt(0, 9.0, 10.55),), []),
            ("frozen", {"began": 10.6}, (Halt(0, 10.65, 12.0),), []),
            ("other halted", {"began": 10.6}, (Halt(1, 9, 12),), [guarantee]),
            ("halted before", {"began": 10.6}, (Halt(0, 9, 10),), [guarantee]),
            ("halted after", {"began": 10.6}, (Halt(0, 11, 12),), [guarantee]),
            ("failed", {"began": 10.6, "status": 0}, (), [guarantee]),
            ("new id", {"began": 20.6, "ended": 21.0}, (), []),
        ):
            with self.subTest(name):
                values: dict[str, Any] = {"ended": 11.0} | fields
                late = attempt("r2", **values)
                log = EngineLog()
                log.said = [(10.1, "r1")]
                log.began = [(10.1, "r1"), (late.began + 0.1, "r2")]
                for _, request_id in log.began:
                    log.runs[request_id] += 1
                observed = Observations(
                    SoakRecords([attempt(), late]),
                    {"0": log},
                    (disturbed,),
                    (),
                    EVENTS,
                    departures=(Departure("0", 9.5, 20.0),),
                    halts=halts,
                )
                found = [violation.guarantee for violation in check(observed)]
                self.assertEqual(expected, found)

    def test_reload_that_interrupts_a_request(self) -> None:
        reload = Disturbance(RELOAD, 10.2, 12.2, True, 0)
        other = Disturbance(RELOAD, 10.2, 12.2, True, 1)
        past = Disturbance(RELOAD, 8.0, 10.0, True, 0)
        stop = Disturbance(STOP, 9.0, 15.0, True, 0)
        kill = Disturbance("kill", 11.0, 12.0, False)
        ran = ((10.1, "r1"),)
        cut = "a reload cuts nothing off"
        lost = attempt(status=0, reason="cut")
        refused = attempt(status=0, reason="refused", began=10.3, ended=10.31)
        cases: dict[
            str,
            tuple[
                AttemptRecord,
                tuple[tuple[float, str], ...],
                tuple[Disturbance, ...],
                list[str],
            ],
        ] = {
            "ran and lost": (lost, ran, (reload,), [cut]),
            "held and lost": (lost, (), (reload,), [cut]),
            "an idle connection closed": (refused, (), (reload,), [cut]),
            "an idle connection closed by a stop beside it": (
                refused,
                (),
                (stop, reload),
                [],
            ),
            "lost during a stop too": (
                lost,
                ran,
                (stop, reload),
                ["a stop cuts nothing off", cut],
            ),
            "answered": (attempt(), ran, (reload,), []),
            "another's reload": (lost, ran, (other,), []),
            "an earlier reload": (lost, ran, (past,), []),
            "a kill beside it": (lost, ran, (reload, kill), []),
        }
        for name, (sent, began, disturbances, expected) in cases.items():
            with self.subTest(name):
                found = self.check(
                    (sent,), began=began, disturbances=disturbances
                )
                self.assertEqual(expected, found)

    def test_process_that_a_reload_ended(self) -> None:
        codes = (0, -signal.SIGKILL, -signal.SIGHUP, 1)
        found = [v.guarantee for v in check_ends("127.0.60.1", codes)]
        self.assertEqual(["a reload ends no process"], found)

    def test_reload_that_is_not_handled(self) -> None:
        kill = Disturbance("kill", 11.0, 12.0, False)
        for taken, disturbances, expected in (
            (False, (), ["a reload is handled"]),
            (True, (), []),
            (False, (kill,), []),
        ):
            with self.subTest(taken=taken, disturbances=disturbances):
                reload = ReloadRecord(0, 10.0, 12.0, taken)
                observed = Observations(
                    SoakRecords(), {}, disturbances, (), EVENTS, (reload,)
                )
                found = [v.guarantee for v in check(observed)]
                self.assertEqual(expected, found)

    def test_planned_stop_that_interrupts_a_request(self) -> None:
        stop = Disturbance("stop", 10.2, 16.0, True, 0)
        other = Disturbance("stop", 10.2, 16.0, True, 1)
        kill = Disturbance("kill", 11.0, 12.0, False)
        interrupted = attempt(status=0, reason="cut")
        cases: dict[str, tuple[tuple[Disturbance, ...], list[str]]] = {
            "its own stop": ((stop,), ["a stop cuts nothing off"]),
            "another's stop": ((other,), []),
            "a kill beside it": ((stop, kill), []),
        }
        for name, (disturbances, expected) in cases.items():
            with self.subTest(name):
                found = self.check(
                    (interrupted,),
                    began=((10.1, "r1"),),
                    disturbances=disturbances,
                )
                self.assertEqual(expected, found)

    def test_move_of_the_routes_that_cuts_a_request(self) -> None:
        cut = attempt(status=0, reason="incomplete answer")
        for began, wanted in (
            (10.2, ["a move of the routes cuts nothing off"]),
            (11.0, []),
        ):
            move = Disturbance(MOVE, began, began + 2.5, True)
            found = self.check((cut,), disturbances=(move,))
            self.assertEqual(wanted, found)


class JobRecordTest(unittest.TestCase):
    def test_unfinished_job_is_waited_for(self) -> None:
        records = SoakRecords()
        submitted = JobRecord("j1", ("i1",))
        records.add_job(submitted)
        self.assertFalse(records.all_done())
        submitted.accepted_at = 1.0
        self.assertFalse(records.all_done())
        submitted.done = True
        self.assertTrue(records.all_done())

    def test_job_accepted_after_polling_stopped_is_not_checked(self) -> None:
        for late in (False, True):
            with self.subTest(late=late):
                job = JobRecord("j1", ("i1",), [202], accepted_at=1.0)
                job.accepted_late = late
                observed = Observations(
                    SoakRecords(jobs=[job]), {}, (), (), EVENTS
                )
                self.assertEqual(late, not check(observed))


if __name__ == "__main__":
    unittest.main()
