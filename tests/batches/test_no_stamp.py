"""Items answered without the stamp of an engine."""

from __future__ import annotations

import unittest

from tests.batches.test_run import make_run
from tests.known_red import known_red
from tests.quiet import quiet_logs
from tests.relay.fakes import Script, ScriptedEngines, engine, event


class NoStampTest(unittest.TestCase):
    """An item was done by a 2xx that no stream or body is forwarded from."""

    @known_red(33)
    def test_answer_counts_only_with_its_stamp(self) -> None:
        quiet_logs()
        client = ScriptedEngines(
            Script(parts=[event(1)], stamped=False),
            Script(parts=[event(1), event(2)]),
        )
        _, run = make_run(client, engine("e1"), engine("e2"))
        outcome = run.run()
        assert outcome is not None
        self.assertEqual("1\n2", outcome.output)


if __name__ == "__main__":
    unittest.main()
