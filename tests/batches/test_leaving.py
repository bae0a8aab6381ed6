"""Tests of items whose engine has said that it leaves."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.batches.run import RETRY_S, ItemRun
from mulberrypass.model.batch_jobs import ItemState
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.relay.departures import DepartureGuard, EngineLeavesError
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.batches import cases
from tests.batches.cases import run_item
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    event,
    request,
    table,
)

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import (
        BatchItem,
        ItemOutcome,
        JobHead,
    )
    from mulberrypass.relay.api import RelayRequest

WHOLE = event(1) + event(2)
BORN_MS = 1_700_000_000_000
RETENTION_S = 30.0
WAIT_S = 0.3


def make_request(
    _head: JobHead, _item: BatchItem, after: int | None
) -> RelayRequest:
    """Return the request of an item."""
    return request(after_event=after)


class LeavingEngineItemTest(unittest.TestCase):
    """An item waited for an engine that leaves, and was sent there."""

    def setUp(self) -> None:
        self.guard = DepartureGuard(unix_clock=lambda: BORN_MS / 1_000)
        self.directory = Directory(departures=self.guard)
        self.directory.apply_routes(table(cases.route()))
        self.first, self.second = (
            engine(name, born_ms=BORN_MS) for name in ("e1", "e2")
        )
        self.directory.set_engines([self.first, self.second])
        self.permits = ScriptedPermits("e1", "e2")

    def item_run(self, engines: ScriptedEngines) -> ItemRun:
        """Return the run of an item."""
        deps = RelayDependencies(
            self.directory,
            PermitAcquirer("entry@a", self.permits, self.directory),
            engines,
            CallWatch(),
        )
        return ItemRun(
            deps,
            cases.head(first_s=time.time()),
            0,
            cases.item(0),
            make_request,
            lambda: False,
            ItemPace(),
            time.monotonic() + RETENTION_S,
        )

    def assert_completed(self, outcome: ItemOutcome | None) -> None:
        assert outcome is not None
        self.assertEqual(ItemState.COMPLETED, outcome.state)

    def test_item_waits_for_the_next_start(self) -> None:
        self.directory.set_engines([self.first])
        self.guard.on_answer(self.first, "r0", 200)
        engines = ScriptedEngines(Script(parts=[WHOLE]))
        outcomes: list[ItemOutcome | None] = []
        run = self.item_run(engines)
        thread = threading.Thread(
            target=lambda: outcomes.append(run_item(run))
        )
        thread.start()
        time.sleep(WAIT_S)
        self.assertEqual([], engines.sent)
        self.directory.set_engines([engine("e1", born_ms=BORN_MS + 1)])
        thread.join(RETENTION_S)
        self.assert_completed(outcomes[0])
        self.assertEqual(["e1"], [name for name, _ in engines.sent])

    def test_item_is_held_back_at_the_last_moment(self) -> None:
        first = Script(before=self.leave_late, parts=[])
        engines = ScriptedEngines(first, Script(parts=[WHOLE]))
        since = time.monotonic()
        self.assert_completed(run_item(self.item_run(engines)))
        self.assertLess(time.monotonic() - since, RETRY_S)
        *before, last = self.permits.released
        self.assertEqual(("done", {"unused"}), (last, set(before)))
        self.assertEqual(["e1", "e2"], [name for name, _ in engines.sent])

    def test_refusal_is_not_charged_to_its_health(self) -> None:
        refusal = Script(status=503, not_run=True, leaving=True)
        engines = ScriptedEngines(refusal, Script(parts=[WHOLE]))
        refusal.before = self.leave_first
        self.assert_completed(run_item(self.item_run(engines)))
        self.assertEqual("unused", self.permits.released[0])
        self.assertEqual(["e1", "e2"], [name for name, _ in engines.sent])

    def leave_first(self) -> None:
        """Let the first engine say that it leaves."""
        self.guard.on_answer(self.first, "r0", 503)

    def leave_late(self) -> None:
        """Hold the request back, as the client of engines does."""
        self.leave_first()
        raise EngineLeavesError
