"""Tests of items that were done with a part of their output."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.batches.progress import Progress
from mulberrypass.batches.run import ItemRun
from mulberrypass.model.batch_jobs import ItemOutcome, ItemState
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.engine import event
from mulberrypass.platform.stand_in.raw_engine import RawEngine, RawFaults
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.batches import cases
from tests.batches.cases import run_item
from tests.engine.endless import HOST
from tests.relay.fakes import ScriptedPermits, engine, request, table

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.relay.api import RelayRequest
    from mulberrypass.relay.events import Event

EVENTS = 8
EVENT_S = 0.05
# Within the output of an item, and between two of its events.
AMID_S = 3.5 * EVENT_S
GIVE_UP_S = 10.0
ITEM_ID = "r1"


def make_request(
    _head: JobHead, _item: BatchItem, after: int | None
) -> RelayRequest:
    """Return the request of an item."""
    return request(headers=((REQUEST_ID, ITEM_ID),), after_event=after)


class PartialOutputTest(unittest.TestCase):
    """Runs one item at engines whose streams last a while."""

    def setUp(self) -> None:
        self.faults = RawFaults()
        self.engines = [self.start_engine(f"e{n}") for n in range(2)]
        self.watch = CallWatch()
        self.watch.start()
        self.addCleanup(self.watch.stop)
        self.unneeded = threading.Event()
        self.permits = ScriptedPermits(*(e.name for e in self.engines))

    def start_engine(self, name: str) -> RawEngine:
        at = HostPort(HOST, 0)
        app = RawEngine(name, at, EVENTS, EVENT_S, self.faults)
        app.start()
        self.addCleanup(app.end)
        return app

    def make_run(self) -> ItemRun:
        directory = Directory()
        directory.apply_routes(table(cases.route()))
        directory.set_engines(
            engine(each.name, address=f"{each.at.host}:{each.at.port}")
            for each in self.engines
        )
        client = HttpEngineClient()
        self.addCleanup(client.retain, frozenset())
        deps = RelayDependencies(
            directory,
            PermitAcquirer("entry@a", self.permits, directory),
            client,
            self.watch,
        )
        return ItemRun(
            deps,
            cases.head(first_s=time.time()),
            0,
            cases.item(0),
            make_request,
            self.unneeded.is_set,
            ItemPace(),
            time.monotonic() + GIVE_UP_S,
        )

    def revoke(self) -> None:
        """Revoke the permit of the attempt that runs."""
        assert self.permits.revoke is not None
        self.permits.revoke()

    def assert_whole(self, outcome: ItemOutcome | None) -> None:
        assert outcome is not None
        self.assertIs(ItemState.COMPLETED, outcome.state)
        text = "\n".join(
            event(ITEM_ID, number).decode().partition("data: ")[2].strip()
            for number in range(1, EVENTS + 1)
        )
        self.assertEqual(text, outcome.output)


class RevokedItemTest(PartialOutputTest):
    """A revoked item was done with the events received so far."""

    def test_revoked_item_goes_on_elsewhere(self) -> None:
        for unframed in (False, True):
            with self.subTest(unframed=unframed):
                self.faults.unframed = unframed
                timer = threading.Timer(AMID_S, self.revoke)
                timer.start()
                self.assert_whole(run_item(self.make_run()))
                timer.join()


class EndedJobTest(PartialOutputTest):
    """An item whose job had ended was done with the events so far."""

    def test_item_of_an_ended_job_has_no_outcome(self) -> None:
        for unframed in (False, True):
            with self.subTest(unframed=unframed):
                self.faults.unframed = unframed
                self.unneeded.clear()
                timer = threading.Timer(AMID_S, self.unneeded.set)
                timer.start()
                self.assertIsNone(run_item(self.make_run()))
                timer.join()


class MissingEventTest(PartialOutputTest):
    """Nothing looked at the whole output before it was done."""

    def test_output_with_missing_events_begins_anew(self) -> None:
        real = Progress.add
        lost = [3, 5]

        def lose_once(progress: Progress, event: Event) -> None:
            if event.number in lost:
                lost.remove(event.number)
                progress.last = event.number
            else:
                real(progress, event)

        with patch.object(Progress, "add", lose_once):
            self.assert_whole(run_item(self.make_run()))
        self.assertEqual([], lost)


class RepeatedFailureTest(PartialOutputTest):
    """One failure that an engine wrote twice counted as two."""

    def test_item_is_not_given_up_too_early(self) -> None:
        self.faults.failures = cases.route().max_attempts - 1
        self.faults.repeated = True
        self.assert_whole(run_item(self.make_run()))


if __name__ == "__main__":
    unittest.main()
