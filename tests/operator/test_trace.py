"""Tests of tracing identifiers through logs."""

from __future__ import annotations

import json
import unittest

from mulberrypass.operator.trace import trace


def log_line(at: str, **fields: object) -> str:
    """Return a log line."""
    doc = {"timestamp": at, "member": "frontend-1", "source": "s"} | fields
    return json.dumps(doc)


CRASH_LINES = [
    log_line("11:01", event="connections ended early", suspects=["a", "b"]),
    log_line("11:02", event="connections ended early", suspects=["c"]),
    log_line("11:03", event="part quarantined", part="b", engines=["i-1"]),
    log_line("11:04", event="part quarantined", part="c", engines=["i-2"]),
    log_line("11:05", event="not placed", id="r7", part="b"),
]
SAYS, SAID = "engine says that it leaves", "engine was said to leave"
LEAVING_LINES = [
    log_line("12:01", event=SAYS, engine="i-1", id="r1", status=200),
    log_line("12:02", event=SAID, engine="i-1", born_ms=5),
    log_line("12:03", event=SAYS, engine="i-2", id="r2", status=503),
    log_line(
        "12:04",
        event="attempt failed",
        id="r3",
        engine="i-1",
        reason="engine leaves",
    ),
    log_line("12:05", event="answered", id="r3", engine="i-2"),
]
REQUEST_LINES = [
    log_line("11:01", event="connections ended early", requests=["d1", "d2"]),
    log_line("11:02", event="connections ended early", requests=["d3"]),
    log_line("11:03", event="request quarantined", request="d1"),
    log_line("11:04", event="request quarantined", request="d3"),
    log_line(
        "11:05",
        event="not placed",
        id="r8",
        request="d1",
        reason="request_crashes_engines",
    ),
    log_line("11:06", event="answered", id="r9", request="d3"),
]
LOG_LINES = [
    log_line("10:02", event="answered", id="r1", age_ms=5),
    "  17.3  frontend-2 " + log_line("10:01", event="attempt failed", id="r1"),
    log_line("10:03", event="answered", id="r2"),
    log_line("10:04", event="results listed", job="j1", items=["i1", "i2"]),
    "no log line",
    "{broken",
    "[1, 2]",
]


class TraceTest(unittest.TestCase):
    def test_lines_of_all_instances_by_time(self) -> None:
        found = trace("r1", LOG_LINES)
        self.assertEqual(
            ["attempt failed", "answered"], [f.event for f in found]
        )
        self.assertEqual(
            "10:02  frontend-1  answered  id=r1 age_ms=5", found[1].text()
        )

    def test_items_and_jobs(self) -> None:
        for identifier in ("j1", "i2"):
            with self.subTest(identifier):
                self.assertEqual(1, len(trace(identifier, LOG_LINES)))

    def test_refusal_comes_with_the_crashes_behind_it(self) -> None:
        found = trace("r7", CRASH_LINES)
        self.assertEqual(
            ["11:01", "11:03", "11:05"], [line.at for line in found]
        )

    def test_request_held_back_comes_with_who_said_so(self) -> None:
        for identifier, expected in (
            ("r3", ["12:01", "12:02", "12:04", "12:05"]),
            ("r1", ["12:01"]),
            ("i-1", ["12:01", "12:02"]),
            ("i-2", ["12:03"]),
        ):
            with self.subTest(identifier):
                found = trace(identifier, LEAVING_LINES)
                self.assertEqual(expected, [line.at for line in found])

    def test_refused_request_comes_with_the_crashes_behind_it(self) -> None:
        for identifier in ("r8", "d1"):
            found = trace(identifier, REQUEST_LINES)
            self.assertEqual(
                ["11:01", "11:03", "11:05"], [line.at for line in found]
            )
        answered = trace("r9", REQUEST_LINES)
        self.assertEqual(["11:06"], [line.at for line in answered])

    def test_unknown(self) -> None:
        self.assertEqual([], trace("r9", LOG_LINES))
