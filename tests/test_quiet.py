"""Tests of the suite itself: no test leaves logs on for what follows."""

from __future__ import annotations

from pathlib import Path
import unittest

TESTS = Path(__file__).parent
# The library's own defaults print to standard output.
LOUD = ("structlog." + "reset_defaults", "structlog." + "configure(")
QUIET = TESTS / "quiet.py"


class QuietTest(unittest.TestCase):
    def test_logs_are_set_up_in_one_place(self) -> None:
        loud = [
            f"{path.relative_to(TESTS)}: {name}"
            for path in TESTS.rglob("*.py")
            for name in LOUD
            if path != QUIET and name in path.read_text()
        ]
        self.assertEqual([], loud)
