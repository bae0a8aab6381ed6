"""Tests of engines that say in their answers that they leave."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
from unittest.mock import patch

from mulberrypass.programs.site_settings import PROGRAM
from tests.platform.raw_site import RawSiteTest, stream_route

if TYPE_CHECKING:
    from mulberrypass.platform.stand_in.raw_engine import RawEngine

# Requests that were sent before the answer was read may arrive after it.
IN_FLIGHT_S = 0.2
SENDERS, SEND_S = 6, 3.5
# Within which all members hear what one of them was told.
GOSSIP_S = 1.0


class LeavingEngineTest(RawSiteTest):
    engine_count = 2
    routes = (
        stream_route("lookup", MaxAttempts=1),
        stream_route("slip", Resumable=True),
        stream_route("call", RouteType="non_idempotent"),
    )

    def setUp(self) -> None:
        super().setUp()
        self.at = self.start_instance()
        self.first, self.other = self.engines[:2]
        self.number = 0

    def ask(self, path: str = "/lookup/1") -> int:
        """Send a request, and return the status of its answer."""
        self.number += 1
        return self.send(self.at, path, "a1 c3", self.number).status

    def ask_until_said(self, engine: RawEngine) -> None:
        """Send requests until an engine has said that it leaves."""

        def said() -> bool:
            self.ask()
            return engine.said_at is not None

        self.wait_until(said)

    def press(self, paths: tuple[str, ...], addresses: list[str]) -> None:
        """Send requests from several threads."""
        until = time.monotonic() + SEND_S

        def send(sender: int) -> None:
            number = sender * 10_000
            while time.monotonic() < until:
                number += 1
                at = addresses[number % len(addresses)]
                self.send(at, paths[number % len(paths)], "a1 c3", number)

        threads = [
            threading.Thread(target=send, args=(sender,))
            for sender in range(1, SENDERS + 1)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def late(self, engine: RawEngine, slack_s: float) -> list[float]:
        """Return how long after its word late requests reached an engine."""
        assert engine.said_at is not None
        ages = [req.at - engine.said_at for req in engine.requests]
        return [round(age, 3) for age in ages if age > slack_s]


class RegistryKnowsNothingTest(LeavingEngineTest):
    """The registry lists an engine as ready that says that it leaves."""

    def test_no_request_after_the_answer(self) -> None:
        self.first.leaving = "1"
        self.ask_until_said(self.first)
        for path in ("/lookup/1", "/slip/1", "/call/1") * 10:
            self.assertEqual(200, self.ask(path))
        self.assertEqual([], self.late(self.first, IN_FLIGHT_S / 10))

    def test_no_request_under_load(self) -> None:
        self.first.leaving = "1"
        self.press(("/lookup/1", "/slip/1"), [self.at])
        self.assertEqual([], self.late(self.first, IN_FLIGHT_S))


class OtherInstancesTest(LeavingEngineTest):
    """Instances that the engine has told nothing, while the store is silent.

    They learnt of it from its answers to requests of their own.
    """

    def setUp(self) -> None:
        super().setUp()
        self.others = [self.start_instance() for _ in range(2)]
        self.wait_until(self.all_are_members)

    def all_are_members(self) -> bool:
        views = [len(p._membership.live(PROGRAM)) for p in self.processes]
        return views == [len(self.processes)] * len(self.processes)

    def leave_with_word(self) -> None:
        self.store_answers.clear()
        self.first.leaving = "1"
        self.ask_until_said(self.first)

    def test_they_learn_of_it_at_once(self) -> None:
        self.leave_with_word()
        time.sleep(GOSSIP_S)
        self.press(("/lookup/1", "/slip/1"), self.others)
        self.assertEqual([], self.late(self.first, GOSSIP_S))

    def test_instance_that_joins_later(self) -> None:
        self.leave_with_word()
        self.store_answers.set()
        at = self.start_instance()
        self.wait_until(self.all_are_members)
        time.sleep(GOSSIP_S)
        since = time.monotonic()
        self.press(("/lookup/1", "/slip/1"), [at])
        late = [req for req in self.first.requests if req.at >= since]
        self.assertEqual([], late)


class SilentStoreTest(LeavingEngineTest):
    """The store is silent when an engine says that it leaves."""

    def test_no_request_after_the_answer(self) -> None:
        self.store_answers.clear()
        self.first.leaving = "1"
        self.press(("/lookup/1", "/slip/1"), [self.at])
        self.assertEqual([], self.late(self.first, IN_FLIGHT_S))


class OwnerCutOffTest(LeavingEngineTest):
    """No owner gets a message; work runs without one, the store is silent."""

    def test_no_request_after_the_answer(self) -> None:
        for process in self.processes:
            dropped = patch.object(process._owner, "receive")
            dropped.start()
            self.addCleanup(dropped.stop)
        self.store_answers.clear()
        self.first.leaving = "1"
        self.press(("/lookup/1", "/slip/1"), [self.at])
        self.assertEqual([], self.late(self.first, IN_FLIGHT_S))
        said_at = self.first.said_at or 0.0
        later = [req for req in self.other.requests if req.at > said_at]
        self.assertGreater(len(later), 0)


class RefusalTest(LeavingEngineTest):
    """An engine says in a refusal alone that it leaves."""

    def test_refusal_that_did_not_run(self) -> None:
        self.faults.ids_in_refusals = True
        self.first.leaving = "1"
        self.other.leaving = None
        self.faults.refusals = 1
        self.ask_until_said(self.first)
        for _ in range(20):
            self.assertEqual(200, self.ask())
        self.assertEqual([], self.late(self.first, IN_FLIGHT_S / 10))


class ResumedStreamTest(LeavingEngineTest):
    """Streams break off at one engine while another one says it leaves."""

    def test_no_stream_is_resumed_there(self) -> None:
        self.first.leaving = "1"
        self.ask_until_said(self.first)
        self.faults.break_after = 40
        self.press(("/slip/1",), [self.at])
        self.assertGreater(sum(self.other.runs.values()), 0)
        self.assertEqual([], self.late(self.first, IN_FLIGHT_S))


class AllLeaveTest(LeavingEngineTest):
    """All engines of a service say that they leave."""

    def test_refused_at_once(self) -> None:
        for engine in self.engines:
            engine.leaving = "1"
        self.wait_until(lambda: self.ask() == 503)
        for path in ("/lookup/1", "/call/1"):
            self.number += 1
            since = time.monotonic()
            reply = self.send(self.at, path, "a1 c3", self.number)
            self.assertLess(time.monotonic() - since, 1.0)
            self.assertEqual(503, reply.status)
            self.assertGreater(float(reply.headers["retry-after"]), 0)
            runs = sum(e.runs[f"r{self.number}"] for e in self.engines)
            self.assertEqual(0, runs)


class WorkGoesOnTest(LeavingEngineTest):
    """Work that runs at an engine that leaves ends whole."""

    def test_long_stream_ends_whole(self) -> None:
        self.first.leaving = "1"
        for engine in self.engines:
            engine.event_s = 0.3
        statuses = []

        def send(number: int) -> None:
            reply = self.send(self.at, "/lookup/1", "a1 c3", number)
            statuses.append((reply.status, reply.whole))

        threads = [
            threading.Thread(target=send, args=(number,))
            for number in range(100, 108)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertIsNotNone(self.first.said_at)
        self.assertEqual({(200, True)}, set(statuses))


class OtherValuesTest(LeavingEngineTest):
    """A header with another value than 1 says nothing."""

    def test_engine_goes_on_getting_requests(self) -> None:
        for value in ("0", "2", "true", "1, 1", "yes"):
            with self.subTest(value):
                self.first.leaving = value
                before = len(self.first.requests)
                for _ in range(20):
                    self.assertEqual(200, self.ask())
                self.assertGreater(len(self.first.requests), before)
