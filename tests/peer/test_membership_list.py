"""Tests of the thread that reads the instance list."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING
import unittest

from mulberrypass.peer.membership_list import InstanceListReader
from mulberrypass.storage.instances import RowInstances
from mulberrypass.testing.row_state import RowState

if TYPE_CHECKING:
    from mulberrypass.model.store import ListedMachine

INTERVAL_S = 60.0
WAIT_S = 5.0


class InstanceListReaderTest(unittest.TestCase):
    def test_a_failed_first_read_is_repeated_at_once(self) -> None:
        """A started member doesn't wait a whole interval for the list.

        After a loss of power of all with a slow store, members that failed
        to read it once knew only themselves for 2 s longer than the others,
        and took up permits of theirs (lcrc-shelf-grown, seed 52).
        """
        rows = RowState()
        instances = RowInstances(rows)
        instances.register("i-1", "a", "10.0.0.1")
        rows.faults.throttle = 2
        found: list[tuple[ListedMachine, ...]] = []
        read = threading.Event()

        def on_list(listed: tuple[ListedMachine, ...]) -> None:
            found.append(listed)
            read.set()

        reader = InstanceListReader(
            instances, lambda: INTERVAL_S, on_list, random.Random(1)
        )
        self.addCleanup(reader.stop)
        reader.start()
        self.assertTrue(read.wait(WAIT_S))
        self.assertEqual(["i-1"], [entry.name for entry in found[0]])
        self.assertEqual("", reader.error)
