"""The soak's check notices each promise that is broken."""

from __future__ import annotations

import unittest

from mulberrypass.platform.stand_in.engine import EngineLog, event, output
from mulberrypass.soak.promises import (
    CANCEL_S,
    DRAIN_S,
    Broken,
    Seen,
    check,
)
from mulberrypass.soak.records import (
    Attempt,
    Drained,
    JobRecord,
    Records,
    Span,
)

EVENTS = 3


def whole(name: str) -> bytes:
    """Give the whole body of an answer."""
    return b"".join(event(name, n) for n in range(1, EVENTS + 1))


def attempt(name: str = "r1", status: int = 200, **fields: object) -> Attempt:
    """Give an attempt that went well."""
    made = Attempt(name, 0, 10.0, 10.5, status, whole(name), True)
    values = {field: getattr(made, field) for field in made.__slots__}
    return Attempt(**(values | fields))


def job(**fields: object) -> JobRecord:
    """Give a job whose items all completed."""
    made = JobRecord("j1", ("i1", "i2"), [202], accepted_at=1.0)
    for position, item in enumerate(made.items):
        made.seen[position] = (item, "completed", output(item, EVENTS))
    for name, value in fields.items():
        setattr(made, name, value)
    return made


class CheckTest(unittest.TestCase):
    def check(
        self,
        attempts: tuple[Attempt, ...] = (),
        jobs: tuple[JobRecord, ...] = (),
        began: tuple[tuple[float, str], ...] = (),
        spans: tuple[Span, ...] = (),
        drained: tuple[Drained, ...] = (),
    ) -> list[str]:
        """Give the promises that are found broken."""
        log = EngineLog()
        for at, name in began:
            log.runs[name] += 1
            log.began.append((at, name))
        records = Records(list(attempts), list(jobs))
        seen = Seen(records, {"0": log}, spans, drained, EVENTS)
        found: tuple[Broken, ...] = check(seen)
        return [broken.promise for broken in found]

    def test_what_went_well(self) -> None:
        self.assertEqual(
            [],
            self.check(
                (attempt(), attempt("r2", 503, body=b"", stamped=False)),
                (job(),),
                ((10.1, "r1"),),
            ),
        )

    def test_requests(self) -> None:
        mine = "whole answer to one's own request"
        cases: dict[str, tuple[Attempt, int, list[str]]] = {
            "part of an answer": (attempt(body=event("r1", 1)), 1, [mine]),
            "another's": (attempt(body=whole("r2")), 1, [mine]),
            "no stamp": (attempt(stamped=False), 1, [mine]),
            "refused, and ran": (
                attempt(status=503),
                1,
                ["not run is true"],
            ),
            "ran twice": (attempt(), 2, ["at most once"]),
            "may run twice": (attempt(repeatable=True), 2, []),
            "failed, and ran": (attempt(status=502), 1, []),
        }
        for name, (made, runs, wanted) in cases.items():
            with self.subTest(name):
                began = ((10.1, "r1"),) * runs
                self.assertEqual(wanted, self.check((made,), began=began))

    def test_jobs(self) -> None:
        first = ("i1", "completed", output("i1", EVENTS))
        cases: dict[str, tuple[JobRecord, list[str]]] = {
            "one missing": (job(seen={0: first}), ["each item completes"]),
            "one twice": (job(seen={0: first, 1: first}), ["exactly once"]),
            "not its own": (
                job(seen={0: first, 1: ("i2", "completed", "x")}),
                ["exactly once"],
            ),
            "given up": (
                job(seen={0: first, 1: ("i2", "dead_lettered", "")}),
                ["each item completes"],
            ),
            "another result": (job(moved=["position 0"]), ["results stay"]),
            "gone": (job(missing=[(5.0, "gone")]), ["results stay"]),
        }
        for name, (made, wanted) in cases.items():
            with self.subTest(name):
                self.assertEqual(wanted, self.check(jobs=(made,)))

    def test_a_refused_job_that_runs(self) -> None:
        for statuses, wanted in (
            ([503, 429], ["not run is true"]),
            ([503, 0], []),
        ):
            with self.subTest(statuses=statuses):
                made = job(statuses=statuses, accepted_at=None, seen={})
                found = self.check(jobs=(made,), began=((2.0, "i1"),))
                self.assertEqual(wanted, found)

    def test_a_cancelled_job_that_runs_on(self) -> None:
        for after_s, wanted in (
            (CANCEL_S - 0.1, []),
            (CANCEL_S + 0.1, ["a cancelled job stops"]),
        ):
            with self.subTest(after_s=after_s):
                made = job(cancelled_at=20.0, seen={})
                found = self.check(
                    jobs=(made,), began=((20.0 + after_s, "i1"),)
                )
                self.assertEqual(wanted, found)

    def test_a_leaving_engine_that_gets_work(self) -> None:
        drained = (Drained("0", 20.0, 40.0),)
        for after_s, wanted in (
            (DRAIN_S - 0.1, []),
            (DRAIN_S + 0.1, ["a leaving engine gets nothing"]),
        ):
            with self.subTest(after_s=after_s):
                found = self.check(
                    began=((20.0 + after_s, "x"),), drained=drained
                )
                self.assertEqual(wanted, found)

    def test_a_stop_that_cuts_off(self) -> None:
        stop = Span("stop", 10.2, 16.0, True, 0)
        other = Span("stop", 10.2, 16.0, True, 1)
        kill = Span("kill", 11.0, 12.0, False)
        cut = attempt(status=0, reason="cut")
        cases: dict[str, tuple[tuple[Span, ...], list[str]]] = {
            "its own stop": ((stop,), ["a stop cuts nothing off"]),
            "another's stop": ((other,), []),
            "a kill beside it": ((stop, kill), []),
        }
        for name, (spans, wanted) in cases.items():
            with self.subTest(name):
                found = self.check((cut,), began=((10.1, "r1"),), spans=spans)
                self.assertEqual(wanted, found)


if __name__ == "__main__":
    unittest.main()


class EndedTest(unittest.TestCase):
    def test_a_job_that_is_handed_in_is_waited_for(self) -> None:
        records = Records()
        handed_in = JobRecord("j1", ("i1",))
        records.open_job(handed_in)
        self.assertFalse(records.all_ended())
        handed_in.accepted_at = 1.0
        self.assertFalse(records.all_ended())
        handed_in.ended = True
        self.assertTrue(records.all_ended())

    def test_a_job_accepted_when_nobody_reads_is_not_judged(self) -> None:
        for late in (False, True):
            with self.subTest(late=late):
                job = JobRecord("j1", ("i1",), [202], accepted_at=1.0)
                job.late = late
                seen = Seen(Records(jobs=[job]), {}, (), (), EVENTS)
                self.assertEqual(late, not check(seen))
