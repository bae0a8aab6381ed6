"""Parts of a further event that a second answer's head hides."""

from __future__ import annotations

import unittest

from mulberrypass.model.batch_jobs import ItemState
from mulberrypass.platform.headers import REQUEST_ID, RESPONSE_STAMP
from tests.batches.cases import run_item
from tests.batches.test_run import make_run
from tests.quiet import quiet_logs
from tests.relay.fakes import Script, ScriptedEngines, engine, event
from tests.relay.test_more_than_the_end import (
    NAMES,
    MoreThanTheEndTestCase,
    unframed,
)

HEAD = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: r1\r\n{RESPONSE_STAMP}: s\r\n\r\n"


def hidden(first: int) -> Script:
    """Return events up to 2 and a part of the third, before a second head."""
    parts = [event(n) for n in range(first, 3)]
    part = b"id: 3\nda" + HEAD.encode() + event(1)
    return Script(parts=[*parts, part], ends_with_connection=True)


class HiddenPartTest(MoreThanTheEndTestCase):
    """A stream ended as whole before an event that a run had begun."""

    def test_end_before_the_part_is_no_end(self) -> None:
        cases = {
            "second run": (unframed(1, 2), hidden(2), unframed(2)),
            "first run": (hidden(1), *[unframed()] * 2, *[unframed(2)] * 2),
        }
        for name, scripts in cases.items():
            with self.subTest(name):
                parts, whole = self.play(4, *scripts)
                self.assertEqual(event(1) + event(2), parts)
                self.assertFalse(whole, "event 3 is missing")


class HiddenPartOfItemTest(unittest.TestCase):
    """An item was done with the events before one that a run had begun."""

    def test_end_before_the_part_is_no_end(self) -> None:
        quiet_logs()
        whole = Script(parts=[event(3)], ends_with_connection=False)
        client = ScriptedEngines(
            hidden(1), unframed(), unframed(2), unframed(2), whole
        )
        _, run = make_run(client, *(engine(name) for name in NAMES))
        outcome = None
        try:
            outcome = run_item(run)
        except IndexError:
            self.fail(f"{[req.after_event for _, req in client.sent]}")
        assert outcome is not None
        self.assertIs(ItemState.COMPLETED, outcome.state)
        self.assertEqual(3, len(outcome.output.split("\n")), outcome.output)


if __name__ == "__main__":
    unittest.main()
