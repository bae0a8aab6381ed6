"""Tests of the non-blocking log writer and of event metrics."""

from __future__ import annotations

import io
import json
import threading
import unittest

from mulberrypass.runtime.log_lines import LineWriter
from mulberrypass.runtime.log_metrics import EventMetrics

WAIT_S = 30.0


class FullPipe(io.StringIO):
    """A stream whose writes block until it is drained."""

    def __init__(self) -> None:
        super().__init__()
        self.drained = threading.Event()

    def write(self, text: str) -> int:
        """Block until the pipe is drained."""
        self.drained.wait(WAIT_S)
        return super().write(text)


class FullPipeTest(unittest.TestCase):
    def test_full_pipe_does_not_block_logging(self) -> None:
        pipe = FullPipe()
        writer = LineWriter(pipe, max_lines=100)
        for number in range(5_000):
            writer.msg(str(number))
        self.assertFalse(pipe.drained.is_set())
        self.assertGreater(writer.dropped, 0)
        pipe.drained.set()
        writer.stop()
        lines = pipe.getvalue().splitlines()
        reports = [json.loads(ln) for ln in lines if ln.startswith("{")]
        self.assertEqual(
            writer.dropped, sum(int(doc["count"]) for doc in reports)
        )
        self.assertEqual(5_000, len(lines) - len(reports) + writer.dropped)

    def test_lines_are_written_in_order(self) -> None:
        stream = io.StringIO()
        writer = LineWriter(stream)
        for number in range(100):
            writer.msg(str(number))
        writer.stop()
        expected = [str(number) for number in range(100)]
        self.assertEqual(expected, stream.getvalue().split())


class EventMetricsTest(unittest.TestCase):
    def test_events_and_latencies(self) -> None:
        metrics = EventMetrics()
        metrics.gauge("engines", "engines", lambda: 5.0)
        for first_ms in (40, 250):
            metrics.processor(
                None,
                "info",
                {
                    "event": "answered",
                    "first_ms": first_ms,
                    "queued_ms": 1,
                    "age_ms": 900,
                },
            )
        metrics.processor(
            None, "info", {"event": "not placed", "reason": "late_start"}
        )
        text = metrics.text().decode()
        for line in (
            'mulberry_events_total{event="answered",reason=""} 2.0',
            'mulberry_events_total{event="not placed",reason="late_start"}'
            " 1.0",
            'mulberry_first_seconds_bucket{le="0.05"} 1.0',
            'mulberry_first_seconds_bucket{le="0.3"} 2.0',
            "mulberry_engines 5.0",
        ):
            with self.subTest(line):
                self.assertIn(line, text)
