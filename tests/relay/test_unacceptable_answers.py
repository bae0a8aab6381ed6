"""Tests of answers of engines that must not come to a caller."""

from __future__ import annotations

from dataclasses import dataclass, replace
import itertools
from typing import TYPE_CHECKING
import unittest

from mulberrypass.model.routes import RouteKind
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.engine import event
from mulberrypass.platform.stand_in.raw_engine import RawEngine, RawFaults
from mulberrypass.relay.api import AnswerHead
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from tests.engine.endless import HOST, OK_HEAD
from tests.engine.played import (
    UPLOADS,
    Play,
    PlayedServer,
    bad_statuses,
    cut_ends,
    early_ends,
    short_lengths,
)
from tests.quiet import quiet_logs
from tests.relay.fakes import ScriptedPermits, engine, request, route, table
from tests.relay.test_forward import body, run

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.model.routes import RelayRoute
    from mulberrypass.relay.api import RelayEvent

ID = "r1"
EVENTS = 4
WHOLE = b"".join(event(ID, number) for number in range(1, EVENTS + 1))
PART = event(ID, 1) + event(ID, 2)
FIELDS = OK_HEAD.partition(b"\r\n")[2]
ONCE = route()
RESUMABLE = route(resumable=True)
CALL = route(kind=RouteKind.IDEMPOTENT)
WRITE = route(kind=RouteKind.NON_IDEMPOTENT)
KINDS = {"once": ONCE, "resumable": RESUMABLE, "call": CALL, "write": WRITE}


@dataclass(frozen=True, slots=True)
class Case:
    """An answer, and the size of the upload that it answers."""

    play: Play
    upload: int = 4


def cases(
    part: bytes = PART, whole: bytes = WHOLE
) -> Iterator[tuple[str, Case]]:
    """Yield all answers that must not be accepted."""
    for size in UPLOADS:
        for name, play in early_ends(OK_HEAD + b"\r\n", part):
            yield f"{name}, upload {size}", Case(play, size)
    for name, play in itertools.chain(
        cut_ends(OK_HEAD, part),
        short_lengths(OK_HEAD, whole),
        bad_statuses(FIELDS, part),
    ):
        yield name, Case(play)


class UnacceptableAnswerTest(unittest.TestCase):
    """Callers got parts of answers, or answers with other statuses."""

    def setUp(self) -> None:
        quiet_logs()
        self.engines: list[tuple[str, str]] = []

    def add_sound(self, faults: RawFaults | None = None) -> RawEngine:
        """Start an engine that answers as it should, but for its faults."""
        app = RawEngine(
            f"e{len(self.engines)}",
            HostPort(HOST, 0),
            EVENTS,
            faults=faults or RawFaults(),
        )
        app.start()
        self.addCleanup(app.end)
        self.engines.append((app.name, f"{app.at.host}:{app.at.port}"))
        return app

    def forward(
        self, to: RelayRoute, case: Case
    ) -> tuple[list[RelayEvent], bool]:
        """Forward a request to the engines in turn."""
        server = PlayedServer(self, case.play)
        addresses = dict(self.engines) | {"bad": server.address}
        order = [name for name, _ in self.engines]
        order.insert(self.before, "bad")
        directory = Directory()
        directory.apply_routes(table(to))
        directory.set_engines(
            engine(name, address=addresses[name]) for name in order
        )
        client = HttpEngineClient()
        self.addCleanup(client.retain, frozenset())
        deps = RelayDependencies(
            directory,
            PermitAcquirer("entry@a", ScriptedPermits(*order), directory),
            client,
            CallWatch(),
        )
        req = request(headers=((REQUEST_ID, ID),), body=b"x" * case.upload)
        found = run(deps, req)
        client.retain(frozenset())
        return found

    # Number of engines that are asked before the one with the fault.
    before = 0

    def assert_not_whole(self, events: list[RelayEvent], cut: bool) -> None:
        """Check that a caller got a failure, or an answer seen to be cut."""
        head = events[0]
        if isinstance(head, AnswerHead):
            self.assertEqual(200, head.status)
            self.assertTrue(cut)
            self.assertTrue(WHOLE.startswith(body(events)))

    def test_without_another_engine(self) -> None:
        for kind, to in KINDS.items():
            for name, case in cases():
                with self.subTest(name, kind=kind):
                    alone = replace(to, max_attempts=1)
                    self.assert_not_whole(*self.forward(alone, case))

    def test_runs_once_beside_a_sound_engine(self) -> None:
        app = self.add_sound()
        for kind, to in (("once", ONCE), ("write", WRITE)):
            for name, case in cases():
                with self.subTest(name, kind=kind):
                    self.assert_not_whole(*self.forward(to, case))
        self.assertEqual([], app.requests)

    def test_repeated_at_a_sound_engine(self) -> None:
        self.add_sound()
        for kind, to in (("resumable", RESUMABLE), ("call", CALL)):
            for name, case in cases():
                with self.subTest(name, kind=kind):
                    events, cut = self.forward(to, case)
                    self.assertIsInstance(events[0], AnswerHead)
                    self.assertEqual((WHOLE, False), (body(events), cut))

    def test_resumed_run(self) -> None:
        """The run that resumes a stream is answered so."""
        self.add_sound(RawFaults(break_after=len(event(ID, 1)) + 5))
        self.add_sound()
        self.before = 1
        rest = route(resumable=True, max_attempts=3)
        later = WHOLE.removeprefix(event(ID, 1))
        for name, case in cases(event(ID, 2), later):
            with self.subTest(name):
                events, cut = self.forward(rest, case)
                self.assertEqual((WHOLE, False), (body(events), cut))


if __name__ == "__main__":
    unittest.main()
