"""Tests of the state dump on a signal."""

from __future__ import annotations

import os
import signal
import unittest
from unittest.mock import Mock, patch

from mulberrypass.runtime.dump import StateDump
from tests.quiet import quiet_logs


class DumpSignalTest(unittest.TestCase):
    def test_lost_reader_of_standard_error_ends_no_process(self) -> None:
        before = signal.getsignal(signal.SIGUSR1)
        self.addCleanup(signal.signal, signal.SIGUSR1, before)
        quiet_logs()
        StateDump().install_signal()
        stderr = Mock(write=Mock(side_effect=BrokenPipeError))
        with patch("sys.stderr", stderr):
            os.kill(os.getpid(), signal.SIGUSR1)
        stderr.write.assert_called_once()
