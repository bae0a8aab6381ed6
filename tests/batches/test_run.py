"""Tests of one run of a batch item at engines that misbehave."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from itertools import count
import time
from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.batches import item_attempt, progress
from mulberrypass.batches.run import ItemRun
from mulberrypass.engine.api import EngineFailed
from mulberrypass.model.batch_jobs import ItemOutcome, ItemState
from mulberrypass.model.outcome import Ran
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.policy.health.crashes import Crash, QuarantineSettings
from mulberrypass.relay.crash_guard import COLLECT_S, CrashGuard
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.batches import cases
from tests.batches.cases import run_item
from tests.engine.endless import (
    NO_LENGTH,
    OK_HEAD,
    AnsweringServer,
    Bytes,
    EndlessServer,
)
from tests.relay.fakes import (
    CUT,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    event,
    request,
    table,
)

if TYPE_CHECKING:
    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.model.routes import RegisteredEngine
    from mulberrypass.relay.api import EngineClient, RelayRequest

RETENTION_S = 60.0
TRICKLE_S = 0.02
READ_S = 0.15
FAST_S = 1.5
WHOLE = event(1) + event(2)
BAD = 7
# Of the users' pages: engines that may crash before the part is known.
MAX_CRASHES = 5
# An answer that ends before its first event.
HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "stamped": HEAD,
    "no stamp": HEAD.replace(b"X-Mulberrypass-Response-Stamp", b"X-Other"),
    "no stamp, unframed": b"HTTP/1.1 200 OK\r\n"
    b"X-Mulberrypass-Request-Id: r1\r\n\r\n",
}


def make_request(
    _head: JobHead,
    _item: BatchItem,
    after: int | None,
    prefix: tuple[int, ...] = (),
) -> RelayRequest:
    """Return the request of an item."""
    return request(after_event=after, prefix=prefix)


def make_run(
    client: EngineClient,
    *engines: RegisteredEngine,
    prefix: tuple[int, ...] = (),
    guard: CrashGuard | None = None,
) -> tuple[ScriptedPermits, ItemRun]:
    """Return the run of an item that tries these engines in turn."""
    directory = Directory()
    directory.apply_routes(table(cases.route()))
    directory.set_engines(engines)
    permits = ScriptedPermits(*(each.name for each in engines))
    deps = RelayDependencies(
        directory,
        PermitAcquirer("entry@a", permits, directory, guard),
        client,
        CallWatch(),
    )
    return permits, ItemRun(
        deps,
        cases.head(first_s=time.time()),
        0,
        cases.item(0),
        partial(make_request, prefix=prefix),
        lambda: False,
        ItemPace(),
        time.monotonic() + RETENTION_S,
    )


def framed(body: bytes) -> bytes:
    """Return an answer whose end its length proves."""
    return OK_HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class CrashingItemTest(unittest.TestCase):
    """An item whose engine crashes each time was sent without a bound."""

    def test_item_that_would_crash_engines_is_held_back(self) -> None:
        engines = ScriptedEngines()
        permits, item_run = make_run(engines, engine("e1"), prefix=(BAD, 9))
        guard = item_run._dependencies.acquirer._guard
        for number in range(QuarantineSettings().crashes):
            suspects = frozenset((BAD,))
            at_ms = number * 1_000
            guard.learn(Crash(f"i-{number}", "rackmind", at_ms, suspects))
        self.assertIsNone(run_item(item_run))
        self.assertTrue(item_run.held_back)
        self.assertEqual([], permits.asks)
        self.assertEqual([], engines.sent)

    def test_item_whose_engine_crashes_each_time(self) -> None:
        for name, head in HEADS.items():
            with self.subTest(name):
                self.assert_held_back(head)

    def assert_held_back(self, head: bytes) -> None:
        servers = [AnsweringServer(self, head, close=True) for _ in range(6)]
        names = [f"e{number}" for number in range(6)]
        permits, item_run = make_run(
            HttpEngineClient(),
            *(
                engine(name, address=server.address)
                for name, server in zip(names, servers, strict=True)
            ),
            prefix=(BAD, 9),
            guard=self.guard(),
        )
        remaining = iter(names)
        permits.on_ask = lambda: permits.grant_only(next(remaining))
        self.assertIsNone(run_item(item_run))
        self.assertTrue(item_run.held_back)
        self.assertLessEqual(len(permits.released), MAX_CRASHES)

    def test_resumed_item_crashes_an_engine_unnoticed(self) -> None:
        """Events of the first engine hid that the second had sent none."""
        published: list[Crash] = []
        guard = self.guard()
        guard.subscribe(published.append)
        engines = ScriptedEngines(
            Script(parts=[event(1), EngineFailed("cut", Ran.YES)]),
            EngineFailed("cut", Ran.YES, closed=True),
            Script(parts=[event(2)]),
        )
        _, item_run = make_run(
            engines, engine("e1"), engine("e2"), prefix=(BAD, 9), guard=guard
        )
        self.assertIsNotNone(run_item(item_run))
        time.sleep(4 * COLLECT_S)
        self.assertEqual({"e2@0"}, {crash.engine for crash in published})
        self.assertEqual(
            {frozenset((BAD,))}, {crash.suspects for crash in published}
        )

    def guard(self) -> CrashGuard:
        seconds = count()
        guard = CrashGuard(
            is_listening=lambda _address: False,
            unix_clock=lambda: float(next(seconds)),
        )
        guard.start()
        self.addCleanup(guard.stop)
        return guard


class OnlyEngineTest(unittest.TestCase):
    """An item that failed waited for an engine other than the only one."""

    def test_failed_item_runs_there_again(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[event(1), CUT]), Script(parts=[event(2)])
        )
        permits, item_run = make_run(engines, engine("e1"))
        item_run._expires_at = time.monotonic() + FAST_S
        outcome = run_item(item_run)
        assert outcome is not None
        self.assertEqual("1\n2", outcome.output)
        avoided = [ask.avoid for ask in permits.asks]
        self.assertEqual([(), ("e1",), ()], avoided)


class EmptyStreamTest(unittest.TestCase):
    """An engine that ended before the first event completed an item."""

    def test_framed_answer_without_an_event(self) -> None:
        engines = ScriptedEngines(Script(), Script(parts=[WHOLE]))
        _permits, item_run = make_run(engines, engine("e1"), engine("e2"))
        outcome = run_item(item_run)
        assert outcome is not None
        self.assertEqual("1\n2", outcome.output)

    def test_item_is_resumed_before_its_last_event(self) -> None:
        """It was resumed after its last event for good."""
        engines = ScriptedEngines(
            Script(parts=[WHOLE, CUT]),
            Script(ends_with_connection=True),
            Script(ends_with_connection=True, parts=[event(2)]),
            Script(ends_with_connection=True, parts=[event(2)]),
        )
        self.assert_runs(engines, None, 2, 1, 1)

    def test_framed_run_lacks_an_event_of_another(self) -> None:
        """Its end would prove an output without its last event."""
        engines = ScriptedEngines(
            Script(ends_with_connection=True, parts=[WHOLE]),
            Script(),
            Script(parts=[WHOLE]),
        )
        self.assert_runs(engines, None, 1, None)

    def assert_runs(
        self, engines: ScriptedEngines, *after: int | None
    ) -> None:
        """Check the output and after which event each run was resumed."""
        _permits, item_run = make_run(engines, engine("e1"), engine("e2"))
        outcome = run_item(item_run)
        assert outcome is not None
        self.assertEqual("1\n2", outcome.output)
        resumed = [req.after_event for _name, req in engines.sent]
        self.assertEqual(list(after), resumed)

    def test_item_goes_on_elsewhere(self) -> None:
        ended = AnsweringServer(self, NO_LENGTH, close=True)
        sound = AnsweringServer(self, framed(WHOLE), close=True)
        _permits, item_run = make_run(
            HttpEngineClient(),
            engine("e1", address=ended.address),
            engine("e2", address=sound.address),
        )
        outcome = run_item(item_run)
        assert outcome is not None
        self.assertEqual("1\n2", outcome.output)


class EndlessOutputTest(unittest.TestCase):
    """Acceptable events without an end filled the memory."""

    def test_output_that_is_too_long_begins_anew_elsewhere(self) -> None:
        engines = ScriptedEngines(
            Script(parts=[event(number) for number in range(1, 5)]),
            Script(parts=[WHOLE]),
        )
        permits, item_run = make_run(engines, engine("e1"), engine("e2"))
        with patch.object(progress, "MAX_OUTPUT_BYTES", 2):
            outcome = run_item(item_run)
        assert outcome is not None
        self.assertEqual("1\n2", outcome.output)
        self.assertEqual(["failed", "done"], permits.released)
        self.assertIsNone(engines.sent[1][1].after_event)


class EndlessAnswerTest(unittest.TestCase):
    """An engine that sends bytes without an end held an item for 120 s."""

    def setUp(self) -> None:
        read = patch.object(item_attempt, "READ_TIMEOUT_S", READ_S)
        read.start()
        self.addCleanup(read.stop)

    def outcome_of(
        self, sent: Bytes, answer: bytes = WHOLE
    ) -> tuple[ItemOutcome | None, list[str]]:
        """Run an item at an endless engine, and then at a sound one."""
        endless = EndlessServer(self, sent)
        sound = AnsweringServer(self, framed(answer), close=True)
        permits, item_run = make_run(
            HttpEngineClient(),
            engine("e1", address=endless.address),
            engine("e2", address=sound.address),
        )
        started = time.monotonic()
        outcome = run_item(item_run)
        self.assertLess(time.monotonic() - started, FAST_S)
        self.assertTrue(endless.closed.wait(0.5))
        return outcome, permits.released

    def test_item_leaves_bytes_that_become_no_event(self) -> None:
        streams = {
            "head": (Bytes(b"", b"x"), WHOLE),
            "body": (Bytes(NO_LENGTH + event(1), b"data: x\n"), event(2)),
        }
        for name, (sent, answer) in streams.items():
            for pause_s in (0.0, TRICKLE_S):
                with self.subTest(name, pause_s=pause_s):
                    outcome, released = self.outcome_of(
                        replace(sent, pause_s=pause_s), answer
                    )
                    assert outcome is not None
                    self.assertEqual("1\n2", outcome.output)
                    self.assertEqual(["failed", "done"], released)

    def test_item_that_cannot_be_done_waits_for_no_body(self) -> None:
        status = (
            b"HTTP/1.1 422 Unprocessable\r\n" + NO_LENGTH.partition(b"\r\n")[2]
        )
        for sent in (
            Bytes(status, b"x"),
            Bytes(status, b"x", TRICKLE_S),
            Bytes(status, b""),
        ):
            with self.subTest(sent.pause_s):
                outcome, _ = self.outcome_of(sent)
                assert outcome is not None
                self.assertIs(ItemState.ABANDONED, outcome.state)


if __name__ == "__main__":
    unittest.main()
