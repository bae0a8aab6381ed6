"""Tests of the metrics of a process."""

from __future__ import annotations

import unittest

from mulberrypass.runtime.log_metrics import EventMetrics


class CounterTest(unittest.TestCase):
    """Counts by service were in the state dump only."""

    def test_counter_with_labels_is_read_on_each_collection(self) -> None:
        events = EventMetrics()
        counts: dict[tuple[str, ...], int]
        counts = {("chat", "won"): 2, ("chat", "lost"): 1}
        events.labelled_counter(
            "second_runs", "help", ("service", "result"), lambda: counts
        )
        for count in (2, 5):
            counts["chat", "won"] = count
            lines = events.text().decode().splitlines()
            name = "mulberry_second_runs_total"
            for result, value in (("won", count), ("lost", 1)):
                labels = f'result="{result}",service="chat"'
                self.assertIn(f"{name}{{{labels}}} {value}.0", lines)
