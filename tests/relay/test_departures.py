"""Tests of requests to engines that have said that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
import unittest
from unittest.mock import patch

from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import Deadline
from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.relay.api import AnswerBody, AnswerHead, Refused
from mulberrypass.relay.departures import (
    DepartureGuard,
    EngineLeavesError,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import Forwarder, RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.engine.endless import AnsweringServer
from tests.relay.fakes import (
    ScriptedPermits,
    engine,
    event,
    request,
    route,
    table,
)

if TYPE_CHECKING:
    from mulberrypass.engine.wire import Exchange
    from mulberrypass.model.routes import RegisteredEngine
    from mulberrypass.relay.api import RelayEvent

LEAVING = "Server-Leaving: 1"
BODY = event(1) + event(2)
BORN_MS = 1_700_000_000_000


def answer(
    *lines: str, status: str = "200 OK", request_id: str = "r1"
) -> bytes:
    """Return the bytes of an answer."""
    head = [
        f"HTTP/1.1 {status}",
        f"Content-Length: {len(BODY)}",
        "X-Mulberrypass-Response-Stamp: s",
        *lines,
    ]
    if request_id:
        head.append(f"X-Mulberrypass-Request-Id: {request_id}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + BODY


class DepartureTestCase(unittest.TestCase):
    """Sends requests to two engines."""

    def setUp(self) -> None:
        self.guard = DepartureGuard(unix_clock=lambda: BORN_MS / 1_000)
        self.published: list[str] = []
        self.guard.subscribe_answers(self.published.append)
        self.client = HttpEngineClient(self.guard)
        self.addCleanup(self.client.retain, frozenset())

    def serve(self, name: str, sent: bytes, **fields: Any) -> RegisteredEngine:
        server = AnsweringServer(self, sent, close=True)
        values = {"address": server.address, "born_ms": BORN_MS} | fields
        return engine(name, **values)

    def send(self, to: RegisteredEngine) -> None:
        """Send a request; a failure is of no interest."""
        deadline = Deadline.after(2.0)
        try:
            self.client.send(
                to, request(), deadline, lambda _abort: None, deadline
            ).finish()
        except EngineLeavesError:
            raise
        except Exception as exc:
            self.failure = exc


class ReadingTest(DepartureTestCase):
    """What counts as an engine's word that it leaves."""

    def says(self, sent: bytes) -> bool:
        self.setUp()
        to = self.serve("e1", sent)
        self.send(to)
        return self.guard.leaves(to)

    def test_all_answers_count(self) -> None:
        not_run = "X-Mulberrypass-Not-Run: 1"
        for status in ("200 OK", "404 No", "500 Bad", "503 Busy", "504 Late"):
            for more in ((), (not_run,)):
                with self.subTest(status, more=more):
                    sent = answer(LEAVING, *more, status=status)
                    self.assertTrue(self.says(sent))
                    self.assertFalse(self.says(answer(*more, status=status)))

    def test_refusal_without_an_id(self) -> None:
        lines = (LEAVING, "X-Mulberrypass-Not-Run: 1")
        sent = answer(*lines, status="503 Busy", request_id="")
        self.assertTrue(self.says(sent))

    def test_answer_whose_body_is_cut(self) -> None:
        self.assertTrue(self.says(answer(LEAVING)[:-5]))

    def test_head_that_is_cut_says_nothing(self) -> None:
        sent = answer(LEAVING)
        end = sent.index(b"1\r\n", sent.index(b"Leaving")) + 1
        self.assertFalse(self.says(sent[:end]))

    def test_answer_to_another_request(self) -> None:
        self.assertTrue(self.says(answer(LEAVING, request_id="r0")))

    def test_address_of_another_engine(self) -> None:
        moved = "421 Moved"
        own = "X-Mulberrypass-Instance-Id: e1"
        other = "X-Mulberrypass-Instance-Id: e9"
        self.assertFalse(self.says(answer(LEAVING, other, status=moved)))
        self.assertFalse(self.says(answer(LEAVING, status=moved)))
        self.assertTrue(self.says(answer(LEAVING, own, status=moved)))
        self.assertFalse(self.says(answer(LEAVING, other)))
        self.assertTrue(self.says(answer(LEAVING, own)))

    def test_values(self) -> None:
        for value in ("1", " 1 ", "0\r\nServer-Leaving: 1"):
            with self.subTest(value):
                self.assertTrue(self.says(answer(f"Server-Leaving: {value}")))
        for value in ("", "0", "2", "01", "true", "1, 1", "x" * 999):
            with self.subTest(value):
                self.assertFalse(self.says(answer(f"Server-Leaving: {value}")))

    def test_word_that_is_not_said_again(self) -> None:
        to = self.serve("e1", answer(LEAVING))
        self.send(to)
        silent = self.serve("e1", answer())
        self.assertTrue(self.guard.leaves(silent))
        with self.assertRaises(EngineLeavesError):
            self.send(silent)

    def test_other_values_are_logged_once_for_each_start(self) -> None:
        log = "mulberrypass.relay.departures.LOG"
        to = self.serve("e1", answer("Server-Leaving: yes"))
        with patch(log) as found:
            for _ in range(3):
                self.send(to)
        self.assertEqual(1, found.warning.call_count)

    def test_departure_is_logged_and_published_once(self) -> None:
        log = "mulberrypass.relay.departures.LOG"
        to = self.serve("e1", answer(LEAVING))
        with patch(log) as found:
            self.send(to)
            self.guard.on_answer(to, "r2", 200)
        self.assertEqual(1, found.info.call_count)
        self.assertEqual("r1", found.info.call_args.kwargs["id"])
        self.assertEqual([to.boot], self.published)


class ForwardingTestCase(DepartureTestCase):
    """Forwards requests whose first permit is for the engine e1."""

    def setUp(self) -> None:
        super().setUp()
        self.first = self.serve("e1", answer("X-From: e1"))
        self.second = self.serve("e2", answer("X-From: e2"))
        self.permits = ScriptedPermits("e1", "e2")

    def forward(self, knows: bool = True, **fields: Any) -> list[RelayEvent]:
        """Forward a request.

        :param knows: whether the directory knows what engines say
        """
        directory = Directory(departures=self.guard if knows else None)
        fields = {"kind": RouteKind.NON_IDEMPOTENT, "max_attempts": 1} | fields
        directory.apply_routes(table(route(**fields)))
        directory.set_engines([self.first, self.second])
        deps = RelayDependencies(
            directory,
            PermitAcquirer("entry@a", self.permits, directory),
            self.client,
            CallWatch(),
        )
        return list(Forwarder(deps).run(request(), lambda: False))

    def assert_answered_by(self, name: str, events: list[RelayEvent]) -> None:
        heads = [e for e in events if isinstance(e, AnswerHead)]
        self.assertEqual([name], [dict(h.headers)["X-From"] for h in heads])
        body = b"".join(e.data for e in events if isinstance(e, AnswerBody))
        self.assertEqual(BODY, body)


class PermitInFlightTest(ForwardingTestCase):
    """An engine says that it leaves while a connection to it opens."""

    def test_request_goes_elsewhere(self) -> None:
        opened = ConnectionPool.open

        def open_late(
            pool: ConnectionPool, deadline: Deadline, request_id: str
        ) -> Exchange:
            exchange = opened(pool, deadline, request_id)
            self.guard.on_answer(self.first, "r0", 200)
            return exchange

        with patch.object(ConnectionPool, "open", open_late):
            events = self.forward()
        self.assert_answered_by("e2", events)
        self.assertEqual(["unused", "done"], self.permits.released)
        self.assertEqual(("e1",), self.permits.asks[1].avoid)


class UninformedOwnerTest(ForwardingTestCase):
    """An owner that knows nothing grants a permit for such an engine."""

    def test_permit_is_handed_back(self) -> None:
        self.guard.on_answer(self.first, "r0", 200)
        for knows in (True, False):
            with self.subTest(directory_knows=knows):
                self.permits = ScriptedPermits("e1", "e2")
                self.assert_answered_by("e2", self.forward(knows))
                self.assertEqual(["unused", "done"], self.permits.released)

    def test_member_has_told(self) -> None:
        others = ("e2", "e2@", "@1", "e2@-1")
        self.guard.learn(frozenset((self.first.boot, *others)))
        self.assert_answered_by("e2", self.forward())
        self.assertEqual([], self.published)

    def test_member_forgets(self) -> None:
        self.guard.learn(frozenset((self.first.boot,)))
        self.guard.learn(frozenset())
        self.assert_answered_by("e2", self.forward())

    def test_stale_registry(self) -> None:
        self.guard.on_answer(self.first, "r0", 200)
        self.first = engine(
            "e1", address=self.first.address, born_ms=BORN_MS - 1
        )
        self.assert_answered_by("e2", self.forward())

    def test_new_start_gets_requests(self) -> None:
        self.guard.on_answer(self.first, "r0", 200)
        self.first = engine(
            "e1", address=self.first.address, born_ms=BORN_MS + 1
        )
        self.assert_answered_by("e1", self.forward())

    def test_all_leave(self) -> None:
        for each in (self.first, self.second):
            self.guard.on_answer(each, "r0", 200)
        events = self.forward()
        self.assertEqual([Refused("no_backend", 1.0)], events)
        self.assertEqual({"unused"}, set(self.permits.released))


class DirectoryTest(DepartureTestCase):
    """The directory lists no engine that has said that it leaves."""

    def test_directory_leaves_it_out(self) -> None:
        directory = Directory(departures=self.guard)
        directory.apply_routes(table(route()))
        first, second = (
            engine(name, born_ms=BORN_MS) for name in ("e1", "e2")
        )
        directory.set_engines([first, second])
        changes: list[int] = []
        directory.subscribe(lambda cfg: changes.append(len(cfg.backends)))
        self.guard.on_answer(first, "r0", 200)
        self.assertEqual([1], changes)
        for _ in range(2):
            self.assertIsNone(directory.engine("e1"))
            self.assertEqual({"e2"}, directory.engine_names())
            self.assertEqual(1, directory.count_said_to_leave())
            pools = directory.current().pools
            self.assertEqual(("e2",), pools["rackmind"].backends)
            # The entry vanished for a while, and came back.
            directory.set_engines([second])
            directory.set_engines([first, second])
        state = directory.state()["engines"]
        self.assertEqual("leaving, as it says", state["e1"])


class IdleConnectionTest(DepartureTestCase):
    """Idle connections to an engine that leaves are closed."""

    def test_idle_connections_are_closed(self) -> None:
        to = self.serve("e1", answer())
        directory = Directory(departures=self.guard)
        directory.apply_routes(table(route()))
        directory.set_engines([to])
        directory.subscribe(
            lambda _cfg: self.client.retain(directory.engine_names())
        )
        pool = self.client._pool(to)
        self.guard.on_answer(to, "r0", 200)
        self.assertTrue(pool._closed)
