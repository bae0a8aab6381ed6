"""Streams resumed by runs that are answered without an engine's stamp."""

from __future__ import annotations

import unittest

from mulberrypass.relay.api import AnswerHead
from mulberrypass.relay.forward import RelayDependencies
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    CUT,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    event,
    make_dependencies,
    route,
)
from tests.relay.test_forward import body, run

NAMES = ("e1", "e2", "e3", "e4")
RESUMABLE = route(resumable=True, max_attempts=3)


def dependencies(engines: ScriptedEngines) -> RelayDependencies:
    """Return dependencies with an engine for each script."""
    deps = make_dependencies(engines, ScriptedPermits(*NAMES), RESUMABLE)
    deps.directory.set_engines(engine(name) for name in NAMES)
    return deps


class UnstampedResumeTest(unittest.TestCase):
    """A stream looked whole without the events that a resumed run left out.

    Once its head was sent, runs that resumed it needed no stamp.
    """

    def setUp(self) -> None:
        quiet_logs()

    def test_resumed_run_counts_only_with_its_stamp(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[event(1), CUT]),
            Script(stamped=False, parts=[event(2)]),
            Script(parts=[event(2), event(3)]),
        )
        events, cut = run(dependencies(engines))
        self.assertFalse(cut)
        self.assertEqual(event(1) + event(2) + event(3), body(events))
        self.assertEqual(
            [None, 1, 1], [req.after_event for _, req in engines.sent]
        )

    def test_second_run_proves_an_end_only_with_its_stamp(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[event(1), event(2)], ends_with_connection=True),
            Script(stamped=False, parts=[event(2)]),
            Script(parts=[event(2), event(3)]),
            Script(parts=[event(3)]),
        )
        events, cut = run(dependencies(engines))
        self.assertFalse(cut)
        self.assertEqual(event(1) + event(2) + event(3), body(events))

    def test_stream_is_cut_if_no_resumed_run_has_a_stamp(self) -> None:
        bare = Script(stamped=False, parts=[event(2)])
        engines = ScriptedEngines(Script(parts=[event(1), CUT]), bare, bare)
        events, cut = run(dependencies(engines))
        self.assertTrue(cut)
        self.assertIsInstance(events[0], AnswerHead)
        self.assertEqual(event(1), body(events))


if __name__ == "__main__":
    unittest.main()
