"""Checks that no test leaves logging enabled for the tests after it."""

from __future__ import annotations

from pathlib import Path
import unittest

TESTS = Path(__file__).parent
# structlog's defaults print to standard output. The strings are split so that
# this file does not match.
LOGGING_CALLS = ("structlog." + "reset_defaults", "structlog." + "configure(")
QUIET_MODULE = TESTS / "quiet.py"


class QuietLogsTest(unittest.TestCase):
    def test_logging_is_configured_in_one_module(self) -> None:
        calls = [
            f"{path.relative_to(TESTS)}: {name}"
            for path in TESTS.rglob("*.py")
            for name in LOGGING_CALLS
            if path != QUIET_MODULE and name in path.read_text()
        ]
        self.assertEqual([], calls)
