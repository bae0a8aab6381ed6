"""Tests of what is counted of an output once its events are joined."""

from __future__ import annotations

from dataclasses import replace
import sys
import time
import unittest

from mulberrypass.batches.run import ItemRun
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.relay.whole_body import HeldBodies
from tests.batches import cases
from tests.batches.cases import run_item
from tests.batches.test_held_output import GIVE_UP_S, make_request
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    make_dependencies,
)

EVENTS = 50


class JoinedOutputTest(unittest.TestCase):
    """A whole output took four times the bytes that were counted."""

    def check_counted(self, *texts: str) -> None:
        """Check that a whole output of these events is counted as it is."""
        bodies = HeldBodies()
        parts = [
            f"id: {number}\ndata: {text}\n\n".encode()
            for number, text in enumerate(texts, 1)
        ]
        engines = ScriptedEngines(Script(parts=[b"".join(parts)]))
        dependencies = make_dependencies(
            engines, ScriptedPermits("e1"), cases.route()
        )
        run = ItemRun(
            replace(dependencies, bodies=bodies),
            cases.head(first_s=time.time()),
            0,
            cases.item(0),
            make_request,
            lambda: False,
            ItemPace(),
            time.monotonic() + GIVE_UP_S,
        )
        outcome = run_item(run)
        assert outcome is not None
        self.assertEqual("\n".join(texts), outcome.output)
        self.assertEqual(sys.getsizeof(outcome.output), bodies.total)
        run.output.close()
        self.assertEqual(0, bodies.total)

    def test_one_wide_character_widens_all(self) -> None:
        self.check_counted("\U0001f600", *["x" * 10_000] * EVENTS)

    def test_small_events_are_joined(self) -> None:
        self.check_counted(*["x"] * EVENTS)


if __name__ == "__main__":
    unittest.main()
