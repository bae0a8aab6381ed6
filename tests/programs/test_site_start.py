"""Tests of what a start of ``mulberry-site`` loads."""

from __future__ import annotations

import subprocess
import sys
import unittest

# Each is needed by few instances, if by any, or by other programs only.
NEEDLESS = {
    "fire",
    "hdrhistogram",
    "mulberrypass.bench",
    "mulberrypass.operator",
    "mulberrypass.soak",
    "mulberrypass.testing",
    "prometheus_client",
    "statsd",
    "yaml",
}
PROGRAM = """
import sys
import mulberrypass.programs.site
print(*sys.modules)
"""


class SiteStartTest(unittest.TestCase):
    def test_start_loads_only_what_each_instance_needs(self) -> None:
        shown = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = set(shown.stdout.split())
        self.assertIn("mulberrypass.programs.site", loaded)
        self.assertEqual(set(), NEEDLESS & loaded)
