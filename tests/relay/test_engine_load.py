"""Tests of what is reported of an engine's load."""

from __future__ import annotations

import unittest

from mulberrypass.policy.messages import FirstToken
from mulberrypass.relay.api import EngineLoad
from tests.batches.cases import run_item
from tests.batches.test_run import make_run
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    event,
    make_dependencies,
    route,
)
from tests.relay.test_forward import run

CASES = (
    (EngineLoad(3, 0, 8, 2.5), 2.5),
    (EngineLoad(3, 0, 8), 0.0),
    (None, 0.0),
)


class SlownessTest(unittest.TestCase):
    """An owner wasn't told that an engine is slow for a moment."""

    def said(self, permits: ScriptedPermits) -> list[float]:
        return [m.slowness for m in permits.told if isinstance(m, FirstToken)]

    def test_of_a_stream(self) -> None:
        for load, expected in CASES:
            with self.subTest(load):
                script = Script(parts=[event(1), event(2)], load=load)
                permits = ScriptedPermits("e1")
                engines = ScriptedEngines(script)
                run(make_dependencies(engines, permits, route(resumable=True)))
                self.assertEqual([expected], self.said(permits))

    def test_of_an_item(self) -> None:
        for load, expected in CASES:
            with self.subTest(load):
                script = Script(parts=[event(1), event(2)], load=load)
                permits, item = make_run(ScriptedEngines(script), engine("e1"))
                run_item(item)
                self.assertEqual([expected], self.said(permits))


if __name__ == "__main__":
    unittest.main()
