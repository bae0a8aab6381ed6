"""Tests of running a program until a stop signal."""

from __future__ import annotations

import signal
import subprocess
import sys
import textwrap
import unittest

TIMEOUT_S = 20.0
PROGRAM = """
    import time
    from mulberrypass.programs.session import Process, run

    class Slow(Process):
        def start(self) -> None:
            print("starting", flush=True)
            time.sleep(0.3)
            print("started", flush=True)

        def stop(self) -> bool:
            print("stopping", flush=True)
            time.sleep(0.5)
            print("stopped", flush=True)
            return True

    run(Slow)
"""


class SessionTest(unittest.TestCase):
    """A stop runs once, to its end, whatever signals follow."""

    def setUp(self) -> None:
        self.process = subprocess.Popen(
            (sys.executable, "-c", textwrap.dedent(PROGRAM)),
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def read_line(self) -> str:
        assert self.process.stdout is not None
        return self.process.stdout.readline().strip()

    def rest(self) -> tuple[list[str], int]:
        """Return the lines until the end, and the exit code."""
        out, _ = self.process.communicate(timeout=TIMEOUT_S)
        return out.split(), self.process.returncode

    def test_signals_during_the_stop_do_not_cut_it_off(self) -> None:
        self.assertEqual("starting", self.read_line())
        self.assertEqual("started", self.read_line())
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual("stopping", self.read_line())
        for signum in (signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
            self.process.send_signal(signum)
        self.assertEqual((["stopped"], 0), self.rest())

    def test_signal_during_the_start_leads_to_a_planned_stop(self) -> None:
        self.assertEqual("starting", self.read_line())
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual((["started", "stopping", "stopped"], 0), self.rest())
