"""Tests that the checks of customers report each kind of violation."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

from mulberrypass.platform.stand_in.engine import EngineLog
from mulberrypass.soak.customer_checks import (
    WINDOW_S,
    check_customers,
    largest_window,
)
from mulberrypass.soak.records import AttemptRecord, JobRecord, SoakRecords

if TYPE_CHECKING:
    from collections.abc import Iterable

LIMITS = {"c1": (2.0, 3.0)}
# (2 x 5 + 3) x 1.1 + 20
BOUND = 34.3


def attempt(name: str, customer: str = "", held: bool = True) -> AttemptRecord:
    """Return a request of a customer."""
    return AttemptRecord(name, 0, 1.0, 2.0, 200, customer=customer, held=held)


def log_of(
    *runs: tuple[float, str], customers: dict[str, set[str]] | None = None
) -> EngineLog:
    """Return the log of an engine that ran requests at times."""
    log = EngineLog(customers=customers or {})
    for at, name in runs:
        log.runs[name] += 1
        log.began.append((at, name))
    return log


def check(
    attempts: Iterable[AttemptRecord],
    logs: Iterable[EngineLog],
    jobs: Iterable[JobRecord] = (),
) -> list[tuple[str, str]]:
    """Return guarantee and subject of each violation."""
    records = SoakRecords(list(attempts), list(jobs))
    return [
        (found.guarantee, found.subject)
        for found in check_customers(records, logs, LIMITS)
    ]


class EngineSeesTest(unittest.TestCase):
    """An engine is told a key, or another customer than the key's holder."""

    def see(self, seen: set[str]) -> list[tuple[str, str]]:
        """Return what is found if an engine sees names for one of c1's."""
        log = log_of((1.0, "r1"), customers={"r1": seen})
        return check([attempt("r1", "c1")], [log])

    def test_own_customer(self) -> None:
        self.assertEqual([], self.see({"c1"}))

    def test_wrong_customers(self) -> None:
        found = [("an engine sees the customer", "r1")]
        for seen in ({"c2"}, {""}, {"c1", "c2"}, {"c2,c1"}):
            with self.subTest(seen=seen):
                self.assertEqual(found, self.see(seen))

    def test_customer_of_a_request_without_one(self) -> None:
        log = log_of((1.0, "r1"), customers={"r1": {"c1"}})
        found = [("an engine sees the customer", "r1")]
        self.assertEqual(found, check([attempt("r1")], [log]))

    def test_item_of_another_customer(self) -> None:
        log = log_of((1.0, "i1"), customers={"i1": {"c1"}, "i2": {"c2"}})
        job = JobRecord("j1", ("i1", "i2"), customer="c2")
        found = [("an engine sees the customer", "i1")]
        self.assertEqual(found, check([], [log], [job]))

    def test_probe_that_is_not_recorded(self) -> None:
        log = log_of((1.0, "p1"), customers={"p1": {"c1", "c2"}})
        self.assertEqual([], check([], [log]))

    def test_key(self) -> None:
        log = log_of((1.0, "r1"))
        log.keyed.append("r1")
        found = [("an engine sees no key", "r1")]
        self.assertEqual(found, check([attempt("r1", "c1")], [log]))


class UnknownKeyTest(unittest.TestCase):
    """A request or job with a key that no configuration held runs."""

    def test_request(self) -> None:
        sent = [attempt("r1", held=False), attempt("r2", held=False)]
        found = [("an unknown key runs nothing", "r1")]
        self.assertEqual(found, check(sent, [log_of((1.0, "r1"))]))

    def test_job(self) -> None:
        found = [("an unknown key runs nothing", "j1")]
        cases: tuple[tuple[int, list[str], list[tuple[str, str]]], ...] = (
            (202, [], found),
            (503, ["i1"], found),
            (401, [], []),
        )
        for status, ran, expected in cases:
            with self.subTest(status=status):
                job = JobRecord("j1", ("i1",), [status], held=False)
                log = log_of(*((1.0, name) for name in ran))
                self.assertEqual(expected, check([], [log], [job]))


class WindowTest(unittest.TestCase):
    """More requests of a customer run in 5 s than its limit allows."""

    def run_many(self, count: int, customer: str, times: int = 1) -> list[str]:
        """Return what is found if requests run in one window.

        :param times: how often each of them runs
        """
        names = [f"r{number}" for number in range(count)]
        logs = [
            log_of(*((10.0 + at * 0.1, name) for at, name in enumerate(names)))
            for _ in range(times)
        ]
        sent = [attempt(name, customer) for name in names]
        return [guarantee for guarantee, _ in check(sent, logs)]

    def test_bound(self) -> None:
        allowed = int(BOUND)
        self.assertEqual([], self.run_many(allowed, "c1"))
        self.assertEqual(
            ["a window's bound holds"], self.run_many(allowed + 1, "c1")
        )

    def test_customer_without_a_limit(self) -> None:
        self.assertEqual([], self.run_many(49, "c2"))

    def test_each_request_counts_once(self) -> None:
        self.assertEqual([], self.run_many(int(BOUND), "c1", times=2))

    def test_window_slides(self) -> None:
        self.assertEqual(0, largest_window([]))
        self.assertEqual(3, largest_window([9.0, 4.5, 1.0, 5.5]))
        self.assertEqual(1, largest_window([1.0, 1.0 + WINDOW_S]))


class StrangerTest(unittest.TestCase):
    """A job is read, ended or resent with another customer's key."""

    def test_job(self) -> None:
        job = JobRecord("j1", ("i1",), customer="c1", strangers=["read"])
        found = [("a job is its customer's only", "j1")]
        self.assertEqual(found, check([], [log_of()], [job]))


if __name__ == "__main__":
    unittest.main()
