"""Tests of connections to engines that are used again."""

from __future__ import annotations

from functools import partial
import threading
from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.wire import Deadline, WireError
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.engine import event
from mulberrypass.platform.stand_in.raw_engine import RawEngine, RawFaults
from tests.engine.endless import HOST, OK_HEAD, AnsweringServer
from tests.relay.fakes import engine, request

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.relay.api import EngineAnswer

EVENTS = 5
EVENT_S = 0.03
WAIT_S = 5.0


class KeptConnectionTest(unittest.TestCase):
    """Sends requests to one engine, one after the other."""

    def setUp(self) -> None:
        self.faults = RawFaults()
        self.engine = RawEngine(
            "e1", HostPort(HOST, 0), EVENTS, EVENT_S, self.faults
        )
        self.engine.start()
        self.addCleanup(self.engine.end)
        at = self.engine.at
        self.registered = engine("e1", address=f"{at.host}:{at.port}")
        self.client = HttpEngineClient()
        self.addCleanup(self.client.retain, frozenset())
        self.aborts: list[Callable[[], None]] = []

    def send(self, request_id: str, after: int | None = None) -> EngineAnswer:
        deadline = Deadline.after(WAIT_S)
        req = request(
            request_id=request_id,
            headers=((REQUEST_ID, request_id),),
            after_event=after,
        )
        return self.client.send(
            self.registered, req, deadline, self.aborts.append, deadline
        )

    def read(self, answer: EngineAnswer) -> bytes:
        """Read the rest of an answer, and keep its connection."""
        parts = []
        while data := answer.read_some(Deadline.after(WAIT_S)):
            parts.append(data)
        answer.finish()
        return b"".join(parts)

    def whole(self, request_id: str, after: int = 0) -> bytes:
        numbers = range(after + 1, EVENTS + 1)
        return b"".join(event(request_id, number) for number in numbers)


class LateAbortTest(KeptConnectionTest):
    """The end of one request cut the next one on its connection.

    An answer without a length was then taken for whole.
    """

    def test_late_abort_leaves_the_next_request_alone(self) -> None:
        for unframed in (False, True):
            with self.subTest(unframed=unframed):
                first = f"a{unframed}"
                self.faults.unframed = False
                self.read(self.send(first))
                self.faults.unframed = unframed
                second = f"b{unframed}"
                answer = self.send(second)
                for abort in self.aborts[:-1]:
                    abort()
                self.assertEqual(self.whole(second), self.read(answer))


class OwnShutdownTest(KeptConnectionTest):
    """Our own end of a connection passed for the end of an answer."""

    def test_answer_that_is_aborted_is_not_whole(self) -> None:
        for unframed in (False, True):
            with self.subTest(unframed=unframed):
                self.faults.unframed = unframed
                answer = self.send(f"a{unframed}")
                timer = threading.Timer(1.5 * EVENT_S, self.aborts[-1])
                timer.start()
                with self.assertRaises(WireError):
                    self.read(answer)
                answer.finish()
                timer.join()


class RepeatedAnswerTest(KeptConnectionTest):
    """The copy of an earlier answer was taken for that to the same id."""

    def test_copy_of_a_resumed_answer(self) -> None:
        self.faults.repeated = True
        self.read(self.send("r1", 2))
        self.assertEqual(self.whole("r1"), self.read(self.send("r1")))

    def test_copy_of_a_failure(self) -> None:
        self.faults.repeated = True
        self.faults.failures = 1
        failed = self.send("r1")
        self.assertEqual(500, failed.head.status)
        self.read(failed)
        self.assertEqual(200, self.send("r1").head.status)

    def test_copy_of_a_refusal(self) -> None:
        self.faults.refusals = 1
        self.faults.ids_in_refusals = True
        refused = self.send("r1")
        self.assertTrue(refused.head.not_run)
        self.read(refused)
        self.assertFalse(self.send("r1").head.not_run)


class TwoIdsTest(unittest.TestCase):
    """An answer that names two requests was taken for that to the first."""

    def test_answer_with_two_ids_is_refused(self) -> None:
        for second, whole in (("r2", False), ("r1", True)):
            with self.subTest(second):
                lines = f"{REQUEST_ID}: {second}\r\nContent-Length: 0\r\n\r\n"
                server = AnsweringServer(self, OK_HEAD + lines.encode())
                client = HttpEngineClient()
                self.addCleanup(client.retain, frozenset())
                deadline = Deadline.after(WAIT_S)
                send = partial(
                    client.send,
                    engine("e1", address=server.address),
                    request(),
                    deadline,
                    lambda _abort: None,
                    deadline,
                )
                if whole:
                    send().finish()
                else:
                    self.assertRaises(WireError, send)


if __name__ == "__main__":
    unittest.main()
