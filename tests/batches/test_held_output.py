"""Tests of items whose output takes too many bytes of the process."""

from __future__ import annotations

from dataclasses import replace
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.batches.run import ItemRun
from mulberrypass.model.batch_jobs import ItemState
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.policy.held_bytes import ByteLimits
from mulberrypass.relay.whole_body import HeldBodies
from tests.batches import cases
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    event,
    make_dependencies,
    request,
)

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.relay.api import RelayRequest

LIMITS = ByteLimits(total=100_000, source=50_000, free=1_000)
GIVE_UP_S = 10.0


def make_request(
    _head: JobHead, _item: BatchItem, after: int | None
) -> RelayRequest:
    """Return the request of an item."""
    return request(after_event=after)


class HeldOutputTest(unittest.TestCase):
    """Each of 48 items could hold 8 MB of output without an end."""

    def test_output_that_yields_begins_anew(self) -> None:
        bodies = HeldBodies(LIMITS)
        large = b"id: 2\ndata: " + b"x" * 60_000 + b"\n\n"
        engines = ScriptedEngines(
            Script(parts=[event(1), large]),
            Script(parts=[event(1), event(2)]),
        )
        deps = replace(
            make_dependencies(
                engines, ScriptedPermits("e1", "e2"), cases.route()
            ),
            bodies=bodies,
        )
        outcome = ItemRun(
            deps,
            cases.head(first_s=time.time()),
            0,
            cases.item(0),
            make_request,
            lambda: False,
            ItemPace(),
            time.monotonic() + GIVE_UP_S,
        ).run()
        assert outcome is not None
        self.assertIs(ItemState.COMPLETED, outcome.state)
        self.assertEqual("1\n2", outcome.output)
        self.assertEqual(
            [("e1", None), ("e2", None)],
            [(name, req.after_event) for name, req in engines.sent],
        )
        self.assertEqual((0, 1), (bodies.total, bodies.turned_away))


if __name__ == "__main__":
    unittest.main()
