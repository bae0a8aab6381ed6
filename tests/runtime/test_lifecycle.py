"""Tests of the queue of received signals."""

from __future__ import annotations

import os
import signal
import unittest

from mulberrypass.runtime.lifecycle import SignalQueue


class SignalQueueTest(unittest.TestCase):
    def test_signals_come_in_order_and_are_not_merged(self) -> None:
        signums = (signal.SIGUSR1, signal.SIGUSR2)
        for signum in signums:
            before = signal.getsignal(signum)
            self.addCleanup(signal.signal, signum, before)
        received = SignalQueue(*signums)
        received.install()
        sent = [signal.SIGUSR2, signal.SIGUSR1, signal.SIGUSR2]
        for signum in sent:
            os.kill(os.getpid(), signum)
        self.assertEqual(sent, [received.get() for _ in sent])
