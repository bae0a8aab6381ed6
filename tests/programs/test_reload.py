"""Tests of the reload signal on running programs."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from mulberrypass.platform.stand_in.caller import CallFailedError, SiteCaller
from mulberrypass.platform.stand_in.site import ONCE_PATH, ONLINE_HOST
from mulberrypass.soak.cluster import SoakCluster

ROOT = Path(__file__).parents[2]
CALLERS = 4
TIMEOUT_S = 10.0
EVENTS = 20
EVENT_INTERVAL_S = 0.05
# A process that a reload ends takes about 0.5 s for that.
RELOAD_S = 3.0
OK = 200
# An import that takes as long as the test wants.
SLOW_IMPORT = """
import time
print("importing", flush=True)
time.sleep(60)
"""


def call(cluster: SoakCluster, name: str) -> int:
    """Make one request that may not be repeated; return the status."""
    caller = SiteCaller(cluster.instances[0].front, TIMEOUT_S)
    try:
        return caller.request(ONLINE_HOST, ONCE_PATH, name).status
    except CallFailedError:
        return 0
    finally:
        caller.close()


class ReloadSignalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = SoakCluster(1, 1)
        self.addCleanup(self.cluster.stop)
        self.engine = self.cluster.apps[0]
        self.cluster.start()
        served = self.cluster.wait_until(
            lambda: call(self.cluster, f"first-{time.monotonic_ns()}") == OK
        )
        self.assertTrue(served)
        self.engine.events = EVENTS
        self.engine.event_s = EVENT_INTERVAL_S

    def test_reload_signal_cuts_off_no_answer(self) -> None:
        names = [f"open-{number}" for number in range(CALLERS)]
        with ThreadPoolExecutor(CALLERS) as pool:
            calls = [pool.submit(call, self.cluster, name) for name in names]
            running = self.cluster.wait_until(
                lambda: set(names) <= set(self.engine.log.runs)
            )
            self.assertTrue(running)
            for _ in range(3):
                self.cluster.instances[0].send(signal.SIGHUP)
                time.sleep(EVENT_INTERVAL_S)
            statuses = [done.result() for done in calls]
        self.assertEqual([OK] * CALLERS, statuses)
        self.assertEqual([], self.cluster.crashed_instances())

    def test_undecodable_settings_file_ends_no_process(self) -> None:
        """A file that is read while it is written may end in a character."""
        instance = self.cluster.instances[0]
        settings = self.cluster.folder / "instance-0.toml"
        settings.write_bytes(settings.read_bytes() + b"# \xc3")
        instance.send(signal.SIGHUP)
        time.sleep(RELOAD_S)
        self.assertTrue(instance.running)

    def test_reload_signal_during_a_stop_cuts_off_no_answer(self) -> None:
        instance = self.cluster.instances[0]
        with ThreadPoolExecutor(CALLERS) as pool:
            answer = pool.submit(call, self.cluster, "open")
            running = self.cluster.wait_until(
                lambda: "open" in self.engine.log.runs
            )
            self.assertTrue(running)
            instance.send(signal.SIGTERM)
            instance.send(signal.SIGHUP)
            self.assertEqual(OK, answer.result())
        instance.expected_down = True


class SignalsDuringImportsTest(unittest.TestCase):
    def test_reload_or_dump_signal_ends_no_process(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        (Path(folder.name) / "structlog.py").write_text(SLOW_IMPORT)
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "deploy" / "serve.py")],
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": folder.name},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stdout is not None
        self.addCleanup(process.stdout.close)
        self.assertEqual(b"importing\n", process.stdout.readline())
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGUSR1)
        with self.assertRaises(subprocess.TimeoutExpired):
            process.wait(0.5)
