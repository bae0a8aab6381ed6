"""Items answered without the stamp of an engine."""

from __future__ import annotations

import unittest

from mulberrypass.model.batch_jobs import ItemState
from mulberrypass.platform.engines import HttpEngineClient
from tests.batches.cases import run_item
from tests.batches.test_run import make_run
from tests.engine.endless import OK_HEAD, AnsweringServer
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    CUT,
    Script,
    ScriptedEngines,
    engine,
    event,
)

WHOLE = event(1) + event(2)


class NoStampTest(unittest.TestCase):
    """An item was done by a 2xx that no stream or body is forwarded from."""

    def setUp(self) -> None:
        quiet_logs()

    def assert_output(self, client: ScriptedEngines, wanted: str) -> None:
        permits, run = make_run(client, engine("e1"), engine("e2"))
        outcome = run_item(run)
        assert outcome is not None
        self.assertIs(ItemState.COMPLETED, outcome.state)
        self.assertEqual(wanted, outcome.output)
        self.assertIn(["failed"], permits.outcomes)

    def test_answer_counts_only_with_its_stamp(self) -> None:
        client = ScriptedEngines(
            Script(parts=[event(1)], stamped=False),
            Script(parts=[event(1), event(2)]),
        )
        self.assert_output(client, "1\n2")

    def test_resumed_run_counts_only_with_its_stamp(self) -> None:
        client = ScriptedEngines(
            Script(parts=[event(1), CUT]),
            Script(parts=[event(2)], stamped=False),
            Script(parts=[event(2), event(3)]),
        )
        self.assert_output(client, "1\n2\n3")
        self.assertEqual([None, 1, 1], [r.after_event for _, r in client.sent])

    def test_second_run_proves_an_end_only_with_its_stamp(self) -> None:
        client = ScriptedEngines(
            Script(parts=[event(1), event(2)], ends_with_connection=True),
            Script(parts=[event(2)], stamped=False),
            Script(parts=[event(2), event(3)]),
        )
        self.assert_output(client, "1\n2\n3")

    def test_empty_stamp_is_none(self) -> None:
        end = b"Content-Length: %d\r\n\r\n%s" % (len(WHOLE), WHOLE)
        bare = OK_HEAD.replace(b"3e1b.07", b"") + end
        servers = [
            AnsweringServer(self, sent) for sent in (bare, OK_HEAD + end)
        ]
        names = ("e1", "e2")
        permits, run = make_run(
            HttpEngineClient(),
            *(
                engine(name, address=server.address)
                for name, server in zip(names, servers, strict=True)
            ),
        )
        outcome = run_item(run)
        assert outcome is not None
        self.assertEqual("1\n2", outcome.output)
        self.assertEqual([["failed"], ["done"]], permits.outcomes)


if __name__ == "__main__":
    unittest.main()
